#include "pistachioflow/platform_standin/task_simulator.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

const std::string JobId = "00000000000000aa";
const std::string Task = JobId + ".0.0.0";
const std::string OtherTask = JobId + ".0.0.1";
constexpr Resources WorkerCapacity{4'000, 400, 4};
constexpr Instant Begin{10'000};

/// One simulated worker and orders for it.
struct SimulatorFixture {
  TaskSimulator Simulator{SimulatorLimits{}};
  Instant Now = Begin;

  SimulatorFixture() {
    this->Simulator.addWorker("w", WorkerCapacity);
    this->Simulator.expectJob(JobId);
  }

  OrderOutcome start(const std::string &Name, std::int64_t Run,
                     const std::string &Script) {
    StartOrder Order;
    Order.Task = Name;
    Order.Run = Run;
    Order.Payload = Script;
    Order.LeaseUntilMs = this->Now.Ms + 5'000;
    return this->Simulator.start("w", Order, this->Now).Outcome;
  }

  void pass(Duration Time) {
    this->Now = this->Now + Time;
    this->Simulator.advance(this->Now);
  }
};

} // namespace

TEST_CASE("a script is read as it was written") {
  TaskScript Script;
  Script.WorkMs = 7;
  Script.CrashingRuns = 3;
  Script.CrashAfterMs = 0;
  const TaskScript Read = parseScript(formatScript(Script));
  REQUIRE(Read.WorkMs == 7);
  REQUIRE(Read.CrashingRuns == 3);
  REQUIRE(Read.CrashAfterMs == 0);
}

TEST_CASE("a task crashes its worker, which returns as a new incarnation") {
  const auto AfterMs = GENERATE(std::int64_t{0}, std::int64_t{20});
  CAPTURE(AfterMs);
  SimulatorFixture Fixture;
  const std::int64_t Before = Fixture.Simulator.incarnationStartMs("w");
  REQUIRE(Fixture.start(OtherTask, 1, "ms=9000") == OrderOutcome::Accepted);
  Fixture.start(Task, 1, "crash=1 crash_after_ms=" + std::to_string(AfterMs));
  REQUIRE(Fixture.Simulator.isUp("w") == (AfterMs > 0));
  Fixture.pass(Duration{AfterMs});
  REQUIRE_FALSE(Fixture.Simulator.isUp("w"));
  REQUIRE(Fixture.Simulator.runningCount() == 0);
  REQUIRE(Fixture.Simulator.crashCount(Task) == 1);
  REQUIRE(Fixture.Simulator.crashCount(OtherTask) == 0);
  REQUIRE(Fixture.Simulator.crashesUnder(OtherTask) == 1);
  Fixture.pass(Fixture.Simulator.Limits.RestartDelay);
  REQUIRE(Fixture.Simulator.isUp("w"));
  REQUIRE(Fixture.Simulator.incarnationStartMs("w") > Before);
  // The first run only crashes.
  REQUIRE(Fixture.start(Task, 2, "crash=1") == OrderOutcome::Accepted);
  Fixture.pass(Duration{50});
  REQUIRE(Fixture.Simulator.isUp("w"));
  REQUIRE(Fixture.Simulator.violations().empty());
}

TEST_CASE("a task may be started twice, not three times, after three crashes") {
  const auto [Starts, Broken] =
      GENERATE(table<std::int64_t, bool>({{5, false}, {6, true}}));
  SimulatorFixture Fixture;
  for (std::int64_t Run = 1; Run <= Starts; ++Run) {
    Fixture.start(Task, Run, "crash=99 crash_after_ms=0");
    Fixture.pass(Fixture.Simulator.Limits.RestartDelay);
  }
  REQUIRE(Fixture.Simulator.violations().empty() == !Broken);
}

TEST_CASE("starts beyond a shown capacity are violations on workers that do "
          "not guard it") {
  struct Row {
    const char *Name;
    bool Guards;
    std::int64_t ShrunkForMs; ///< How long ago; -1: never.
    bool Stopping;            ///< The first task is being stopped.
    OrderOutcome Outcome;
    bool Violation;
  };
  const auto Case = GENERATE(
      Row{"room left", false, -1, false, OrderOutcome::Accepted, false},
      Row{"shrunk lately", false, 3'500, false, OrderOutcome::Accepted, false},
      Row{"shrunk before", false, 3'501, false, OrderOutcome::Accepted, true},
      Row{"stops still count", false, 3'501, true, OrderOutcome::Accepted,
          true},
      Row{"guarded", true, 0, false, OrderOutcome::InsufficientCapacity,
          false});
  CAPTURE(Case.Name);
  SimulatorFixture Fixture;
  Fixture.Simulator.setGuardsCapacity("w", Case.Guards);
  REQUIRE(Fixture.start(OtherTask, 1, "ms=9000 acc=2") ==
          OrderOutcome::Accepted);
  if (Case.ShrunkForMs >= 0) {
    Fixture.Simulator.setCapacity("w", {4'000, 400, 3}, Fixture.Now);
    REQUIRE(Fixture.Simulator.capacity("w").Accelerators == 3);
    Fixture.Now = Fixture.Now + Duration{Case.ShrunkForMs};
  }
  if (Case.Stopping)
    Fixture.Simulator.stop("w", OtherTask, 1, 0, Fixture.Now);
  REQUIRE(Fixture.start(Task, 1, "acc=2") == Case.Outcome);
  REQUIRE(Fixture.Simulator.violations().empty() == !Case.Violation);
}

TEST_CASE("a gang that waits in vain is a violation unless something else kept "
          "it incomplete") {
  enum class Before { Nothing, Crash, CutOffOwner, OldCrash };
  const auto [What, Violations] =
      GENERATE(table<Before, std::size_t>({{Before::Nothing, 1},
                                           {Before::Crash, 0},
                                           {Before::CutOffOwner, 0},
                                           {Before::OldCrash, 1}}));
  SimulatorFixture Fixture;
  Fixture.Simulator.addWorker("other", WorkerCapacity);
  const SimulatorLimits Limits;
  if (What == Before::OldCrash) {
    Fixture.Simulator.crash("other", Fixture.Now);
    Fixture.pass(Limits.RestartDelay + Duration{1});
  }
  REQUIRE(Fixture.start(Task, 1, "gang=2") == OrderOutcome::Accepted);
  if (What == Before::Crash)
    Fixture.Simulator.crash("other", Fixture.Now);
  if (What == Before::CutOffOwner)
    Fixture.Simulator.noteDisruption(Fixture.Now);
  Fixture.pass(Limits.GangTimeout);
  REQUIRE(Fixture.Simulator.violations().size() == Violations);
}

} // namespace pistachioflow
