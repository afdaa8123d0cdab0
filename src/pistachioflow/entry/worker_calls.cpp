#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/dispatcher_tenure.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// A worker answers a hold at once when a run ends; otherwise the lease is
/// renewed this often, a few times within its length.
constexpr Duration HoldWait{1'500};
constexpr Duration HoldSlack{1'000};
/// Orders are answered within a few milliseconds.
constexpr Duration OrderTimeout{400};
constexpr Duration OrderRetryPause{50};
constexpr int StartAttempts = 3;
/// A start is followed by a hold, which renews its lease, well within this.
constexpr Duration StartLease{3'000};
/// A clock further behind than drift and delays explain belongs to a new life.
constexpr Duration ClockTolerance{2'000};
/// Workers hear of a gang's end from each other, within a few milliseconds.
constexpr Duration GangEndMargin{500};
constexpr Duration HoldRetryPause{150};
constexpr Duration PauseAfterRefusal{30};
constexpr Duration DoubtAfterRefusal{500};

} // namespace

asio::awaitable<void> Dispatcher::startMember(Held Of, Unit *Starting,
                                              std::size_t Index,
                                              std::int64_t Run) {
  if (!Of->Table.markSent({Starting, Index}, Run, this->Time.monotonic()))
    co_return;
  const std::string Task = Starting->taskName(Index);
  const std::string WorkerId = Starting->Members[Index].Worker;
  const auto Found = Of->Workers.find(WorkerId);
  if (Found == Of->Workers.end() || !Found->second->Client) {
    Of->Table.refuse(Task, Run, this->Time.monotonic(), PauseAfterRefusal,
                     "unlisted");
    co_return;
  }
  const Link Worker = Found->second;
  StartOrder Order;
  Order.Task = Task;
  Order.Run = Run;
  Order.Payload = Starting->ParentJob->Submission.Job.Payload;
  Order.Checkpoint = Starting->Checkpoint;
  Order.Epoch = Of->Epoch;
  bool MaybeStarted = false;
  for (int Attempt = 0; Attempt < StartAttempts; ++Attempt) {
    const Instant Now = this->Time.monotonic();
    Order.LeaseUntilMs = Worker->clockAt(Now) + StartLease.Ms;
    Worker->LeaseEnds =
        std::max(Worker->LeaseEnds, Now + longestLease(StartLease));
    const std::shared_ptr<WorkerClient> Client = Worker->Client;
    const OrderAnswer Answer = co_await Client->start(Order, OrderTimeout);
    if (!Of->Active)
      co_return;
    const bool ClockWentBack =
        Answer.ClockMs > 0 && Answer.ClockMs + ClockTolerance.Ms <
                                  Worker->clockAt(this->Time.monotonic());
    if (ClockWentBack)
      Worker->Synced = false;
    if (Answer.Outcome == OrderOutcome::Accepted) {
      Of->Table.confirm(Task, Run, this->Time.monotonic());
      this->ensureHolding(Of, Worker);
      this->requestTurn();
      co_return;
    }
    if (Answer.Outcome == OrderOutcome::StaleEpoch) {
      this->Fenced("worker " + WorkerId);
      co_return;
    }
    const bool Unanswered = Answer.Outcome == OrderOutcome::Unknown;
    if (!Unanswered && !MaybeStarted) {
      Worker->DoubtedUntil = this->Time.monotonic() + DoubtAfterRefusal;
      if (Answer.Outcome == OrderOutcome::Unhealthy)
        recordRefusal(Worker->Trust, this->Time.monotonic());
      if (Answer.Outcome == OrderOutcome::Late ||
          Answer.Outcome == OrderOutcome::OtherLife)
        Worker->Synced = false;
      Of->Table.refuse(Task, Run, this->Time.monotonic(), PauseAfterRefusal,
                       toString(Answer.Outcome));
      this->ensureHolding(Of, Worker);
      this->requestTurn();
      co_return;
    }
    MaybeStarted = true;
    co_await pauseFor(this->Io, OrderRetryPause);
    if (!Of->Active)
      co_return;
  }
  // Nobody knows whether it runs: an accepted stop settles that.
  Worker->DoubtedUntil = this->Time.monotonic() + DoubtAfterRefusal;
  logEvent(LogLevel::Warning, "start_unanswered",
           {{"task", Task}, {"run", Run}, {"worker", WorkerId}});
  co_await this->stopTask(Of, Worker, Task, Run);
}

asio::awaitable<void> Dispatcher::stopTask(Held Of, Link Worker,
                                           std::string Task, std::int64_t Run) {
  if (!Of->Stopping.insert({Task, Run}).second)
    co_return;
  const auto StillThere = [&] {
    const auto Members = Of->Table.membersOn(Worker->Id);
    return std::ranges::any_of(Members, [&](const MemberRef &Ref) {
      return Ref.ParentUnit->Run == Run &&
             Ref.ParentUnit->taskName(Ref.Index) == Task;
    });
  };
  const bool Known = StillThere();
  while (Of->Active && Worker->Client) {
    const std::shared_ptr<WorkerClient> Client = Worker->Client;
    const OrderAnswer Answer =
        co_await Client->stop(Task, Run, Of->Epoch, OrderTimeout);
    if (!Of->Active)
      co_return;
    if (Answer.Outcome == OrderOutcome::StaleEpoch) {
      this->Fenced("worker " + Worker->Id);
      co_return;
    }
    if (Answer.Outcome == OrderOutcome::Accepted ||
        Answer.Outcome == OrderOutcome::StaleRun) {
      Of->Table.stopAccepted(Task, Run, this->Time.monotonic());
      break;
    }
    if (!Known || !StillThere())
      break;
    co_await pauseFor(this->Io, OrderRetryPause);
  }
  Of->Stopping.erase({Task, Run});
  Worker->CatchingUp = true;
  this->ensureHolding(Of, Worker);
}

void Dispatcher::ensureHolding(const Held &Of, const Link &Worker) {
  const bool Occupied = !Of->Table.membersOn(Worker->Id).empty();
  if (Worker->Looping || !needsLook(*Worker, Occupied))
    return;
  Worker->Looping = true;
  spawnTask(this->Io, "hold_loop", this->holdLoop(Of, Worker));
}

asio::awaitable<void> Dispatcher::holdLoop(Held Of, Link Worker) {
  while (Of->Active) {
    const bool Occupied = !Of->Table.membersOn(Worker->Id).empty();
    if (!needsLook(*Worker, Occupied) || (!Worker->Listed && !Occupied))
      break;
    if (!Worker->Client) {
      this->holdFailed(Of, Worker, OrderOutcome::Unreachable);
      co_await pauseFor(this->Io, HoldRetryPause);
      continue;
    }
    const Instant AskedAt = this->Time.monotonic();
    HoldOrder Order;
    Order.Epoch = Of->Epoch;
    // Ends are numbered anew in each life: nothing is acknowledged until the
    // worker has said which life it is in.
    const bool KnownLife = Worker->Synced && Worker->SilentSince.Ms == 0;
    Order.AcknowledgedEnd = KnownLife ? Worker->EndsRecorded : 0;
    // A silent worker is only looked at, so that its leases end.
    const bool Renews = Worker->Synced && Worker->SilentSince.Ms == 0;
    const bool Waits = Renews && Occupied && !Worker->CatchingUp;
    if (Renews) {
      Order.LeaseUntilMs =
          Worker->clockAt(AskedAt) + this->Settings.MaxLease.Ms;
      Worker->LeaseEnds = AskedAt + longestLease(this->Settings.MaxLease);
    }
    if (Waits)
      Order.WaitMs = HoldWait.Ms;
    const Duration Timeout = Duration{Order.WaitMs} + HoldSlack;
    Worker->CatchingUp = false;
    const std::shared_ptr<WorkerClient> Client = Worker->Client;
    const HoldAnswer Answer = co_await Client->hold(Order, Timeout);
    if (!Of->Active)
      break;
    if (Answer.Outcome == OrderOutcome::StaleEpoch) {
      this->Fenced("worker " + Worker->Id);
      break;
    }
    if (Answer.Outcome != OrderOutcome::Accepted) {
      this->holdFailed(Of, Worker, Answer.Outcome);
      co_await pauseFor(this->Io, HoldRetryPause);
      continue;
    }
    Worker->EndsAcknowledged =
        std::max(Worker->EndsAcknowledged, Order.AcknowledgedEnd);
    this->holdAnswered(Of, Worker, Answer.Report, AskedAt);
    // The worker answers at once as long as it has ends to tell.
    while (Of->Active && Worker->EndsSeen > Worker->EndsRecorded)
      co_await Worker->Wake.wait(HoldWait);
  }
  Worker->Looping = false;
}

void Dispatcher::holdAnswered(const Held &Of, const Link &Worker,
                              const WorkerReport &Report, Instant AskedAt) {
  entryMetrics().Holds.add();
  const Instant Now = this->Time.monotonic();
  if (Worker->SilentSince.Ms != 0 && Worker->Synced)
    logEvent(LogLevel::Info, "worker_regained",
             {{"worker", Worker->Id},
              {"silent_ms", (Now - Worker->SilentSince).Ms}});
  const bool NewLife = Report.IncarnationStartMs != Worker->BornWallMs;
  if (NewLife) {
    Of->Table.workerRestarted(Worker->Id, Report, Now);
    Worker->BornWallMs = Report.IncarnationStartMs;
    Worker->EndsSeen = 0;
    Worker->EndsRecorded = 0;
    Worker->EndsAcknowledged = 0;
  }
  // A long wait ends with the answer, so the clock is read at about Now.
  Worker->ClockOffsetMs = Report.ClockMs - Now.Ms;
  Worker->Synced = true;
  Worker->SilentSince = {};
  const std::vector<RunningTask> Unwanted = Of->Table.applyReport(
      Worker->Id, Report, AskedAt, Now, this->Time.wall().Ms);
  for (const EndedRun &End : Report.Ended)
    Worker->EndsSeen = std::max(Worker->EndsSeen, End.Number);
  for (const RunningTask &Task : Unwanted) {
    logEvent(LogLevel::Warning, "unwanted_run",
             {{"task", Task.Task}, {"run", Task.Run}, {"worker", Worker->Id}});
    spawnTask(this->Io, "stop_task",
              this->stopTask(Of, Worker, Task.Task, Task.Run));
  }
  this->requestTurn();
}

void Dispatcher::holdFailed(const Held &Of, const Link &Worker,
                            OrderOutcome Outcome) {
  entryMetrics().HoldsFailed.add();
  const Instant Now = this->Time.monotonic();
  if (Worker->SilentSince.Ms == 0) {
    Worker->SilentSince = Now;
    logEvent(LogLevel::Warning, "worker_silent",
             {{"worker", Worker->Id}, {"outcome", toString(Outcome)}});
  }
  // Members of a broken gang take as long to end as stopped ones.
  Of->Table.workerUnresponsive(
      Worker->Id, Now - this->Settings.StopTimeout - GangEndMargin, Now);
  if (Of->Table.dirty())
    this->requestTurn();
  // Another worker answers at its address: this one is gone.
  const bool Replaced = Outcome == OrderOutcome::OtherLife;
  if (!Replaced && Now < Worker->LeaseEnds)
    return;
  if (Of->Table.membersOn(Worker->Id).empty())
    return;
  Of->Table.workerLost(Worker->Id, Now, Replaced ? "replaced" : "lease_ended");
  this->requestTurn();
}

} // namespace pistachioflow
