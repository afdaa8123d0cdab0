// End-to-end tests of runs that no job wants.

#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// The owner learns of the unwanted run when the other one on its worker ends.
constexpr std::int64_t WorkMs = 1'000;
constexpr std::int64_t UnwantedWorkMs = 10'000;
/// As on the platform; the run is listed all the while.
constexpr Duration StopTime{900};
/// In which the platform expects an owner to stop what it finds.
constexpr Duration ContactTimeout{3'000};
/// The first one, and one more if its answer or the end is late.
constexpr std::int64_t MaxStops = 2;
const std::string UnwantedJob = "00000000000000ff";

SubmittedJob oneTaskOnEachWorker() {
  TaskScript Script;
  Script.WorkMs = WorkMs;
  Script.RequiredResources = {1'000, 100, 5};
  return makeJob(1, WorkerCount, false, Script);
}

/// Starts a run as an owner of the same epoch would, whose order came late.
void startUnwantedRun(Fleet &Daemons) {
  TaskScript Script;
  Script.WorkMs = UnwantedWorkMs;
  StartOrder Order;
  Order.Task = UnwantedJob + ".0.0.0";
  Order.Run = 1;
  Order.Payload = formatScript(Script);
  Order.Epoch = Daemons.ownerEpoch();
  const Instant Now = Daemons.Time.monotonic();
  Order.LeaseUntilMs = Now.Ms + UnwantedWorkMs;
  Daemons.Platform.Simulator.expectJob(UnwantedJob);
  Daemons.Platform.Simulator.start("w0", Order, Now);
}

asio::awaitable<void> waitForRuns(Fleet &Daemons, std::int64_t Count,
                                  Duration Limit) {
  const std::function<bool()> Reached = [&Daemons, Count] {
    return Daemons.Platform.Simulator.runningCount() == Count;
  };
  if (!co_await Daemons.waitUntil(Reached, Limit))
    Daemons.recordViolation("never " + std::to_string(Count) + " runs");
}

} // namespace

// Guards against an owner that sends stops and holds without a pause until the
// run has ended: 1,100 in 0.2 s.
TEST_CASE("a run that no job wants is told to stop once") {
  const std::int64_t RefusedStops = GENERATE(0, 3);
  CAPTURE(RefusedStops);
  Fleet Fixture(Instances, WorkerCount, 1, folder("unwanted_run"));
  Fixture.Platform.Simulator.Limits.StopTime = StopTime;
  Fixture.Platform.WorkerBehaviour.RefusedStops = RefusedStops;
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs{oneTaskOnEachWorker()};
        co_await submitAll(Daemons, Jobs);
        co_await waitForRuns(Daemons, WorkerCount, StartLimit);
        startUnwantedRun(Daemons);
        co_await waitForRuns(Daemons, WorkerCount + 1, StartLimit);
        co_await waitForRuns(Daemons, 1, StartLimit);
        co_await waitForRuns(Daemons, 0, ContactTimeout);
        const std::int64_t Stops = Daemons.Platform.Simulator.stopCount();
        if (Stops > MaxStops)
          Daemons.recordViolation(std::to_string(Stops) + " stops");
        co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
