// End-to-end tests of a queue with more waiting tasks than one round starts.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "pistachioflow/sched/placement.hpp"
#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// Small enough that all tasks of the test fit at once.
constexpr Resources SmallTask{100, 10, 0};
/// The jobs last until the test has ended.
constexpr std::int64_t WorkMs = 60'000;
constexpr std::int64_t JobCount = 3;
constexpr std::int64_t TasksPerJob = 300;
static_assert(TasksPerJob > static_cast<std::int64_t>(MaxStartsPerRound));

std::vector<SubmittedJob> wideJobs() {
  TaskScript Script;
  Script.WorkMs = WorkMs;
  Script.RequiredResources = SmallTask;
  std::vector<SubmittedJob> Jobs;
  for (std::uint64_t Number = 1; Number <= JobCount; ++Number)
    Jobs.push_back(makeJob(Number, TasksPerJob, false, Script));
  return Jobs;
}

} // namespace

// Guards against tasks that the bound on a round's starts leaves waiting, and
// against an owner that a long round costs its queues.
TEST_CASE("a queue longer than one round starts whole under one owner") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("full_queue"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const std::int64_t Epoch = Daemons.ownerEpoch();
        std::vector<SubmittedJob> Jobs = wideJobs();
        co_await submitAll(Daemons, Jobs);
        const std::function<bool()> AllRun = [&Daemons] {
          return Daemons.Platform.Simulator.runningCount() ==
                 JobCount * TasksPerJob;
        };
        if (!co_await Daemons.waitUntil(AllRun, StartLimit))
          Daemons.recordViolation(
              "only " +
              std::to_string(Daemons.Platform.Simulator.runningCount()) +
              " tasks run");
        if (Daemons.ownerEpoch() != Epoch)
          Daemons.recordViolation("the owner changed");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

// Guards against a successor that takes over a part of a long queue only.
TEST_CASE("a queue longer than one round starts whole after a take-over") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("full_queue_take_over"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
        std::vector<SubmittedJob> Jobs = wideJobs();
        co_await submitAll(Daemons, Jobs);
        Daemons.signalMember(Owner, SIGKILL);
        const std::function<bool()> AllRun = [&Daemons] {
          return Daemons.Platform.Simulator.runningCount() ==
                 JobCount * TasksPerJob;
        };
        if (!co_await Daemons.waitUntil(AllRun, EndLimit))
          Daemons.recordViolation(
              "only " +
              std::to_string(Daemons.Platform.Simulator.runningCount()) +
              " tasks run");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
