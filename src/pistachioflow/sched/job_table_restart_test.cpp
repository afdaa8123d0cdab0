// Workers that restart under their ids and take calls that were meant for their
// earlier processes.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "job_table_test_support.hpp"

namespace pistachioflow {

namespace {

constexpr std::int64_t NextIncarnation = 2;
constexpr std::int64_t WallMs = 2'000;
constexpr Duration Later{100};

/// A table with one task that was sent to w0.
struct SentTaskFixture {
  JobTable Table;
  Instant Now{10'000};
  Unit *Task = nullptr;

  SentTaskFixture() {
    this->Table.addSubmission(JobId, makeSubmission({makeStep(1, false)}),
                              this->Now, 1'000);
    this->Table.unlockDueSteps(this->Now, 1'000);
    this->Task = this->Table.placeable(this->Now).front();
    this->Table.place(*this->Task, {{{"w0", 1}}}, this->Now);
    this->Table.markSent({this->Task, 0}, this->Task->Run, this->Now);
  }

  WorkerReport emptyReport() const {
    WorkerReport Report;
    Report.IncarnationStartMs = NextIncarnation;
    return Report;
  }

  /// The next process reports that nothing runs there.
  void report() {
    this->Now = this->Now + Later;
    this->Table.applyReport("w0", this->emptyReport(), this->Now, this->Now,
                            WallMs);
  }

  bool occupied() const { return !this->Table.membersOn("w0").empty(); }
};

} // namespace

// Guards against a task that runs twice at once: the answer to its start came
// before an older report of the process that had just taken it.
TEST_CASE("a run confirmed since a restarted worker was asked is not lost") {
  const auto [ConfirmedAfter, Kept] =
      GENERATE(table<bool, bool>({{true, true}, {false, false}}));
  SentTaskFixture Fixture;
  const Instant AskedAt = Fixture.Now + Later;
  Fixture.Table.confirm(Fixture.Task->name(), 1,
                        ConfirmedAfter ? AskedAt : Fixture.Now);
  Fixture.Now = AskedAt + Later;
  Fixture.Table.workerRestarted("w0", Fixture.emptyReport(), AskedAt,
                                Fixture.Now, WallMs);
  REQUIRE(Fixture.occupied() == Kept);
  REQUIRE(Fixture.Task->Crashes.Crashes.empty() == Kept);
  // The next report is newer than the answer.
  Fixture.report();
  REQUIRE_FALSE(Fixture.occupied());
}

// Guards against a task that runs twice at once: a stop that the earlier
// process accepted does not keep the next one from carrying out the start late.
TEST_CASE("a start without an answer is stopped at the next process too") {
  SentTaskFixture Fixture;
  const std::string Task = Fixture.Task->name();
  Fixture.Table.giveUpStart(Task, 1);
  REQUIRE(Fixture.Task->Members[0].StartGivenUp);
  Fixture.Table.stopAccepted(Task, 1, Fixture.Now);
  const Instant AskedAt = Fixture.Now + Later;
  Fixture.Now = AskedAt + Later;
  Fixture.Table.workerRestarted("w0", Fixture.emptyReport(), AskedAt,
                                Fixture.Now, WallMs);
  Fixture.report();
  REQUIRE(Fixture.occupied());
  Fixture.Table.stopAccepted(Task, 1, Fixture.Now);
  Fixture.report();
  REQUIRE_FALSE(Fixture.occupied());
}

// Guards against innocent jobs that are shown as failed: each further restart
// of a worker that another task crashes counted as a crash under a start that
// the worker had never answered.
TEST_CASE("a start without an answer counts for one crash of its worker") {
  SentTaskFixture Fixture;
  Fixture.Table.giveUpStart(Fixture.Task->name(), 1);
  WorkerReport Report;
  for (std::int64_t Next = NextIncarnation; Next < NextIncarnation + 3;
       ++Next) {
    Fixture.Now = Fixture.Now + Later;
    Report.IncarnationStartMs = Next;
    Fixture.Table.workerRestarted("w0", Report, Fixture.Now, Fixture.Now,
                                  WallMs);
    REQUIRE(Fixture.occupied());
    REQUIRE(Fixture.Task->Crashes.Crashes.size() == 1);
  }
}

} // namespace pistachioflow
