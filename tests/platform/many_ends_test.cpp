// End-to-end tests of workers that have more ended runs than they report at a
// time.

#include <csignal>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// One worker holds them all, and reports their ends in three parts.
constexpr std::int64_t TaskCount = 1'300;
constexpr std::int64_t WorkMs = 6'000;
constexpr Duration OutageTime{4'000};

SubmittedJob manySmallTasks() {
  TaskScript Script;
  Script.WorkMs = WorkMs;
  Script.RequiredResources = {10, 10, 0};
  return makeJob(1, TaskCount, false, Script);
}

enum class Trouble { OwnerKilled, StoreRefuses };

/// Waits until the first task has ended, so that the others end while the owner
/// is away or can't record their ends.
asio::awaitable<void> disturbAtFirstEnd(Fleet &Daemons, Trouble Kind) {
  const TaskSimulator &Workers = Daemons.Platform.Simulator;
  const std::function<bool()> AllStarted = [&Workers] {
    return Workers.startCount() >= TaskCount;
  };
  if (!co_await Daemons.waitUntil(AllStarted, StartLimit))
    Daemons.recordViolation("the tasks do not start");
  const std::function<bool()> FirstEnded = [&Workers] {
    return Workers.runningCount() < TaskCount;
  };
  co_await Daemons.waitUntil(FirstEnded, StartLimit);
  if (Kind == Trouble::OwnerKilled) {
    const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
    Daemons.signalMember(Owner, SIGKILL);
    co_return;
  }
  Daemons.Platform.StoreBehaviour.Refusing = true;
  co_await pauseFor(Daemons.io(), OutageTime);
  Daemons.Platform.StoreBehaviour.Refusing = false;
}

} // namespace

// Guards against tasks that run a second time: their ends were not among the
// first 500 that their worker reported.
TEST_CASE("every task runs once although its worker reports its end late",
          "[late]") {
  const auto Kind = GENERATE(Trouble::OwnerKilled, Trouble::StoreRefuses);
  CAPTURE(static_cast<int>(Kind));
  Fleet Fixture(Instances, 1, 1, folder("many_ends"));
  const std::vector<std::string> Violations =
      Fixture.run([Kind](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs{manySmallTasks()};
        co_await submitAll(Daemons, Jobs);
        co_await disturbAtFirstEnd(Daemons, Kind);
        co_await expectCompleted(Daemons, Jobs);
        const std::int64_t Starts = Daemons.Platform.Simulator.startCount();
        if (Starts != TaskCount)
          Daemons.recordViolation(std::to_string(Starts) + " starts");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
