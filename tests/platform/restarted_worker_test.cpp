// End-to-end tests of workers that restart under their ids and take calls that
// were meant for their earlier processes.

#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "pistachioflow/entry/lease_bounds.hpp"
#include "scenario.hpp"

namespace pistachioflow {

namespace {

constexpr std::int64_t EndlessMs = 600'000;
constexpr Duration MaxLease{6'000};
/// The owner notices that a worker is silent, and starts the task elsewhere.
constexpr Duration ReplacementTime{4'000};
/// A call to a worker that is cut off has no answer within this time.
constexpr Duration LongestCall{2'500};

SubmittedJob fillingJob(std::uint64_t Number) {
  TaskScript Script;
  Script.WorkMs = EndlessMs;
  Script.RequiredResources = {1'000, 100, 8};
  return makeJob(Number, 1, false, Script);
}

/// Starts a job that fills a worker. Returns the worker.
asio::awaitable<std::string> startJob(Fleet &Daemons, SubmittedJob &Job) {
  co_await Daemons.submit(Job, 0, 50);
  const TaskSimulator &Workers = Daemons.Platform.Simulator;
  const std::string Task = Job.Tasks.front();
  const std::function<bool()> Started = [&Workers, Task] {
    return !Workers.workerOf(Task).empty();
  };
  if (!co_await Daemons.waitUntil(Started, StartLimit))
    Daemons.recordViolation(Task + " does not start");
  co_return Workers.workerOf(Task);
}

/// Frees the worker of a job.
asio::awaitable<void> endJob(Fleet &Daemons, SubmittedJob Job) {
  const TaskSimulator &Workers = Daemons.Platform.Simulator;
  const std::string Task = Job.Tasks.front();
  if (!co_await Daemons.cancel(Job.Id, 0))
    Daemons.recordViolation(Job.Id + " is not cancelled");
  const std::function<bool()> Ended = [&Workers, Task] {
    return Workers.workerOf(Task).empty();
  };
  if (!co_await Daemons.waitUntil(Ended, StartLimit))
    Daemons.recordViolation(Task + " does not end");
}

/// Restarts a worker so that its list entry still shows the earlier process.
void restartUnnoticed(Fleet &Daemons, const std::string &Worker) {
  const std::string Entry = Daemons.Platform.workerEntry(Worker);
  Daemons.Platform.OddEntries[Worker] = [Entry](const std::string &) {
    return Entry;
  };
  Daemons.Platform.Simulator.crash(Worker, Daemons.Time.monotonic());
}

/// Cuts a worker off from everybody once it has carried out a start.
void cutOffAfterStart(Fleet &Daemons, const std::string &Worker,
                      bool StartAnswered) {
  WorkerFaults &Faults = Daemons.Platform.WorkerBehaviour;
  Faults.Started = [&Faults, Worker, StartAnswered](const std::string &Id) {
    if (Id == Worker && !Faults.Cut)
      Faults.Cut = Partition{NoOwnerEpoch, {Worker}, StartAnswered};
  };
}

} // namespace

// Guards against a task that runs twice at once: a worker's next process took a
// start with a deadline on the clock of its earlier one, which grants the
// longest lease, and the owner waited for a shorter one.
TEST_CASE("a task does not run beside its run on a worker that restarted and "
          "was cut off",
          "[late]") {
  const bool StartAnswered = GENERATE(true, false);
  CAPTURE(StartAnswered);
  Fleet Fixture(Instances, 2, 1, folder("restarted_worker"));
  const std::vector<std::string> Violations =
      Fixture.run([StartAnswered](Fleet &Daemons) -> asio::awaitable<void> {
        const TaskSimulator &Workers = Daemons.Platform.Simulator;
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Fillers{fillingJob(1), fillingJob(2)};
        const std::string Restarted =
            co_await startJob(Daemons, Fillers.front());
        const std::string Other = co_await startJob(Daemons, Fillers.back());
        co_await endJob(Daemons, Fillers.front());
        co_await pauseFor(Daemons.io(), maxLocalLease(MaxLease));
        restartUnnoticed(Daemons, Restarted);
        cutOffAfterStart(Daemons, Restarted, StartAnswered);
        SubmittedJob Job = fillingJob(3);
        const std::string First = co_await startJob(Daemons, Job);
        if (First != Restarted)
          Daemons.recordViolation("started on " + First);
        co_await endJob(Daemons, Fillers.back());
        const std::string Task = Job.Tasks.front();
        const std::function<bool()> Moved = [&Workers, Task, Other] {
          return Workers.workerOf(Task) == Other;
        };
        const Duration Limit =
            LongestCall + maxLocalLease(MaxLease) + ReplacementTime;
        if (!co_await Daemons.waitUntil(Moved, Limit))
          Daemons.recordViolation("the task is not started again in time");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
