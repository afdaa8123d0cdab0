// Reports that list only the first of a worker's ended runs.

#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "job_table_test_support.hpp"

namespace pistachioflow {

namespace {

constexpr std::int64_t FirstIncarnation = 1;

/// A table with one task, in the phase that a test needs.
struct TaskFixture : TableFixture {
  TaskFixture() : TableFixture({makeStep(1, false)}) {}

  void adopt() {
    UnitRecord Record;
    Record.Run = 1;
    Record.Places = {{"w0", FirstIncarnation}};
    this->Table.restoreUnit(this->task(0, 0), Record, this->Now, this->Now);
  }

  void acceptStop() {
    this->startAll();
    this->Table.stopAccepted(this->task(0, 0), 1, this->Now);
  }

  /// The worker reports ends of other tasks only.
  WorkerReport reportOfOthers(bool MoreEnds) {
    this->Now = this->Now + Duration{10};
    WorkerReport Report;
    Report.IncarnationStartMs = FirstIncarnation;
    Report.Ended = {{1, "00000000000000bb.0.0.0", 1, RunOutcome::Done, {}}};
    Report.MoreEnds = MoreEnds;
    return Report;
  }

  bool occupied() const { return !this->Table.membersOn("w0").empty(); }
};

} // namespace

// Guards against a task that runs again although it has ended as done: its end
// was not among the 500 that the worker reports at a time.
TEST_CASE("a run that is not among the first ends of a worker is not lost") {
  struct Row {
    const char *Name;
    void (*Prepare)(TaskFixture &);
  };
  const auto Case = GENERATE(
      Row{"confirmed", [](TaskFixture &Fixture) { Fixture.startAll(); }},
      Row{"stopped", [](TaskFixture &Fixture) { Fixture.acceptStop(); }},
      Row{"adopted", [](TaskFixture &Fixture) { Fixture.adopt(); }});
  const bool MoreEnds = GENERATE(true, false);
  CAPTURE(Case.Name, MoreEnds);
  TaskFixture Fixture;
  Case.Prepare(Fixture);
  const WorkerReport Report = Fixture.reportOfOthers(MoreEnds);
  Fixture.Table.applyReport("w0", Report, Fixture.Now, Fixture.Now, 2'000);
  REQUIRE(Fixture.occupied() == MoreEnds);
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::Done);
  REQUIRE((Fixture.phase() == JobPhase::Completed) == MoreEnds);
}

// Guards against the same after a restart: the new process has ended the run.
TEST_CASE("a run that a restarted worker may have ended is not lost") {
  const bool MoreEnds = GENERATE(true, false);
  TaskFixture Fixture;
  Fixture.startAll();
  WorkerReport Report = Fixture.reportOfOthers(MoreEnds);
  Report.IncarnationStartMs = FirstIncarnation + 1;
  Fixture.Table.workerRestarted("w0", Report, Fixture.Now, Fixture.Now, 2'000);
  REQUIRE(Fixture.occupied() == MoreEnds);
}

// Guards against a failure that does not count: it was reported later than the
// first ends of a worker that had been unresponsive.
TEST_CASE("a presumed end is resolved only by a report of all ends") {
  const bool MoreEnds = GENERATE(true, false);
  TableFixture Fixture({makeStep(2, true)}, 1);
  Fixture.startAll();
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::GangBroken);
  const Instant LeaseEnds = Fixture.Now + Duration{6'000};
  Fixture.Table.workerUnresponsive("w1", Fixture.Now + Duration{1}, LeaseEnds,
                                   Fixture.Now);
  WorkerReport Report;
  Report.IncarnationStartMs = FirstIncarnation;
  Report.MoreEnds = MoreEnds;
  Fixture.Table.applyReport("w1", Report, Fixture.Now, Fixture.Now, 2'000);
  Fixture.end("w1", Fixture.task(0, 1), 1, RunOutcome::Failed);
  REQUIRE((Fixture.phase() == JobPhase::Failed) == MoreEnds);
}

} // namespace pistachioflow
