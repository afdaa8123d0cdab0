// End-to-end tests of gangs that are being started when the owner changes.

#include <csignal>
#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t GangCount = 12;
constexpr std::int64_t GangSize = 4;
constexpr std::int64_t WorkMs = 500;
/// Longer than the time without heartbeats after which an owner is replaced.
constexpr Duration PauseTime{2'500};

std::vector<SubmittedJob> makeGangs() {
  TaskScript Script;
  Script.WorkMs = WorkMs;
  std::vector<SubmittedJob> Jobs;
  for (std::uint64_t Number = 1; Number <= GangCount; ++Number)
    Jobs.push_back(makeJob(Number, GangSize, true, Script));
  return Jobs;
}

/// Sends \p Signal to the owner \p Delay after a worker has seen the first
/// start, and continues it later if it was stopped.
asio::awaitable<void> interruptOwner(Fleet &Daemons, std::size_t Owner,
                                     int Signal, Duration Delay) {
  const std::function<bool()> Started = [&Daemons] {
    return Daemons.Platform.Simulator.startCount() > 0;
  };
  co_await Daemons.waitUntil(Started, StartLimit);
  co_await pauseFor(Daemons.io(), Delay);
  Daemons.signalMember(Owner, Signal);
  co_await pauseFor(Daemons.io(), PauseTime);
  Daemons.signalMember(Owner, SIGCONT);
}

} // namespace

// Guards against members that wait for their gang in vain, since the owner that
// started them was replaced before it started the others.
TEST_CASE("gangs that are being started when the owner changes do not wait") {
  const int Signal = GENERATE(SIGKILL, SIGSTOP);
  const std::int64_t DelayMs = GENERATE(0, 5);
  CAPTURE(Signal, DelayMs);
  Fleet Fixture(Instances, WorkerCount, 1, folder("gang_take_over"));
  const std::vector<std::string> Violations =
      Fixture.run([=](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs = makeGangs();
        const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
        spawnCoroutine(
            Daemons.io(), "interrupt",
            interruptOwner(Daemons, Owner, Signal, Duration{DelayMs}));
        co_await submitAll(Daemons, Jobs);
        co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
