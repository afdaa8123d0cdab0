#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/model/event.hpp"
#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow {

/// Times of the leases that tasks run under.
struct GangSettings {
  Duration TaskLease{20'000};
  /// Added to a lease before its tasks count as surely ended: clock drift and
  /// orders that were still on their way.
  Duration LeaseMargin{2'000};
  Duration RenewEvery{6'000};
  Duration RetryAfter{400};
  /// A start that is not complete after this is given up as a whole.
  Duration StartTimeout{8'000};
  /// How long an owner without the log goes on renewing the running tasks.
  Duration OutageRenewals{900'000};
};

/// What the owner knows of the tasks of one attempt on one worker.
enum class MemberState : std::uint8_t {
  Unasked, ///< Ordered by an earlier owner, or not; the worker must be asked.
  Idle,    ///< Surely holds no lease.
  Held,
  Running,
  Finished,
  Failed,
  Gone, ///< Surely runs nothing any more.
};

struct GangMember {
  WorkerId Worker;
  std::uint32_t Tasks = 0;
  MemberState State = MemberState::Idle;
  bool InFlight = false; ///< An order or a question is on its way.
  bool Asked = false;    ///< It is a question.
  bool Asking = false;   ///< An answer was lost; ask before the next order.
  /// A start was sent, perhaps by an earlier owner: no attempt is started twice
  /// on one worker.
  bool MayHaveStarted = false;
  Instant LeaseEnds; ///< The tasks have surely ended by then, unless renewed.
  Instant RenewDue;
  Instant RetryAt;
  bool CheckpointSent = false;
  std::uint32_t Checkpoints = 0;       ///< As last reported.
  std::uint32_t CheckpointsBefore = 0; ///< When a checkpoint was asked for.
};

/// What the folded state asks of a gang.
enum class GangGoal : std::uint8_t { Start, Run, Stop };

/// Why the owner itself ends an attempt.
enum class GangEnding : std::uint8_t { None, Refused, Failed };

/// The execution of one attempt of one gang. Held by the cell's owner only, and
/// rebuilt from the workers' reports after a take-over.
struct GangProgress {
  JobId Job;
  Attempt Try = 0;
  GangShape Shape;
  GangGoal Goal = GangGoal::Start;
  GangEnding Ending = GangEnding::None;
  WorkerId EndedBy; ///< The worker that refused, failed or lost its tasks.
  Instant StartBy;
  bool Fenced = false; ///< A worker knows a newer owner: send nothing more.
  bool CheckpointWanted = false;
  std::vector<GangMember> Members;
};

/// What has to be sent to one member: an order, or the question what it runs.
struct GangCall {
  WorkerId Worker;
  bool Ask = false;
  OrderKind Kind = OrderKind::Hold;
  std::uint32_t Tasks = 0;
};

/// How one call ended.
enum class CallOutcome : std::uint8_t {
  Done,
  NotReceived,
  Lost,
  Refused,
  Fenced
};

/// Sorts the result of WorkerGateway::send.
CallOutcome toOutcome(const Result<void> &Answer);

// The functions below are pure. Thread safety: calls on different gangs may run
// at the same time.

/// Begins the execution of an attempt whose start this owner decided itself and
/// has sent nothing of yet.
GangProgress beginFreshGang(const policy::JobState &Job,
                            const GangSettings &Settings, Instant Now);

/// Begins the execution of an attempt that earlier owners may have ordered:
/// each worker is asked first, and none counts as ended before its lease surely
/// is. Precondition: the phase is Starting, Running or Stopping.
GangProgress resumeGang(const policy::JobState &Job,
                        const GangSettings &Settings, Instant Now);

/// Follows the folded state of the job. A gang that ends itself goes on ending.
void setGoal(GangProgress &Gang, JobPhase Phase);

/// Marks members whose lease has surely ended and attempts that cannot go on.
void expireMembers(GangProgress &Gang, Instant Now);

/// Returns the calls that are due, and marks them as in flight.
/// Start is sent only once every worker of the gang holds its lease.
std::vector<GangCall> takeDueCalls(GangProgress &Gang, Instant Now);

/// Takes over how an order that was sent at \p Sent ended.
void takeAnswer(GangProgress &Gang, const GangCall &Call, CallOutcome Outcome,
                const GangSettings &Settings, Instant Sent, Instant Now);

/// Takes over what a worker reports of this attempt. Ignored while an order to
/// that worker is in flight.
void takeReport(GangProgress &Gang, const WorkerReport &Report);

/// Notes that a question to \p Worker found no answer.
void takeNoReport(GangProgress &Gang, const WorkerId &Worker,
                  const GangSettings &Settings, Instant Now);

/// Returns the renewals that are due, and nothing else, and marks them as in
/// flight. A gang that may have lost a member is renewed no more, so that no
/// part of it outlives its leases.
std::vector<GangCall> takeDueRenewals(GangProgress &Gang, Instant Now);

/// Notes that no tasks on \p Worker outlast \p Ends, whatever was known before.
void boundLease(GangProgress &Gang, const WorkerId &Worker, Instant Ends);

/// Follows whether the folded state waits for a checkpoint of the gang.
void setCheckpointWanted(GangProgress &Gang, bool Wanted);

/// Returns the fact that the cell's stream should record now, if any.
std::optional<Event> gangEvent(const GangProgress &Gang);

/// Tells whether tasks of the attempt may still be on a worker.
bool mayHoldTasks(const GangMember &Member);

} // namespace pistachioflow
