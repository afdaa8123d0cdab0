#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/records.hpp"
#include "pistachioflow/sched/worker.hpp"

namespace pistachioflow {

/// How far one member of a unit's newest run is.
enum class MemberPhase {
  Planned, ///< Decided; the order leaves once the record is stored.
  Sent,    ///< Ordered; the worker has not confirmed it.
  Adopted, ///< Ordered by an earlier owner; its worker has not been heard.
  Running, ///< Confirmed by its worker.
  Refused, ///< Its worker declined and did nothing; another may take it.
  Ended,   ///< Surely runs nowhere and never will.
};

/// One task of a unit's newest run, at its worker.
struct Member {
  std::string Worker;
  std::int64_t IncarnationStartMs = 0;
  MemberPhase Phase = MemberPhase::Planned;
  bool StopRequested = false;
  Instant PhaseSince;     ///< When the phase was entered.
  Instant StopAcceptedAt; ///< When the worker accepted a stop; 0: it has not.
  Instant IdleSince;      ///< Since when it uses no processor; 0: it does.
  std::int64_t ProgressPercent = 0; ///< As last reported.
  Instant ReportedAt;

  /// Whether it takes, or may take, room on its worker.
  bool occupiesCapacity() const {
    return this->Phase != MemberPhase::Ended &&
           this->Phase != MemberPhase::Refused;
  }
};

struct Job;

/// What is started, stopped and ends as a whole: a gang, or a single task.
struct Unit {
  Job *ParentJob = nullptr;
  std::int64_t Occurrence = 0;
  std::size_t Step = 0;
  std::int64_t FirstTask = 0;
  std::int64_t TaskCount = 1;
  std::int64_t Run = 0;
  std::int64_t Failures = 0;
  std::int64_t FailedRun = 0; ///< The newest run that failed.
  /// Every member of the newest run was present at once.
  bool FullyStarted = false;
  /// When a gang that had begun lost a member; 0: it has not. The workers of
  /// the others end theirs as well, whether or not they can say so.
  Instant FirstMemberEndedAt;
  bool Done = false;
  std::string Checkpoint;
  std::vector<Member> Members; ///< Empty: waits for a place.
  Instant ReadySince;          ///< When it could first have been placed.
  Instant PlacedAt;            ///< Of the newest run.
  Instant NotBefore;           ///< Pause after a failure or a refusal.
  std::set<std::string, std::less<>> FailedWorkers; ///< Workers of failed runs.
  std::vector<std::string> ReservedWorkers; ///< Workers that drain for it.
  Instant ReservedAt;

  const StepSpec &spec() const;
  bool isGang() const;
  /// Whether every member was confirmed and none has ended.
  bool allRunning() const;
  /// ID.K.STEP of a gang, ID.K.STEP.INDEX of a task.
  std::string name() const;
  std::string taskName(std::size_t MemberIndex) const;
  bool waiting() const { return this->Members.empty() && !this->Done; }
};

/// The units of one step of one occurrence.
struct StepState {
  std::vector<Unit> Units; ///< Never resized once filled.
  std::size_t DoneUnits = 0;
  bool Unlocked = false;
};

struct Occurrence {
  std::int64_t Number = 0;
  std::vector<StepState> Steps;
  std::size_t DoneSteps = 0;
};

/// A job with everything that has been decided about it.
struct Job {
  std::string Id;
  SubmissionRecord Submission;
  JobPhase Phase = JobPhase::Queued;
  std::int64_t EndedWallMs = 0;
  Instant AcceptedAt; ///< On this process's monotonic clock.
  std::map<std::int64_t, Occurrence> Occurrences;
  std::set<std::string, std::less<>> FailedWorkers; ///< Workers of failed runs.
  bool OutlivedEarlyFailure =
      false; ///< One of its runs has outlived an early failure.
  std::int64_t EndedOccurrences = 0;
  std::int64_t NextOccurrence = 0;
};

/// A member of a unit, by place. Valid until the unit's members are cleared.
struct MemberRef {
  Unit *ParentUnit = nullptr;
  std::size_t Index = 0;

  Member &member() const { return this->ParentUnit->Members[this->Index]; }
};

/// Something the table concluded that an operator may want to know.
struct TableEvent {
  enum class Kind {
    Placed,
    Confirmed,
    Refused,
    Ended,
    RunLost, ///< The worker no longer has a run that it had confirmed.
    Stuck,   ///< A run uses no processor though its gang is complete.
    StopRequested,
    Reserved,
    UnitDone,
    JobEnded,
  };
  Kind EventKind = Kind::Placed;
  std::string Subject; ///< Task, unit or job.
  std::string Worker;
  std::int64_t Run = 0;
  std::string Detail;
  std::int64_t DurationMs = 0; ///< How long it took, where that makes sense.
  /// Set for a run from its very beginning that ended as done.
  std::string Queue;
  std::int64_t EstimatedMs = 0;
};

/// The owner's knowledge of every job, as a state machine without I/O.
///
/// Every change that must survive the process is handed out by takeRecords();
/// orders may leave only once the records of their decision are stored.
///
/// Thread safety: none.
class JobTable {
public:
  /// \name Facts from the journal
  /// @{
  void addSubmission(std::string_view JobId, SubmissionRecord Submission,
                     Instant Now, std::int64_t WallMs);
  void addCancellation(std::string_view JobId, std::int64_t WallMs,
                       Instant Now);
  void restorePhase(std::string_view JobId, const JobPhaseRecord &Record);
  /// Precondition: the job's submission has been added.
  void restoreUnit(std::string_view UnitName, const UnitRecord &Record,
                   Instant Now);
  /// @}

  /// Opens due occurrences and steps whose predecessors are done.
  void unlockDueSteps(Instant Now, std::int64_t WallMs);

  /// Returns the units that wait for a place and may be placed at \p Now.
  std::vector<Unit *> placeable(Instant Now);

  /// Returns the units that have members which are not gone.
  std::vector<Unit *> active();

  /// Records that the next run of \p Of takes \p Places, one for each task.
  void place(Unit &Of, std::span<const PlaceRecord> Places, Instant Now);

  /// Asks for the end of the current run; it will wait for a place again.
  void preempt(Unit &Of, Instant Now, std::string_view Reason);

  /// Remembers the workers that drain for \p Of.
  void reserve(Unit &Of, std::span<const std::string> Workers, Instant Now);

  /// Marks a start as ordered. Returns false when it is no longer wanted, and
  /// then the member is gone.
  bool markSent(const MemberRef &Ref, std::int64_t Run, Instant Now);

  /// The worker accepted the start.
  void confirm(std::string_view Task, std::int64_t Run, Instant Now);

  /// The start surely was not and will not be carried out. A gang's member may
  /// go to another worker by move(); anything else waits for a place again.
  void refuse(std::string_view Task, std::int64_t Run, Instant Now,
              Duration Pause, std::string_view Reason);

  /// Gives a refused member of a gang another worker, within the same run.
  /// Precondition: the member's phase is Refused.
  void moveMember(const MemberRef &Ref, const PlaceRecord &Place, Instant Now);

  /// The worker accepted a stop of the run.
  void stopAccepted(std::string_view Task, std::int64_t Run, Instant Now);

  /// Applies a worker's report. \p AskedAt is when the question was sent: only
  /// what was confirmed before that must show. Returns runs that nobody wants.
  std::vector<RunningTask> applyReport(std::string_view Worker,
                                       const WorkerReport &Report,
                                       Instant AskedAt, Instant Now,
                                       std::int64_t WallMs);

  /// The worker started a new life under its id, and runs nothing of before.
  /// What \p Report shows was started by the new life.
  void workerRestarted(std::string_view Worker, const WorkerReport &Report,
                       Instant Now);

  /// The worker does not answer. Members there of gangs whose run was over
  /// before \p OverBefore have ended, though nobody can say so.
  void workerUnresponsive(std::string_view Worker, Instant OverBefore,
                          Instant Now);

  /// Every lease on the worker has surely ended.
  void workerLost(std::string_view Worker, Instant Now,
                  std::string_view Reason);

  /// Members on a worker that are not gone.
  std::span<const MemberRef> membersOn(std::string_view Worker) const;

  /// Room taken on a worker by members that are not gone.
  Resources occupiedCapacity(std::string_view Worker) const;

  /// Returns and forgets the records of all changes since the last call.
  std::vector<JournalRecord> takeRecords();
  /// Returns and forgets what happened since the last call.
  std::vector<TableEvent> takeEvents();
  bool dirty() const;

  /// Drops jobs that ended before \p BeforeWallMs, with their records.
  void expire(std::int64_t BeforeWallMs);

  Job *find(std::string_view JobId);
  const std::unordered_map<std::string, Job> &jobs() const {
    return this->Jobs;
  }

private:
  struct TaskLocation {
    Unit *ParentUnit = nullptr;
    std::size_t Index = 0;
  };

  TaskLocation findTask(std::string_view Task);
  Unit *findUnit(std::string_view UnitName);
  void openOccurrence(Job &Owner, std::int64_t Number);
  void unlockSteps(Job &Owner, Occurrence &Of, Instant Now);
  void endMember(Unit &Of, std::size_t Index, Instant Now);
  void removeFromWorker(Unit &Of, std::size_t Index);
  void checkProgress(Unit &Of, std::size_t Index, const RunningTask &Task,
                     Instant Now);
  void applyEnd(Unit &Of, std::size_t Index, const EndedRun &End, Instant Now,
                std::int64_t WallMs);
  void completeUnit(Unit &Of, Instant Now, std::int64_t WallMs);
  void endJob(Job &Owner, JobPhase Phase, std::int64_t WallMs, Instant Now,
              std::string_view Reason);
  void stopMembers(Unit &Of, Instant Now, std::string_view Reason);
  void requeueIfEnded(Unit &Of, Instant Now);
  void registerMembers(Unit &Of);
  void markDirty(const Unit &Of);
  void recordEvent(TableEvent::Kind What, std::string Subject,
                   std::string Worker = {}, std::int64_t Run = 0,
                   std::string Detail = {}, std::int64_t Ms = 0);

  std::unordered_map<std::string, Job> Jobs;
  std::unordered_map<std::string, std::vector<MemberRef>> MembersByWorker;
  std::set<Unit *> Waiting; ///< Unlocked units without members.
  std::set<Unit *> Active;
  std::set<std::string> JobsToUnlock; ///< Jobs that may open occurrences.
  std::map<std::string, UnitRecord> DirtyUnits;
  std::map<std::string, JobPhaseRecord> DirtyPhases;
  std::vector<std::string> DroppedKeys;
  std::set<std::string> RecordedUnits; ///< Units with a key in the journal.
  std::vector<TableEvent> Events;
};

} // namespace pistachioflow
