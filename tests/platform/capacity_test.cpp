// End-to-end tests with workers that do not guard their capacity.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// Shorter than the platform's: a heartbeat, the pause between two reads of the
/// list of workers and a margin.
constexpr Duration CapacityNotice{900};
/// Longer than the notice, shorter than the time after which an owner without
/// heartbeats is replaced.
constexpr Duration AppendDelay{1'400};
/// Enough for a repeated append and the starts that wait for it.
constexpr Duration SendTime{1'500};
/// Enough for the owner to decide on starts.
constexpr Duration DecisionTime{100};
constexpr Resources HalfWorker{8'000, 8'000, 4};

/// A job with a task for each worker that needs all of it.
SubmittedJob fillingJob(std::uint64_t Number, std::int64_t WorkMs) {
  TaskScript Script;
  Script.WorkMs = WorkMs;
  Script.RequiredResources = {1'000, 100, WorkerCapacity.Accelerators};
  return makeJob(Number, WorkerCount, false, Script);
}

void setCapacities(Fleet &Daemons, Resources Capacity) {
  for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker)
    Daemons.Platform.Simulator.setCapacity("w" + std::to_string(Worker),
                                           Capacity, Daemons.Time.monotonic());
}

asio::awaitable<void> waitForRunning(Fleet &Daemons, std::int64_t Count) {
  const std::function<bool()> Reached = [&Daemons, Count] {
    return Daemons.Platform.Simulator.runningCount() == Count;
  };
  if (!co_await Daemons.waitUntil(Reached, StartLimit))
    Daemons.recordViolation("never " + std::to_string(Count) + " runs");
}

} // namespace

TEST_CASE("no start exceeds a capacity that shrank after it was decided") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("capacity_shrinks"));
  Fixture.Platform.Simulator.Limits.CapacityNotice = CapacityNotice;
  for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker)
    Fixture.Platform.Simulator.setGuardsCapacity("w" + std::to_string(Worker),
                                                 false);
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs{fillingJob(1, 1'500),
                                       fillingJob(2, 300)};
        co_await submitAll(Daemons, Jobs);
        co_await waitForRunning(Daemons, WorkerCount);
        // The starts of the second job wait for their records.
        Daemons.Platform.StoreBehaviour.AppendDelay = AppendDelay;
        co_await waitForRunning(Daemons, 0);
        co_await pauseFor(Daemons.io(), DecisionTime);
        setCapacities(Daemons, HalfWorker);
        co_await pauseFor(Daemons.io(), AppendDelay);
        Daemons.Platform.StoreBehaviour.AppendDelay = {};
        co_await pauseFor(Daemons.io(), SendTime);
        setCapacities(Daemons, WorkerCapacity);
        co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
