// End-to-end tests with tasks that crash the workers that start them.

#include <csignal>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

constexpr std::uint64_t DeadlyJobNumber = 500;
/// A task's budget of crashed workers.
constexpr std::int64_t MaxCrashes = 4;
/// Enough for each crash to be seen and waited for.
constexpr Duration GiveUpLimit{45'000};

struct DeadlyCase {
  const char *Name;
  std::int64_t Tasks; ///< More than one: a gang.
  std::int64_t CrashAfterMs;
  Duration RestartDelay;
  bool OwnerKilled; ///< After the second crash.
};

SubmittedJob deadlyJob(const DeadlyCase &Case) {
  TaskScript Script;
  Script.CrashingRuns = 1'000;
  Script.CrashAfterMs = Case.CrashAfterMs;
  return makeJob(DeadlyJobNumber, Case.Tasks, Case.Tasks > 1, Script);
}

asio::awaitable<void> killOwnerAfterCrashes(Fleet &Daemons,
                                            const std::string &Task) {
  constexpr std::int64_t CrashesBefore = 2;
  const std::function<bool()> Crashed = [&Daemons, &Task] {
    return Daemons.Platform.Simulator.crashCount(Task) >= CrashesBefore;
  };
  if (!co_await Daemons.waitUntil(Crashed, StartLimit))
    Daemons.recordViolation("the deadly task crashes no workers");
  Daemons.signalMember(static_cast<std::size_t>(Daemons.ownerIndex()), SIGKILL);
}

/// Returns whether the job was given up.
asio::awaitable<bool> expectGivenUp(Fleet &Daemons, const SubmittedJob &Job) {
  const std::string State = co_await Daemons.waitForEnd(Job.Id, GiveUpLimit);
  if (State != "failed")
    Daemons.recordViolation("the deadly job is shown as '" + State + "'");
  for (const std::string &Task : Job.Tasks) {
    const std::int64_t Crashes = Daemons.Platform.Simulator.crashCount(Task);
    if (Crashes > MaxCrashes)
      Daemons.recordViolation(Task + " crashed " + std::to_string(Crashes) +
                              " workers");
  }
  co_return State == "failed";
}

} // namespace

TEST_CASE("a task that crashes its workers is given up, innocent jobs "
          "complete",
          "[slow]") {
  const auto Case = GENERATE(
      DeadlyCase{"deadly_task", 1, 20, {1'000}, false},
      DeadlyCase{"deadly_at_start", 1, 0, {1'000}, false},
      // The worker is back before its start would be sent a third time.
      DeadlyCase{"deadly_back_soon", 1, 0, {600}, false},
      DeadlyCase{"deadly_gang", 3, 20, {1'000}, false},
      DeadlyCase{"deadly_owner_killed", 1, 20, {1'000}, true});
  CAPTURE(Case.Name);
  Fleet Fixture(Instances, WorkerCount, 1, folder(Case.Name));
  Fixture.Platform.Simulator.Limits.RestartDelay = Case.RestartDelay;
  const std::vector<std::string> Violations =
      Fixture.run([&Case](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs = mixedJobs(12, 400);
        co_await submitAll(Daemons, Jobs);
        SubmittedJob Deadly = deadlyJob(Case);
        co_await Daemons.submit(Deadly, 0, 50);
        if (Case.OwnerKilled)
          co_await killOwnerAfterCrashes(Daemons, Deadly.Tasks.front());
        if (co_await expectGivenUp(Daemons, Deadly))
          co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
