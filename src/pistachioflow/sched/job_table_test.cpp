#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

const std::string JobId = "00000000000000aa";

SubmissionRecord makeSubmission(std::vector<StepSpec> Steps,
                                std::int64_t Attempts = 2) {
  SubmissionRecord Made;
  Made.Queue = "queue";
  Made.Workspace = "team";
  Made.AcceptedWallMs = 1'000;
  Made.Terms.Service = "svc";
  Made.Terms.MaxAttempts = Attempts;
  Made.Job.Steps = std::move(Steps);
  return Made;
}

StepSpec makeStep(std::int64_t Tasks, bool Gang) {
  StepSpec Step;
  Step.TaskCount = Tasks;
  Step.Gang = Gang;
  Step.TaskResources = {1'000, 100, 1};
  return Step;
}

/// A table with one job, driven by hand.
struct Driver {
  JobTable Table;
  Instant Now{10'000};

  explicit Driver(std::vector<StepSpec> Steps, std::int64_t Attempts = 2) {
    this->Table.addSubmission(JobId, makeSubmission(std::move(Steps), Attempts),
                              this->Now, 1'000);
    this->Table.unlockDueSteps(this->Now, 1'000);
  }

  /// Places every unit that waits, each member on a worker of its own, and
  /// confirms the starts.
  std::size_t startAll() {
    this->Table.unlockDueSteps(this->Now, 1'000);
    const std::vector<Unit *> Units =
        this->Table.placeable(this->Now + Duration{1'000});
    std::size_t Worker = 0;
    for (Unit *Of : Units) {
      std::vector<PlaceRecord> Places;
      for (std::int64_t Task = 0; Task < Of->TaskCount; ++Task)
        Places.push_back({"w" + std::to_string(Worker++), 1});
      this->Table.place(*Of, Places, this->Now);
      for (std::size_t Index = 0; Index < Of->Members.size(); ++Index) {
        this->Table.markSent({Of, Index}, Of->Run, this->Now);
        this->Table.confirm(Of->taskName(Index), Of->Run, this->Now);
      }
    }
    return Units.size();
  }

  void report(const std::string &Worker, std::vector<RunningTask> Running,
              std::vector<EndedRun> Ended) {
    this->Now = this->Now + Duration{10};
    WorkerReport Report;
    Report.IncarnationStartMs = 1;
    Report.Running = std::move(Running);
    Report.Ended = std::move(Ended);
    this->Table.applyReport(Worker, Report, this->Now, this->Now, 2'000);
  }

  void end(const std::string &Worker, const std::string &Task, std::int64_t Run,
           RunOutcome How) {
    this->report(Worker, {}, {{1, Task, Run, How, {}}});
  }

  JobPhase phase() { return this->Table.find(JobId)->Phase; }
  std::string task(int Step, int Index) const {
    return JobId + ".0." + std::to_string(Step) + "." + std::to_string(Index);
  }
};

} // namespace

TEST_CASE("a job is completed when every task of every step is done") {
  StepSpec Second = makeStep(1, false);
  Second.After = {0};
  Driver Of({makeStep(2, false), Second});
  REQUIRE(Of.startAll() == 2);
  Of.end("w0", Of.task(0, 0), 1, RunOutcome::Done);
  REQUIRE(Of.startAll() == 0);
  Of.end("w1", Of.task(0, 1), 1, RunOutcome::Done);
  REQUIRE(Of.phase() == JobPhase::Running);
  REQUIRE(Of.startAll() == 1);
  Of.end("w0", Of.task(1, 0), 1, RunOutcome::Done);
  REQUIRE(Of.phase() == JobPhase::Completed);
}

TEST_CASE("a cancelled job opens no further step") {
  // The last task of a step may end as done after the cancellation.
  StepSpec Second = makeStep(1, false);
  Second.After = {0};
  Driver Of({makeStep(1, false), Second});
  REQUIRE(Of.startAll() == 1);
  Of.Table.addCancellation(JobId, 1'500, Of.Now);
  Of.end("w0", Of.task(0, 0), 1, RunOutcome::Done);
  REQUIRE(Of.startAll() == 0);
  REQUIRE(Of.phase() == JobPhase::Cancelled);
}

TEST_CASE("only failures count as attempts, one for each run") {
  struct Row {
    RunOutcome First;
    RunOutcome Second;
    JobPhase Phase;
  };
  const auto Case = GENERATE(
      Row{RunOutcome::Failed, RunOutcome::Failed, JobPhase::Failed},
      Row{RunOutcome::Failed, RunOutcome::LeaseExpired, JobPhase::Running},
      Row{RunOutcome::Stopped, RunOutcome::GangBroken, JobPhase::Running},
      Row{RunOutcome::Failed, RunOutcome::Done, JobPhase::Completed});
  Driver Of({makeStep(2, true)});
  REQUIRE(Of.startAll() == 1);
  // Both members of the first run end alike, yet it is one run.
  Of.end("w0", Of.task(0, 0), 1, Case.First);
  Of.end("w1", Of.task(0, 1), 1, Case.First);
  REQUIRE(Of.phase() == JobPhase::Running);
  REQUIRE(Of.startAll() == 1);
  Of.end("w0", Of.task(0, 0), 2, Case.Second);
  REQUIRE(Of.phase() == Case.Phase);
}

TEST_CASE("a gang is placed again only when no member is left") {
  Driver Of({makeStep(2, true)});
  Of.startAll();
  Of.end("w0", Of.task(0, 0), 1, RunOutcome::LeaseExpired);
  REQUIRE(Of.startAll() == 0);
  REQUIRE(Of.Table.membersOn("w1").size() == 1);
  REQUIRE(Of.Table.membersOn("w1")[0].member().StopRequested);
  Of.end("w1", Of.task(0, 1), 1, RunOutcome::Stopped);
  REQUIRE(Of.startAll() == 1);
}

TEST_CASE("members of an ended gang do not wait for a silent worker's lease") {
  // A worker is lost together with its links while gangs run: the others of a
  // gang tell that it broke, the silent one tells nothing for a whole lease.
  struct Row {
    const char *Why;
    bool AllPresent; ///< Every member was confirmed before the first ended.
    bool Successor;  ///< A new owner learns of it from the records.
    std::size_t Waiting;
  };
  const auto Case = GENERATE(Row{"begun, then broken", true, false, 1},
                             Row{"known from records", true, true, 1},
                             Row{"an order may be late", false, false, 0});
  CAPTURE(Case.Why);
  Driver Of({makeStep(2, true)});
  Unit *Gang = Of.Table.placeable(Of.Now).front();
  Of.Table.place(*Gang, std::vector<PlaceRecord>{{"w0", 1}, {"w1", 1}}, Of.Now);
  const std::size_t Confirmed = Case.AllPresent ? 2 : 1;
  for (std::size_t Index = 0; Index < 2; ++Index)
    Of.Table.markSent({Gang, Index}, 1, Of.Now);
  for (std::size_t Index = 0; Index < Confirmed; ++Index)
    Of.Table.confirm(Gang->taskName(Index), 1, Of.Now);
  Of.end("w0", Of.task(0, 0), 1, RunOutcome::GangBroken);
  const Instant Later = Of.Now + Duration{1'000};
  if (!Case.Successor) {
    Of.Table.workerUnresponsive("w1", Of.Now, Later);
    REQUIRE(Of.Table.placeable(Later).empty()); // It may still be ending.
    Of.Table.workerUnresponsive("w1", Later, Later);
    REQUIRE(Of.Table.placeable(Later).size() == Case.Waiting);
    return;
  }
  Driver Next({makeStep(2, true)});
  for (const JournalRecord &Record : Of.Table.takeRecords())
    if (Record.Key == unitKey(Gang->name()))
      Next.Table.restoreUnit(Gang->name(),
                             *decodeRecord<UnitRecord>(Record.Value), Later);
  REQUIRE(Next.Table.placeable(Later).empty());
  for (const char *Worker : {"w0", "w1"})
    Next.Table.workerUnresponsive(Worker, Later + Duration{1}, Later);
  REQUIRE(Next.Table.placeable(Later).size() == Case.Waiting);
}

TEST_CASE("a gang's refused member moves, the others stay") {
  // A burst of gangs meets workers that shed load: each refusal used to stop
  // the members that had started.
  Driver Of({makeStep(2, true)});
  Unit *Gang = Of.Table.placeable(Of.Now).front();
  Of.Table.place(*Gang, std::vector<PlaceRecord>{{"w0", 1}, {"w1", 1}}, Of.Now);
  for (std::size_t Index = 0; Index < 2; ++Index)
    Of.Table.markSent({Gang, Index}, 1, Of.Now);
  Of.Table.confirm(Of.task(0, 0), 1, Of.Now);
  Of.Table.refuse(Of.task(0, 1), 1, Of.Now, Duration{100}, "unhealthy");
  REQUIRE(Of.Table.membersOn("w1").empty());
  REQUIRE(Of.Table.membersOn("w0").size() == 1);
  REQUIRE_FALSE(Gang->Members[0].StopRequested);
  Of.Table.takeRecords();
  Of.Table.moveMember({Gang, 1}, {"w2", 1}, Of.Now);
  REQUIRE(Of.Table.membersOn("w2").size() == 1);
  REQUIRE(Of.Table.takeRecords().size() == 1); // Stored before the order.
  REQUIRE(Of.Table.markSent({Gang, 1}, 1, Of.Now));
  Of.Table.confirm(Of.task(0, 1), 1, Of.Now);
  Of.end("w2", Of.task(0, 1), 1, RunOutcome::Done);
  REQUIRE(Of.phase() == JobPhase::Completed);
}

TEST_CASE("a gang with a refused member and no other worker waits again") {
  Driver Of({makeStep(2, true)});
  Unit *Gang = Of.Table.placeable(Of.Now).front();
  Of.Table.place(*Gang, std::vector<PlaceRecord>{{"w0", 1}, {"w1", 1}}, Of.Now);
  for (std::size_t Index = 0; Index < 2; ++Index) {
    Of.Table.markSent({Gang, Index}, 1, Of.Now);
    Of.Table.refuse(Gang->taskName(Index), 1, Of.Now, Duration{100}, "room");
  }
  Of.Table.preempt(*Gang, Of.Now, "no_worker");
  REQUIRE(Of.Table.placeable(Of.Now + Duration{1'000}).size() == 1);
}

TEST_CASE("a start without an answer keeps its place until a stop is accepted "
          "and a later look does not show it") {
  const auto Stopped = GENERATE(false, true);
  Driver Of({makeStep(1, false)});
  Unit *Only = Of.Table.placeable(Of.Now)[0];
  const std::vector<PlaceRecord> Places{{"w0", 1}};
  Of.Table.place(*Only, Places, Of.Now);
  Of.Table.markSent({Only, 0}, 1, Of.Now);
  if (Stopped)
    Of.Table.stopAccepted(Of.task(0, 0), 1, Of.Now);
  Of.report("w0", {}, {});
  REQUIRE(Only->waiting() == Stopped);
}

TEST_CASE("a failure that was recorded is not counted again by a successor") {
  Driver Of({makeStep(2, true)});
  Of.startAll();
  Of.Table.takeRecords();
  Of.end("w0", Of.task(0, 0), 1, RunOutcome::Failed);
  const std::vector<JournalRecord> Records = Of.Table.takeRecords();
  const auto Stored =
      std::ranges::find(Records, unitKey(JobId + ".0.0"), &JournalRecord::Key);
  REQUIRE(Stored != Records.end());
  JobTable Successor;
  Successor.addSubmission(JobId, makeSubmission({makeStep(2, true)}), Of.Now,
                          1'000);
  Successor.restoreUnit(JobId + ".0.0",
                        *decodeRecord<UnitRecord>(Stored->Value), Of.Now);
  Successor.unlockDueSteps(Of.Now, 1'000);
  // The end was not acknowledged, so its worker tells it again.
  WorkerReport Report;
  Report.IncarnationStartMs = 1;
  Report.Ended.push_back({1, Of.task(0, 0), 1, RunOutcome::Failed, {}});
  Successor.applyReport("w0", Report, Of.Now, Of.Now, 2'000);
  REQUIRE_FALSE(hasEnded(Successor.find(JobId)->Phase));
}

TEST_CASE("work of an earlier owner that its worker does not show is over") {
  const auto Shown = GENERATE(true, false);
  JobTable Table;
  const Instant Now{5'000};
  Table.addSubmission(JobId, makeSubmission({makeStep(1, false)}), Now, 1'000);
  UnitRecord Record;
  Record.Run = 3;
  Record.Places.push_back({"w0", 1});
  Table.restoreUnit(JobId + ".0.0.0", Record, Now);
  Table.unlockDueSteps(Now, 1'000);
  REQUIRE(Table.placeable(Now).empty());
  WorkerReport Report;
  if (Shown)
    Report.Running.push_back({JobId + ".0.0.0", 3, {}, 100, 5});
  Table.applyReport("w0", Report, Now, Now, 1'000);
  REQUIRE(Table.placeable(Now).empty() == Shown);
}

TEST_CASE("a run that uses no processor is stopped, one that does is not") {
  struct Row {
    std::vector<std::int64_t> CpuMilli; ///< One look each 800 ms.
    bool Stopped;
  };
  const auto Case = GENERATE(Row{{0, 0, 0}, true}, Row{{0, 500, 0}, false},
                             Row{{0, 0}, false}, Row{{-1, -1, -1}, false});
  Driver Of({makeStep(1, false)});
  Of.startAll();
  for (const std::int64_t CpuMilli : Case.CpuMilli) {
    Of.Now = Of.Now + Duration{800};
    Of.report("w0", {{Of.task(0, 0), 1, {}, 100, CpuMilli}}, {});
  }
  REQUIRE(Of.Table.membersOn("w0")[0].member().StopRequested == Case.Stopped);
}

TEST_CASE("a gang stands still only when all its members do") {
  const auto OtherMilli = GENERATE(std::int64_t{0}, std::int64_t{700});
  Driver Of({makeStep(2, true)});
  Of.startAll();
  for (int Look = 0; Look < 4; ++Look) {
    Of.Now = Of.Now + Duration{800};
    Of.report("w0", {{Of.task(0, 0), 1, {}, 100, 0}}, {});
    Of.report("w1", {{Of.task(0, 1), 1, {}, 100, OtherMilli}}, {});
  }
  REQUIRE(Of.Table.membersOn("w0")[0].member().StopRequested ==
          (OtherMilli == 0));
}

TEST_CASE(
    "a new life of a worker ends what ran there, not what is on its way") {
  // A confirmed run that the new life shows was started by the new life.
  const auto [Confirmed, Shown, Waiting] = GENERATE(table<bool, bool, bool>(
      {{true, false, true}, {false, false, false}, {true, true, false}}));
  Driver Of({makeStep(1, false)});
  Unit *Only = Of.Table.placeable(Of.Now)[0];
  const std::vector<PlaceRecord> Places{{"w0", 1}};
  Of.Table.place(*Only, Places, Of.Now);
  Of.Table.markSent({Only, 0}, 1, Of.Now);
  if (Confirmed)
    Of.Table.confirm(Of.task(0, 0), 1, Of.Now);
  WorkerReport Report;
  Report.IncarnationStartMs = 2;
  if (Shown)
    Report.Running.push_back({Of.task(0, 0), 1, {}, 100, 500});
  Of.Table.workerRestarted("w0", Report, Of.Now);
  REQUIRE(Only->waiting() == Waiting);
}

TEST_CASE("occurrences start when they are due, not before") {
  StepSpec Step = makeStep(1, false);
  SubmissionRecord Made = makeSubmission({Step});
  Made.Job.Occurrences = 3;
  Made.Job.FirstDueWallMs = 5'000;
  Made.Job.IntervalMs = 1'000;
  JobTable Table;
  Table.addSubmission(JobId, Made, Instant{0}, 1'000);
  const auto [WallMs, Open] = GENERATE(table<std::int64_t, std::size_t>(
      {{4'999, 0}, {5'000, 1}, {6'500, 2}, {99'000, 3}}));
  Table.unlockDueSteps(Instant{10}, WallMs);
  REQUIRE(Table.placeable(Instant{10}).size() == Open);
}

TEST_CASE("records of units are dropped with the end of their job") {
  Driver Of({makeStep(1, false)});
  Of.startAll();
  Of.Table.takeRecords();
  Of.end("w0", Of.task(0, 0), 1, RunOutcome::Done);
  const std::vector<JournalRecord> Records = Of.Table.takeRecords();
  const auto Dropped = std::ranges::find(Records, unitKey(JobId + ".0.0.0"),
                                         &JournalRecord::Key);
  REQUIRE(Dropped != Records.end());
  REQUIRE(Dropped->Value.empty());
  Of.Table.expire(10'000);
  REQUIRE(Of.Table.find(JobId) == nullptr);
}

} // namespace pistachioflow
