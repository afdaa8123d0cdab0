// Holds: the long polls that renew the leases of a worker and bring its
// reports.

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// Workers tell each other of a gang's end, within a few milliseconds.
constexpr Duration GangEndMargin{500};

} // namespace

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
  this->learnPaces(*Term, *Worker, Now);
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
