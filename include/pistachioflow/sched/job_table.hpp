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
#include "pistachioflow/sched/attempt_history.hpp"
#include "pistachioflow/sched/crash_history.hpp"
#include "pistachioflow/sched/early_cancellations.hpp"
#include "pistachioflow/sched/held_back.hpp"
#include "pistachioflow/sched/records.hpp"
#include "pistachioflow/sched/worker.hpp"

namespace pistachioflow {

/// Progress of one member of a unit's newest run.
enum class MemberPhase {
  Planned, ///< Placed; the start order is sent once its record is stored.
  Sent,    ///< Start order sent; not yet confirmed by the worker.
  Adopted, ///< Ordered by an earlier owner; its worker has not reported yet.
  Running, ///< Confirmed by the worker.
  /// Declined by the worker without effect; may move to another worker.
  Refused,
  Ended, ///< Runs nowhere and never will.
};

/// One task of a unit's newest run, with its worker.
struct Member {
  std::string Worker;
  std::int64_t IncarnationStartMs = 0;
  MemberPhase Phase = MemberPhase::Planned;
  bool StopRequested = false;
  /// Its start got no answer and is not repeated. It may be carried out late,
  /// until the worker has accepted a stop.
  bool StartGivenUp = false;
  /// Its worker has restarted since its start was sent, and it is not sent
  /// again.
  bool RestartedSinceSent = false;
  Instant PhaseSince;     ///< When it entered its phase.
  Instant StopAcceptedAt; ///< When the worker accepted a stop; 0: not yet.
  Instant IdleSince;      ///< Since when it has used no CPU; 0: in use.
  std::int64_t ProgressPercent = 0; ///< From the latest report.
  Instant ReportedAt;
  bool SpeedLearned =
      false; ///< Its speed has been learned from; worker_pace.hpp.

  /// Whether it occupies, or may occupy, capacity on its worker.
  bool occupiesCapacity() const {
    return this->Phase != MemberPhase::Ended &&
           this->Phase != MemberPhase::Refused;
  }
};

/// Capacity that is being preempted for a waiting unit.
struct CapacityClaim {
  std::vector<std::string> Workers; ///< One for each task. Empty: no claim.
  /// For each preempted unit, the claimed worker that it was preempted on.
  std::vector<std::string> VictimWorkers;
  Instant At;
};

struct Job;

/// What is started and stopped as a whole: a gang, or a single task.
struct Unit {
  Job *ParentJob = nullptr;
  std::int64_t Occurrence = 0;
  std::size_t Step = 0;
  std::int64_t FirstTask = 0;
  std::int64_t TaskCount = 1;
  std::int64_t Run = 0;
  AttemptHistory Attempts;
  CrashHistory Crashes;
  /// All members of the newest run were running at the same time.
  bool FullyStarted = false;
  /// When the first member of a fully started gang ended; 0: none has. The
  /// workers of the other members then end them too, even while unresponsive.
  Instant FirstMemberEndedAt;
  bool Done = false;
  std::string Checkpoint;
  /// This process placed its newest run, which resumes no checkpoint.
  bool FromScratch = false;
  std::vector<Member> Members; ///< Empty: waits to be placed.
  Instant ReadySince;          ///< When it became ready to be placed.
  Instant PlacedAt;            ///< Of the newest run.
  Instant NotBefore;           ///< Back-off after a failure or a refusal.
  HeldBack HeldBackTime;       ///< Since its latest run began.
  Instant WaitNotedAt;         ///< Latest line in the log about its wait.
  std::set<std::string, std::less<>> FailedWorkers; ///< Workers of failed runs.
  /// Workers of its runs that failed early, since one last outlived that.
  std::set<std::string, std::less<>> EarlyFailedWorkers;
  std::vector<std::string> ReservedWorkers; ///< Workers that drain for it.
  Instant ReservedAt;
  CapacityClaim Claim;

  const StepSpec &spec() const;
  bool isGang() const;
  /// Whether every member is running.
  bool allRunning() const;
  /// The name in records: ID.K.STEP for a gang, ID.K.STEP.INDEX for a task,
  /// where K is the occurrence.
  std::string name() const;
  std::string taskName(std::size_t MemberIndex) const;
  bool waiting() const { return this->Members.empty() && !this->Done; }
  /// Whether a run of it that has just begun may crash its worker.
  bool mayCrashWorker() const { return !this->Crashes.Crashes.empty(); }
};

/// The units of one step of one occurrence.
struct StepState {
  std::vector<Unit> Units; ///< Never resized: units are referred to by pointer.
  std::size_t DoneUnits = 0;
  bool Unlocked = false;
};

struct Occurrence {
  std::int64_t Number = 0;
  std::vector<StepState> Steps;
  std::size_t DoneSteps = 0;
};

/// A job and all scheduling state that belongs to it.
struct Job {
  std::string Id;
  SubmissionRecord Submission;
  JobPhase Phase = JobPhase::Queued;
  std::int64_t EndedWallMs = 0;
  Instant AcceptedAt; ///< On this process's monotonic clock.
  std::map<std::int64_t, Occurrence> Occurrences;
  std::set<std::string, std::less<>> FailedWorkers; ///< Workers of failed runs.
  bool OutlivedEarlyFailure =
      false; ///< A run of it outlasted EarlyFailureWindow.
  std::int64_t EndedOccurrences = 0;
  std::int64_t NextOccurrence = 0;
};

/// Handles an early failure of a run of \p Failed on \p Worker, which the unit
/// lists as one of its failed workers. Returns whether the task or its job is
/// at fault rather than the worker.
bool failsByItself(Unit &Failed, std::string_view Worker);

/// Handles a run of \p Sound that outlived EarlyFailureWindow.
void outliveEarlyFailure(Unit &Sound);

/// Refers to a member of a unit by index. Valid until the unit's members are
/// cleared.
struct MemberRef {
  Unit *ParentUnit = nullptr;
  std::size_t Index = 0;

  Member &member() const { return this->ParentUnit->Members[this->Index]; }
};

/// A state change for the event log and the metrics.
struct TableEvent {
  enum class Kind {
    Placed,
    Confirmed,
    Refused,
    Ended,
    RunLost,       ///< The worker no longer has the run.
    WorkerCrashed, ///< Under a task.
    Stuck,         ///< A run uses no CPU although its gang is complete.
    StopRequested,
    Reserved,
    ClaimReplaced, ///< Started, but not on all workers preempted for it.
    ClaimFailed,   ///< Not started on what was preempted for it.
    StillWaiting,  ///< It waits for long; the detail says why.
    UnitDone,
    JobEnded,
  };
  Kind EventKind = Kind::Placed;
  std::string Subject; ///< Name of a task, unit or job.
  std::string Worker;
  std::int64_t Run = 0;
  std::string Detail;
  std::int64_t DurationMs = 0; ///< Time it took, where it applies.
  std::int64_t Victims = 0;    ///< Units preempted in vain.
  /// Set only for a run that ended as done without having resumed from a
  /// checkpoint.
  std::string Queue;
  std::int64_t EstimatedMs = 0;
  /// \name Of a crash
  /// @{
  std::int64_t IncarnationBefore = 0;
  std::int64_t IncarnationAfter = 0;
  std::int64_t Crashes = 0;  ///< Of workers under the task, with this one.
  bool SharedWorker = false; ///< With suspects of other jobs.
  /// @}
};

/// State of every job at the instance that owns the queues: a state machine
/// without I/O.
///
/// takeRecords() returns every change that must survive the process. A start
/// order may be sent only after the records of its decision are stored.
///
/// Thread safety: none.
class JobTable {
public:
  /// \name Records read from the journal
  /// @{
  void addSubmission(std::string_view JobId, SubmissionRecord Submission,
                     Instant Now, std::int64_t WallMs);
  void addCancellation(std::string_view JobId, std::int64_t WallMs,
                       Instant Now);
  /// \p Name is the record's key without its kind. The cancellation applies to
  /// the job at once or when its submission is added.
  void addEarlyCancellation(std::string_view Name,
                            EarlyCancellationRecord Record, std::int64_t WallMs,
                            Instant Now);
  void restorePhase(std::string_view JobId, const JobPhaseRecord &Record);
  /// \p LeaseEnds is when every lease of earlier owners has expired.
  /// Precondition: the job's submission has been added.
  void restoreUnit(std::string_view UnitName, const UnitRecord &Record,
                   Instant LeaseEnds, Instant Now);
  /// @}

  /// Unlocks due occurrences, and steps whose predecessors are done.
  void unlockDueSteps(Instant Now, std::int64_t WallMs);

  /// Gives up the jobs of waiting units under which too many workers were lost.
  void giveUpAfterLosses(Instant Now, std::int64_t WallMs);

  /// Returns the waiting units that may be placed at \p Now.
  std::vector<Unit *> placeable(Instant Now);

  /// Returns the units with at least one member that has not ended.
  std::vector<Unit *> active();

  /// Begins the next run of \p Unit on \p Places, one for each task.
  /// \p Detail is for the log.
  void place(Unit &Unit, std::span<const PlaceRecord> Places, Instant Now,
             std::string Detail = {});

  /// Requests the stop of the current run. Afterwards the unit waits to be
  /// placed again.
  void preempt(Unit &Unit, Instant Now, std::string_view Reason);

  /// Stores which workers drain for \p Unit.
  void reserve(Unit &Unit, std::span<const std::string> Workers, Instant Now);

  /// Stores the capacity that is being preempted for \p Unit, in place of an
  /// earlier claim. place() ends the claim.
  static void claim(Unit &Unit, CapacityClaim Claim);

  /// Ends the claim of \p Unit without a start; does nothing if it has none.
  void dropClaim(Unit &Unit, Instant Now, std::string_view Reason);

  /// Stores which waiting units only their preferences keep from free workers,
  /// in place of an earlier call's.
  void noteHeldBack(std::span<Unit *const> HeldBack, Instant Now);

  /// Reports that \p Unit waits for long, and why.
  void noteWait(Unit &Unit, std::string_view Reason, Instant Now);

  /// Marks the start order of a member as sent. Returns false, and changes
  /// nothing, when the run is not current or the member is not in phase
  /// Planned.
  bool markSent(const MemberRef &Ref, std::int64_t Run, Instant Now);

  /// Handles a worker's confirmation that a task runs.
  void confirm(std::string_view Task, std::int64_t Run, Instant Now);

  /// Handles a start that certainly was not and will not be carried out. A gang
  /// member may be moved by moveMember(); other units wait to be placed again
  /// after \p Pause.
  void refuse(std::string_view Task, std::int64_t Run, Instant Now,
              Duration Pause, std::string_view Reason);

  /// Assigns a refused gang member to another worker within the same run.
  /// Precondition: the member's phase is Refused.
  void moveMember(const MemberRef &Ref, const PlaceRecord &Place, Instant Now);

  /// Handles a start that was not answered and is not repeated.
  void giveUpStart(std::string_view Task, std::int64_t Run);

  /// Handles a worker's acceptance of a stop.
  void stopAccepted(std::string_view Task, std::int64_t Run, Instant Now);

  /// Applies a worker's report. \p AskedAt is when the request was sent: only
  /// runs confirmed before it must be in the report, unless more ends follow.
  /// Returns reported runs that should not exist.
  std::vector<RunningTask> applyReport(std::string_view Worker,
                                       const WorkerReport &Report,
                                       Instant AskedAt, Instant Now,
                                       std::int64_t WallMs);

  /// Handles a worker's restart under the same id, which is how a crash shows.
  /// Runs of its earlier incarnation have ended; those in \p Report belong to
  /// the new one, and so may those confirmed since \p AskedAt, when the report
  /// was asked for.
  void workerRestarted(std::string_view Worker, const WorkerReport &Report,
                       Instant AskedAt, Instant Now, std::int64_t WallMs);

  /// Handles an unresponsive worker. Its members of gangs that began to end
  /// before \p EndedBefore have ended too, although the worker cannot report
  /// it. \p LeaseEnds is when its leases expire.
  void workerUnresponsive(std::string_view Worker, Instant EndedBefore,
                          Instant LeaseEnds, Instant Now);

  /// Ends all members on the worker. Precondition: every lease there has
  /// certainly expired.
  void workerLost(std::string_view Worker, Instant Now,
                  std::string_view Reason);

  /// As workerLost(), for a worker whose process certainly exists no longer
  /// although it had not announced to leave: it has crashed under its members.
  void workerCrashed(std::string_view Worker, Instant Now, std::int64_t WallMs,
                     std::string_view Reason);

  /// Returns the members that occupy capacity on a worker.
  std::span<const MemberRef> membersOn(std::string_view Worker) const;

  /// Returns the capacity that members occupy on a worker.
  Resources occupiedCapacity(std::string_view Worker) const;

  /// Returns the capacity that runs occupy, also if they are in no members.
  /// Tasks of unknown jobs count as nothing.
  Resources neededBy(std::span<const RunningTask> Runs);

  /// Returns the records of all changes since the last call.
  std::vector<JournalRecord> takeRecords();
  /// Returns the events since the last call.
  std::vector<TableEvent> takeEvents();
  bool dirty() const;

  /// Removes jobs that ended before \p BeforeWallMs, with their records.
  void expire(std::int64_t BeforeWallMs);

  /// Removes early cancellations made before \p BeforeWallMs, with their
  /// records.
  void expireEarlyCancellations(std::int64_t BeforeWallMs);

  Job *find(std::string_view JobId);
  /// Returns the unit of a task, or null if the task is unknown.
  Unit *unitOf(std::string_view Task);
  const std::unordered_map<std::string, Job> &jobs() const {
    return this->Jobs;
  }

private:
  struct TaskLocation {
    Unit *ParentUnit = nullptr;
    std::size_t Index = 0;
  };
  /// A member on a worker that was lost.
  struct ExposedMember {
    MemberRef Ref;
    bool Shared = false; ///< A suspect of another job was there as well.
  };

  TaskLocation findTask(std::string_view Task);
  /// Returns the member of a task's newest run, or null if \p Run is not that.
  Member *findMember(std::string_view Task, std::int64_t Run);
  const StepSpec *stepOf(std::string_view Task);
  void openOccurrence(Job &Job, std::int64_t Number);
  void unlockSteps(Job &Job, Occurrence &Occurrence, Instant Now);
  void endMember(Unit &Unit, std::size_t Index, Instant Now);
  void removeFromWorker(Unit &Unit, std::size_t Index);
  void checkProgress(Unit &Unit, std::size_t Index, const RunningTask &Task,
                     Instant Now);
  void applyEnd(Unit &Unit, std::size_t Index, const EndedRun &End, Instant Now,
                std::int64_t WallMs);
  void applyLateEnd(Unit &Unit, std::string_view Worker, const EndedRun &End,
                    Instant Now, std::int64_t WallMs);
  std::vector<ExposedMember> exposedMembers(std::string_view Worker) const;
  void recordCrash(const ExposedMember &Exposed, std::int64_t IncarnationAfter,
                   Instant Now, std::int64_t WallMs);
  void suspectCrash(const ExposedMember &Exposed, Instant Now);
  void settleSuspicions(std::string_view Worker,
                        std::int64_t IncarnationStartMs, Instant Now,
                        std::int64_t WallMs);
  void applyCrash(Unit &Unit, const CrashRecord &Crash,
                  std::int64_t IncarnationAfter, Instant Now,
                  std::int64_t WallMs);
  void resolvePresumedEnds(std::string_view Worker, const WorkerReport &Report);
  void failIfExhausted(Unit &Unit, Instant Now, std::int64_t WallMs);
  void completeUnit(Unit &Unit, Instant Now, std::int64_t WallMs);
  void endJob(Job &Job, JobPhase Phase, std::int64_t WallMs, Instant Now,
              std::string_view Reason);
  void stopMembers(Unit &Unit, Instant Now, std::string_view Reason);
  void requeueIfEnded(Unit &Unit, Instant Now);
  void cancelIfRequested(Job &Job, std::int64_t WallMs, Instant Now);
  void endClaim(Unit &Unit, std::span<const PlaceRecord> Used, Instant Now,
                std::string_view Reason);
  void registerMembers(Unit &Unit);
  void markDirty(const Unit &Unit);
  void recordEvent(TableEvent::Kind EventKind, std::string Subject,
                   std::string Worker = {}, std::int64_t Run = 0,
                   std::string Detail = {}, std::int64_t Ms = 0);

  std::unordered_map<std::string, Job> Jobs;
  EarlyCancellations Cancellations;
  /// Units with a presumed end on the worker.
  std::unordered_map<std::string, std::set<Unit *>> PresumedEndsByWorker;
  /// Units under which the worker was lost and may have crashed.
  std::unordered_map<std::string, std::set<Unit *>> SuspectsByWorker;
  std::unordered_map<std::string, std::vector<MemberRef>> MembersByWorker;
  std::set<Unit *> Waiting; ///< Unlocked units without members.
  std::set<Unit *> Active;
  /// Jobs with occurrences or steps still to unlock.
  std::set<std::string> JobsToUnlock;
  std::map<std::string, UnitRecord> DirtyUnits;
  std::map<std::string, JobPhaseRecord> DirtyPhases;
  std::vector<std::string> DroppedKeys;
  std::set<std::string> RecordedUnits; ///< Units with a record in the journal.
  std::vector<TableEvent> Events;
};

} // namespace pistachioflow
