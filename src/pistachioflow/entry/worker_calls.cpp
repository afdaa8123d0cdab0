#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// Timeout of a start or stop, which workers answer within a few milliseconds.
constexpr Duration OrderTimeout{400};
constexpr Duration OrderRetryPause{50};
constexpr int StartAttempts = 3;
/// A worker's clock that went back by more than drift and delays explain shows
/// that the worker has restarted.
constexpr Duration ClockTolerance{2'000};
/// Workers tell each other of a gang's end, within a few milliseconds.
constexpr Duration GangEndMargin{500};
constexpr Duration RefusalRetryPause{30};
/// Other workers are preferred for this long after a refused or unanswered
/// start.
constexpr Duration AvoidAfterRefusal{500};

/// Why a placed start must not be sent any more; empty: it may. The worker may
/// have changed since the decision, since its record takes a while to store.
std::string_view startObstacle(const JobTable &Table, const WorkerLink &Worker,
                               std::int64_t IncarnationStartMs) {
  if (!answersAs(Worker, IncarnationStartMs))
    return "worker_changed";
  const Resources Free = freeCapacity(Table, Worker);
  const bool Within =
      Free.MilliCores >= 0 && Free.MemoryMb >= 0 && Free.Accelerators >= 0;
  return Within ? "" : "capacity_shrank";
}

} // namespace

asio::awaitable<void> Dispatcher::startMember(TermPtr Term, Unit *StartedUnit,
                                              std::size_t Index,
                                              std::int64_t Run) {
  if (!Term->Table.markSent({StartedUnit, Index}, Run, this->Time.monotonic()))
    co_return;
  const std::string Task = StartedUnit->taskName(Index);
  const std::string WorkerId = StartedUnit->Members[Index].Worker;
  const std::int64_t Incarnation =
      StartedUnit->Members[Index].IncarnationStartMs;
  const auto Existing = Term->Workers.find(WorkerId);
  if (Existing == Term->Workers.end() || !Existing->second->Client) {
    Term->Table.refuse(Task, Run, this->Time.monotonic(), RefusalRetryPause,
                       "unlisted");
    co_return;
  }
  const WorkerPtr Worker = Existing->second;
  const std::string_view Obstacle =
      startObstacle(Term->Table, *Worker, Incarnation);
  if (!Obstacle.empty()) {
    Term->Table.refuse(Task, Run, this->Time.monotonic(), RefusalRetryPause,
                       Obstacle);
    this->requestRound();
    co_return;
  }
  StartOrder Order;
  Order.Task = Task;
  Order.Run = Run;
  Order.Payload = StartedUnit->ParentJob->Submission.Job.Payload;
  Order.Checkpoint = StartedUnit->Checkpoint;
  Order.Epoch = Term->Epoch;
  bool MaybeStarted = false;
  for (int Attempt = 0; Attempt < StartAttempts; ++Attempt) {
    const Instant Now = this->Time.monotonic();
    const Instant LeaseEnd = this->leaseEnd(*Term, StartLease, Now);
    Order.LeaseUntilMs = Worker->clockAt(LeaseEnd);
    grantSent(Worker->Leases, LeaseEnd - Now, Now);
    const std::shared_ptr<WorkerClient> Client = Worker->Client;
    const OrderAnswer Answer = co_await Client->start(Order, OrderTimeout);
    if (!Term->Active)
      co_return;
    const bool ClockWentBack =
        Answer.ClockMs > 0 && Answer.ClockMs + ClockTolerance.Ms <
                                  Worker->clockAt(this->Time.monotonic());
    if (ClockWentBack)
      Worker->Synced = false;
    this->noteStartGrant(*Worker, Order, Answer, ClockWentBack, Now);
    if (Answer.Outcome == OrderOutcome::Accepted) {
      Term->Table.confirm(Task, Run, this->Time.monotonic());
      this->ensureHoldLoop(Term, Worker);
      this->requestRound();
      co_return;
    }
    if (Answer.Outcome == OrderOutcome::StaleEpoch) {
      this->OnFenced("worker " + WorkerId);
      co_return;
    }
    const bool Unanswered = Answer.Outcome == OrderOutcome::Unknown;
    if (!Unanswered && !MaybeStarted) {
      Worker->AvoidedUntil = this->Time.monotonic() + AvoidAfterRefusal;
      if (Answer.Outcome == OrderOutcome::Unhealthy)
        recordRefusal(Worker->Trust, this->Time.monotonic());
      if (Answer.Outcome == OrderOutcome::LeaseExpired ||
          Answer.Outcome == OrderOutcome::WrongWorker)
        Worker->Synced = false;
      Term->Table.refuse(Task, Run, this->Time.monotonic(), RefusalRetryPause,
                         toString(Answer.Outcome));
      this->ensureHoldLoop(Term, Worker);
      this->requestRound();
      co_return;
    }
    MaybeStarted = true;
    co_await pauseFor(this->Io, OrderRetryPause);
    if (!Term->Active)
      co_return;
    if (!startObstacle(Term->Table, *Worker, Incarnation).empty())
      break;
    const bool Same =
        co_await this->confirmIncarnation(Term, Worker, Incarnation);
    if (!Term->Active)
      co_return;
    if (!Same)
      break;
  }
  // The task may or may not run there; after an accepted stop it surely does
  // not.
  Worker->AvoidedUntil = this->Time.monotonic() + AvoidAfterRefusal;
  logEvent(LogLevel::Warning, "start_unanswered",
           {{"task", Task}, {"run", Run}, {"worker", WorkerId}});
  Term->Table.giveUpStart(Task, Run);
  co_await this->stopTask(Term, Worker, Task, Run);
}

/// Notes the lease that a start has granted, whichever process has taken it.
void Dispatcher::noteStartGrant(WorkerLink &Worker, const StartOrder &Order,
                                const OrderAnswer &Answer, bool ClockWentBack,
                                Instant SentAt) const {
  const Instant Now = this->Time.monotonic();
  const Duration MaxLease = this->Settings.MaxLease;
  if (Answer.ClockMs > 0)
    startGrantAnswered(Worker.Leases, MaxLease,
                       Duration{Order.LeaseUntilMs - Answer.ClockMs},
                       ClockWentBack, Now);
  else if (Answer.Outcome == OrderOutcome::Unknown)
    startGrantUnanswered(Worker.Leases, MaxLease, SentAt, Now);
}

/// Asks a worker that has not answered a start whether it is still the process
/// that the start was meant for. A start that crashed its worker must not be
/// repeated to the worker's next incarnation: each would crash by one run.
asio::awaitable<bool>
Dispatcher::confirmIncarnation(TermPtr Term, WorkerPtr Worker,
                               std::int64_t IncarnationStartMs) {
  PollRequest Question;
  Question.Epoch = Term->Epoch;
  const std::shared_ptr<WorkerClient> Client = Worker->Client;
  const PollAnswer Answer = co_await Client->poll(Question, OrderTimeout);
  co_return Answer.Outcome ==
      OrderOutcome::Accepted &&Answer.Report.IncarnationStartMs ==
      IncarnationStartMs;
}

asio::awaitable<void> Dispatcher::stopTask(TermPtr Term, WorkerPtr Worker,
                                           std::string Task, std::int64_t Run) {
  if (!Term->PendingStops.insert({Task, Run}).second)
    co_return;
  const auto IsMember = [&] {
    const auto Members = Term->Table.membersOn(Worker->Id);
    return std::ranges::any_of(Members, [&](const MemberRef &Ref) {
      return Ref.ParentUnit->Run == Run &&
             Ref.ParentUnit->taskName(Ref.Index) == Task;
    });
  };
  const bool WasMember = IsMember();
  while (Term->Active && Worker->Client) {
    const std::shared_ptr<WorkerClient> Client = Worker->Client;
    const OrderAnswer Answer =
        co_await Client->stop(Task, Run, Term->Epoch, OrderTimeout);
    if (!Term->Active)
      co_return;
    if (Answer.Outcome == OrderOutcome::StaleEpoch) {
      this->OnFenced("worker " + Worker->Id);
      co_return;
    }
    if (Answer.Outcome == OrderOutcome::Accepted ||
        Answer.Outcome == OrderOutcome::StaleRun) {
      const Instant Now = this->Time.monotonic();
      Term->Table.stopAccepted(Task, Run, Now);
      Worker->Unwanted.stopAccepted(Task, Run,
                                    Now + this->Settings.StopTimeout);
      break;
    }
    co_await pauseFor(this->Io, OrderRetryPause);
    // A worker that answers no holds reports the run again once it does.
    const bool Reported = Worker->UnresponsiveSince.Ms == 0 &&
                          Worker->Unwanted.contains(Task, Run);
    if (!Reported && (!WasMember || !IsMember()))
      break;
  }
  Term->PendingStops.erase({Task, Run});
  Worker->NeedsImmediateHold = true;
  this->ensureHoldLoop(Term, Worker);
}

void Dispatcher::ensureHoldLoop(const TermPtr &Term, const WorkerPtr &Worker) {
  const bool Occupied = !Term->Table.membersOn(Worker->Id).empty();
  if (Worker->HoldLoopRunning || !needsHold(*Worker, Occupied))
    return;
  Worker->HoldLoopRunning = true;
  spawnCoroutine(this->Io, "hold_loop", this->holdLoop(Term, Worker));
}

asio::awaitable<void> Dispatcher::holdLoop(TermPtr Term, WorkerPtr Worker) {
  while (Term->Active) {
    const bool Occupied = !Term->Table.membersOn(Worker->Id).empty();
    if (!needsHold(*Worker, Occupied) || (!Worker->Listed && !Occupied))
      break;
    if (!Worker->Client) {
      this->holdFailed(Term, Worker, OrderOutcome::Unreachable);
      co_await pauseFor(this->Io, HoldRetryPause);
      continue;
    }
    const Instant SentAt = this->Time.monotonic();
    PollRequest Order;
    Order.Epoch = Term->Epoch;
    // A restarted worker numbers its ends from 1 again, so nothing is
    // acknowledged before its report has named its incarnation.
    const bool SameIncarnation =
        Worker->Synced && Worker->UnresponsiveSince.Ms == 0;
    Order.AcknowledgedEnd = SameIncarnation ? Worker->Ends.toAcknowledge() : 0;
    // The leases of an unresponsive worker are not renewed, so that they
    // expire.
    const bool Renews = Worker->Synced && Worker->UnresponsiveSince.Ms == 0;
    const bool HasRuns = Occupied || !Worker->Unwanted.empty();
    const bool Waits = Renews && HasRuns && !Worker->NeedsImmediateHold;
    const Instant LeaseEnd =
        this->leaseEnd(*Term, this->Settings.MaxLease, SentAt);
    const Duration Lease = LeaseEnd - SentAt;
    if (Renews && Lease.Ms > 0) {
      Order.LeaseUntilMs = Worker->clockAt(LeaseEnd);
      grantSent(Worker->Leases, Lease, SentAt);
    }
    if (Waits)
      Order.WaitMs = holdWait(Lease).Ms;
    const Duration Timeout = Duration{Order.WaitMs} + HoldAnswerTime;
    Worker->NeedsImmediateHold = false;
    const std::shared_ptr<WorkerClient> Client = Worker->Client;
    const PollAnswer Answer = co_await Client->poll(Order, Timeout);
    if (!Term->Active)
      break;
    if (Answer.Outcome == OrderOutcome::StaleEpoch) {
      this->OnFenced("worker " + Worker->Id);
      break;
    }
    if (Answer.Outcome == OrderOutcome::Unknown && Order.LeaseUntilMs)
      holdGrantUnanswered(Worker->Leases, SentAt);
    if (Answer.Outcome != OrderOutcome::Accepted) {
      this->holdFailed(Term, Worker, Answer.Outcome);
      co_await pauseFor(this->Io, HoldRetryPause);
      continue;
    }
    Worker->Ends.Acknowledged =
        std::max(Worker->Ends.Acknowledged, Order.AcknowledgedEnd);
    this->holdAnswered(Term, Worker, Answer.Report, SentAt);
    // The worker answers every hold at once while ends are unacknowledged, so
    // the next hold waits until they are stored, or until leases need it.
    if (Worker->Ends.awaitRecords())
      co_await Worker->Wake.wait(holdWait(Lease));
  }
  Worker->HoldLoopRunning = false;
}

void Dispatcher::holdAnswered(const TermPtr &Term, const WorkerPtr &Worker,
                              const WorkerReport &Report, Instant SentAt) {
  entryMetrics().Holds.add();
  const Instant Now = this->Time.monotonic();
  if (Worker->UnresponsiveSince.Ms != 0 && Worker->Synced)
    logEvent(LogLevel::Info, "worker_regained",
             {{"worker", Worker->Id},
              {"unresponsive_ms", (Now - Worker->UnresponsiveSince).Ms}});
  const bool Restarted =
      Report.IncarnationStartMs != Worker->IncarnationStartMs;
  if (Restarted) {
    const bool HadRuns = mayHaveRuns(Term->Table, Worker->Id);
    Term->Table.workerRestarted(Worker->Id, Report, SentAt, Now,
                                this->Time.wall().Ms);
    const bool AnsweredBefore = Worker->LastAcceptedAt.Ms != 0;
    if (HadRuns && (AnsweredBefore || !mayHaveRuns(Term->Table, Worker->Id)))
      this->noteRunsGivenUp(*Term, *Worker);
    Worker->IncarnationStartMs = Report.IncarnationStartMs;
    Worker->Ends = {};
    Worker->Ends.IncarnationStartMs = Report.IncarnationStartMs;
  }
  // The worker reads its clock when it answers, so ClockMs belongs to about Now
  // however long the hold waited.
  Worker->ClockOffsetMs = Report.ClockMs - Now.Ms;
  Worker->Synced = true;
  Worker->UnresponsiveSince = {};
  if (Report.MoreEnds)
    logEvent(LogLevel::Info, "more_ends_follow",
             {{"worker", Worker->Id},
              {"ends", static_cast<std::int64_t>(Report.Ended.size())},
              {"applied", Worker->Ends.Applied}});
  // An end is reported until it is acknowledged.
  WorkerReport News = Report;
  std::erase_if(News.Ended, [&](const EndedRun &End) {
    return End.Number <= Worker->Ends.Applied;
  });
  const std::vector<RunningTask> Unwanted = Term->Table.applyReport(
      Worker->Id, News, SentAt, Now, this->Time.wall().Ms);
  Worker->UnwantedUse = Term->Table.neededBy(Unwanted);
  for (const EndedRun &End : News.Ended)
    Worker->Ends.Applied = std::max(Worker->Ends.Applied, End.Number);
  for (const RunningTask &Task : Worker->Unwanted.update(Unwanted, Now)) {
    logEvent(LogLevel::Warning, "unwanted_run",
             {{"task", Task.Task}, {"run", Task.Run}, {"worker", Worker->Id}});
    spawnCoroutine(this->Io, "stop_task",
                   this->stopTask(Term, Worker, Task.Task, Task.Run));
  }
  const bool FirstAnswer = Worker->LastAcceptedAt.Ms == 0;
  Worker->LastAcceptedAt = SentAt;
  holdGrantAnswered(Worker->Leases, this->Settings.MaxLease, Restarted, SentAt,
                    Now);
  if (FirstAnswer)
    this->noteFirstAnswer(*Term, *Worker);
  this->requestRound();
}

void Dispatcher::holdFailed(const TermPtr &Term, const WorkerPtr &Worker,
                            OrderOutcome Outcome) {
  entryMetrics().HoldsFailed.add();
  const Instant Now = this->Time.monotonic();
  if (Worker->UnresponsiveSince.Ms == 0) {
    Worker->UnresponsiveSince = Now;
    logEvent(LogLevel::Warning, "worker_unresponsive",
             {{"worker", Worker->Id}, {"outcome", toString(Outcome)}});
  }
  const bool HadRuns = mayHaveRuns(Term->Table, Worker->Id);
  const Instant LeasesEnd = leasesEnd(Worker->Leases, this->Settings.MaxLease);
  // Members of a gang that lost a member take as long to end as stopped ones.
  Term->Table.workerUnresponsive(
      Worker->Id, Now - this->Settings.StopTimeout - GangEndMargin, LeasesEnd,
      Now);
  if (HadRuns && !mayHaveRuns(Term->Table, Worker->Id))
    this->noteRunsGivenUp(*Term, *Worker);
  if (Term->Table.dirty())
    this->requestRound();
  // Another worker answers at its address, so this worker no longer exists.
  const bool Replaced = Outcome == OrderOutcome::WrongWorker;
  if (!Replaced && Now < LeasesEnd)
    return;
  if (Term->Table.membersOn(Worker->Id).empty())
    return;
  if (mayHaveRuns(Term->Table, Worker->Id))
    this->noteRunsGivenUp(*Term, *Worker);
  if (Replaced && !Worker->Entry.Draining)
    Term->Table.workerCrashed(Worker->Id, Now, this->Time.wall().Ms,
                              "replaced");
  else
    Term->Table.workerLost(Worker->Id, Now,
                           Replaced ? "replaced" : "lease_ended");
  this->requestRound();
}

} // namespace pistachioflow
