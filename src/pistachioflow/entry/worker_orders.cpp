// Orders to workers: starts and stops.

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

StartOrder makeStartOrder(const Unit &Started, std::size_t Index,
                          std::int64_t Epoch) {
  StartOrder Order;
  Order.Task = Started.taskName(Index);
  Order.Run = Started.Run;
  Order.Payload = Started.ParentJob->Submission.Job.Payload;
  Order.Checkpoint = Started.Checkpoint;
  Order.Epoch = Epoch;
  return Order;
}

} // namespace

/// Why evacuations forbid a start; empty: they don't.
std::string_view
Dispatcher::evacuationObstacle(const WorkerLink &Worker) const {
  if (this->evacuated().contains(Worker.Entry.FailureDomain))
    return "domain_evacuated";
  return this->Evacuations.Current() ? "" : "evacuations_unknown";
}

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
  const auto Obstacle = [&]() -> std::string_view {
    if (Term->mayHaveSuccessor(this->Time))
      return "owner_out_of_touch";
    const std::string_view Evacuation = this->evacuationObstacle(*Worker);
    return Evacuation.empty() ? startObstacle(Term->Table, *Worker, Incarnation)
                              : Evacuation;
  };
  if (const std::string_view Reason = Obstacle(); !Reason.empty()) {
    if (Reason == this->evacuationObstacle(*Worker))
      entryMetrics().StartsEvacuated.add();
    Term->Table.refuse(Task, Run, this->Time.monotonic(), RefusalRetryPause,
                       Reason);
    this->requestRound();
    co_return;
  }
  StartOrder Order = makeStartOrder(*StartedUnit, Index, Term->Epoch);
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
      this->startRefused(Term, Worker, Order, Answer.Outcome);
      co_return;
    }
    MaybeStarted = true;
    co_await pauseFor(this->Io, OrderRetryPause);
    if (!Term->Active)
      co_return;
    if (!Obstacle().empty())
      break;
    const bool Same =
        co_await this->confirmIncarnation(Term, Worker, Incarnation);
    if (!Term->Active)
      co_return;
    if (!Same || !Obstacle().empty())
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

/// Handles an answer by which the start was not carried out.
void Dispatcher::startRefused(const TermPtr &Term, const WorkerPtr &Worker,
                              const StartOrder &Order, OrderOutcome Outcome) {
  const Instant Now = this->Time.monotonic();
  Worker->AvoidedUntil = Now + AvoidAfterRefusal;
  if (Outcome == OrderOutcome::Unhealthy)
    recordRefusal(Worker->Trust, Now);
  if (Outcome == OrderOutcome::LeaseExpired ||
      Outcome == OrderOutcome::WrongWorker)
    Worker->Synced = false;
  Term->Table.refuse(Order.Task, Order.Run, Now, RefusalRetryPause,
                     toString(Outcome));
  this->ensureHoldLoop(Term, Worker);
  this->requestRound();
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

} // namespace pistachioflow
