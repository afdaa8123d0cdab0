#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "job_table_test_support.hpp"

namespace pistachioflow {

TEST_CASE("a job is completed when every task of every step is done") {
  StepSpec Second = makeStep(1, false);
  Second.After = {0};
  TableFixture Fixture({makeStep(2, false), Second});
  REQUIRE(Fixture.startAll() == 2);
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::Done);
  REQUIRE(Fixture.startAll() == 0);
  Fixture.end("w1", Fixture.task(0, 1), 1, RunOutcome::Done);
  REQUIRE(Fixture.phase() == JobPhase::Running);
  REQUIRE(Fixture.startAll() == 1);
  Fixture.end("w0", Fixture.task(1, 0), 1, RunOutcome::Done);
  REQUIRE(Fixture.phase() == JobPhase::Completed);
}

TEST_CASE("a cancelled job unlocks no further step") {
  // The last task of a step may end as done after the cancellation.
  StepSpec Second = makeStep(1, false);
  Second.After = {0};
  TableFixture Fixture({makeStep(1, false), Second});
  REQUIRE(Fixture.startAll() == 1);
  Fixture.Table.addCancellation(JobId, 1'500, Fixture.Now);
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::Done);
  REQUIRE(Fixture.startAll() == 0);
  REQUIRE(Fixture.phase() == JobPhase::Cancelled);
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
  TableFixture Fixture({makeStep(2, true)});
  REQUIRE(Fixture.startAll() == 1);
  // Both members of the first run end the same way, which counts once.
  Fixture.end("w0", Fixture.task(0, 0), 1, Case.First);
  Fixture.end("w1", Fixture.task(0, 1), 1, Case.First);
  REQUIRE(Fixture.phase() == JobPhase::Running);
  REQUIRE(Fixture.startAll() == 1);
  Fixture.end("w0", Fixture.task(0, 0), 2, Case.Second);
  REQUIRE(Fixture.phase() == Case.Phase);
}

TEST_CASE("a gang is placed again only when no member is left") {
  TableFixture Fixture({makeStep(2, true)});
  Fixture.startAll();
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::LeaseExpired);
  REQUIRE(Fixture.startAll() == 0);
  REQUIRE(Fixture.Table.membersOn("w1").size() == 1);
  REQUIRE(Fixture.Table.membersOn("w1")[0].member().StopRequested);
  Fixture.end("w1", Fixture.task(0, 1), 1, RunOutcome::Stopped);
  REQUIRE(Fixture.startAll() == 1);
}

TEST_CASE(
    "an ended gang does not wait for the lease of an unresponsive worker") {
  // A worker and its network links fail while gangs run: the other members
  // report the broken gang, but the unresponsive worker's lease must not delay
  // the next run.
  struct Row {
    const char *Name;
    bool AllPresent; ///< Every member was confirmed before the first ended.
    bool Successor;  ///< A new owner restores it from records.
    std::size_t Waiting;
  };
  const auto Case =
      GENERATE(Row{"fully started, then broken", true, false, 1},
               Row{"restored from records", true, true, 1},
               Row{"a start order may be in flight", false, false, 0});
  CAPTURE(Case.Name);
  TableFixture Fixture({makeStep(2, true)});
  Unit *Gang = Fixture.Table.placeable(Fixture.Now).front();
  Fixture.Table.place(*Gang, std::vector<PlaceRecord>{{"w0", 1}, {"w1", 1}},
                      Fixture.Now);
  const std::size_t Confirmed = Case.AllPresent ? 2 : 1;
  for (std::size_t Index = 0; Index < 2; ++Index)
    Fixture.Table.markSent({Gang, Index}, 1, Fixture.Now);
  for (std::size_t Index = 0; Index < Confirmed; ++Index)
    Fixture.Table.confirm(Gang->taskName(Index), 1, Fixture.Now);
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::GangBroken);
  const Instant Later = Fixture.Now + Duration{1'000};
  const Instant LeaseEnds = Later + Duration{5'000};
  if (!Case.Successor) {
    Fixture.Table.workerUnresponsive("w1", Fixture.Now, LeaseEnds, Later);
    // The member may still be ending.
    REQUIRE(Fixture.Table.placeable(Later).empty());
    Fixture.Table.workerUnresponsive("w1", Later, LeaseEnds, Later);
    REQUIRE(Fixture.Table.placeable(Later).size() == Case.Waiting);
    return;
  }
  TableFixture Next({makeStep(2, true)});
  for (const JournalRecord &Record : Fixture.Table.takeRecords())
    if (Record.Key == unitKey(Gang->name()))
      Next.Table.restoreUnit(Gang->name(),
                             *decodeRecord<UnitRecord>(Record.Value), LeaseEnds,
                             Later);
  REQUIRE(Next.Table.placeable(Later).empty());
  for (const char *Worker : {"w0", "w1"})
    Next.Table.workerUnresponsive(Worker, Later + Duration{1}, LeaseEnds,
                                  Later);
  REQUIRE(Next.Table.placeable(Later).size() == Case.Waiting);
}

TEST_CASE("a failure on an unreachable worker counts as an attempt") {
  // Workers are cut off while gangs run on them. The others show only that the
  // gang has ended; the failure comes to light when the worker is back.
  enum class Back { Failed, Broken, Nothing, LeaseExpired };
  struct Row {
    const char *Name;
    Back How;
    bool Successor; ///< A new owner restores it from records before that.
    JobPhase Phase;
    std::size_t Waiting;
  };
  const auto Case = GENERATE(
      Row{"it failed there", Back::Failed, false, JobPhase::Failed, 0},
      Row{"it failed there, new owner", Back::Failed, true, JobPhase::Failed,
          0},
      Row{"it failed elsewhere", Back::Broken, false, JobPhase::Running, 1},
      Row{"nothing reported", Back::Nothing, false, JobPhase::Running, 1},
      Row{"the lease expired", Back::LeaseExpired, false, JobPhase::Running,
          1});
  CAPTURE(Case.Name);
  TableFixture Fixture({makeStep(2, true)});
  REQUIRE(Fixture.startAll() == 1);
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::GangBroken);
  const Instant LeaseEnds = Fixture.Now + Duration{5'000};
  Fixture.Table.workerUnresponsive("w1", Fixture.Now + Duration{1}, LeaseEnds,
                                   Fixture.Now);
  Unit *Gang = Fixture.Table.placeable(Fixture.Now).front();
  Fixture.Table.place(*Gang, std::vector<PlaceRecord>{{"w2", 1}, {"w3", 1}},
                      Fixture.Now);
  for (std::size_t Index = 0; Index < 2; ++Index)
    Fixture.Table.markSent({Gang, Index}, 2, Fixture.Now);
  Fixture.end("w2", Fixture.task(0, 0), 2, RunOutcome::Failed);
  Fixture.end("w3", Fixture.task(0, 1), 2, RunOutcome::GangBroken);
  // One failure is known and one is possible: both attempts may be used up.
  const Instant Later = Fixture.Now + Duration{1'000};
  REQUIRE(Fixture.phase() == JobPhase::Running);
  REQUIRE(Fixture.Table.placeable(Later).empty());

  TableFixture Next({makeStep(2, true)});
  if (Case.Successor)
    for (const JournalRecord &Record : Fixture.Table.takeRecords())
      if (Record.Key == unitKey(Gang->name()))
        Next.Table.restoreUnit(Gang->name(),
                               *decodeRecord<UnitRecord>(Record.Value),
                               LeaseEnds, Fixture.Now);
  TableFixture &Owner = Case.Successor ? Next : Fixture;
  REQUIRE(Owner.Table.placeable(Later).empty());
  if (Case.How == Back::Failed)
    Owner.end("w1", Owner.task(0, 1), 1, RunOutcome::Failed);
  if (Case.How == Back::Broken)
    Owner.end("w1", Owner.task(0, 1), 1, RunOutcome::GangBroken);
  if (Case.How == Back::Nothing)
    Owner.report("w1", {}, {});
  const Instant Asked =
      Case.How == Back::LeaseExpired ? LeaseEnds + Duration{1} : Later;
  REQUIRE(Owner.Table.placeable(Asked).size() == Case.Waiting);
  REQUIRE(Owner.phase() == Case.Phase);
}

TEST_CASE("a refused gang member moves while the others keep running") {
  // Under a burst of gangs some workers shed load: a refusal must not stop the
  // members that have started.
  TableFixture Fixture({makeStep(2, true)});
  Unit *Gang = Fixture.Table.placeable(Fixture.Now).front();
  Fixture.Table.place(*Gang, std::vector<PlaceRecord>{{"w0", 1}, {"w1", 1}},
                      Fixture.Now);
  for (std::size_t Index = 0; Index < 2; ++Index)
    Fixture.Table.markSent({Gang, Index}, 1, Fixture.Now);
  Fixture.Table.confirm(Fixture.task(0, 0), 1, Fixture.Now);
  Fixture.Table.refuse(Fixture.task(0, 1), 1, Fixture.Now, Duration{100},
                       "unhealthy");
  REQUIRE(Fixture.Table.membersOn("w1").empty());
  REQUIRE(Fixture.Table.membersOn("w0").size() == 1);
  REQUIRE_FALSE(Gang->Members[0].StopRequested);
  Fixture.Table.takeRecords();
  Fixture.Table.moveMember({Gang, 1}, {"w2", 1}, Fixture.Now);
  REQUIRE(Fixture.Table.membersOn("w2").size() == 1);
  // Stored before the start order.
  REQUIRE(Fixture.Table.takeRecords().size() == 1);
  REQUIRE(Fixture.Table.markSent({Gang, 1}, 1, Fixture.Now));
  Fixture.Table.confirm(Fixture.task(0, 1), 1, Fixture.Now);
  Fixture.end("w2", Fixture.task(0, 1), 1, RunOutcome::Done);
  REQUIRE(Fixture.phase() == JobPhase::Completed);
}

TEST_CASE("a gang without another worker for a refused member waits again") {
  TableFixture Fixture({makeStep(2, true)});
  Unit *Gang = Fixture.Table.placeable(Fixture.Now).front();
  Fixture.Table.place(*Gang, std::vector<PlaceRecord>{{"w0", 1}, {"w1", 1}},
                      Fixture.Now);
  for (std::size_t Index = 0; Index < 2; ++Index) {
    Fixture.Table.markSent({Gang, Index}, 1, Fixture.Now);
    Fixture.Table.refuse(Gang->taskName(Index), 1, Fixture.Now, Duration{100},
                         "room");
  }
  Fixture.Table.preempt(*Gang, Fixture.Now, "no_worker");
  REQUIRE(Fixture.Table.placeable(Fixture.Now + Duration{1'000}).size() == 1);
}

TEST_CASE("an unanswered start occupies its worker until a stop is accepted "
          "and a later report does not contain it") {
  const auto Stopped = GENERATE(false, true);
  TableFixture Fixture({makeStep(1, false)});
  Unit *Only = Fixture.Table.placeable(Fixture.Now)[0];
  const std::vector<PlaceRecord> Places{{"w0", 1}};
  Fixture.Table.place(*Only, Places, Fixture.Now);
  Fixture.Table.markSent({Only, 0}, 1, Fixture.Now);
  if (Stopped)
    Fixture.Table.stopAccepted(Fixture.task(0, 0), 1, Fixture.Now);
  Fixture.report("w0", {}, {});
  REQUIRE(Only->waiting() == Stopped);
}

TEST_CASE("a new owner does not count a recorded failure again") {
  TableFixture Fixture({makeStep(2, true)});
  Fixture.startAll();
  Fixture.Table.takeRecords();
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::Failed);
  const std::vector<JournalRecord> Records = Fixture.Table.takeRecords();
  const auto Stored =
      std::ranges::find(Records, unitKey(JobId + ".0.0"), &JournalRecord::Key);
  REQUIRE(Stored != Records.end());
  JobTable Successor;
  Successor.addSubmission(JobId, makeSubmission({makeStep(2, true)}),
                          Fixture.Now, 1'000);
  Successor.restoreUnit(JobId + ".0.0",
                        *decodeRecord<UnitRecord>(Stored->Value), Fixture.Now,
                        Fixture.Now);
  Successor.unlockDueSteps(Fixture.Now, 1'000);
  // The end was not acknowledged, so the worker reports it again.
  WorkerReport Report;
  Report.IncarnationStartMs = 1;
  Report.Ended.push_back({1, Fixture.task(0, 0), 1, RunOutcome::Failed, {}});
  Successor.applyReport("w0", Report, Fixture.Now, Fixture.Now, 2'000);
  REQUIRE_FALSE(hasEnded(Successor.find(JobId)->Phase));
}

TEST_CASE(
    "a run of an earlier owner has ended if its worker does not report it") {
  const auto Shown = GENERATE(true, false);
  JobTable Table;
  const Instant Now{5'000};
  Table.addSubmission(JobId, makeSubmission({makeStep(1, false)}), Now, 1'000);
  UnitRecord Record;
  Record.Run = 3;
  Record.Places.push_back({"w0", 1});
  Table.restoreUnit(JobId + ".0.0.0", Record, Now, Now);
  Table.unlockDueSteps(Now, 1'000);
  REQUIRE(Table.placeable(Now).empty());
  WorkerReport Report;
  if (Shown)
    Report.Running.push_back({JobId + ".0.0.0", 3, {}, 100, 5});
  Table.applyReport("w0", Report, Now, Now, 1'000);
  REQUIRE(Table.placeable(Now).empty() == Shown);
}

TEST_CASE("only a run that uses no CPU is stopped as stuck") {
  struct Row {
    std::vector<std::int64_t> CpuMilli; ///< One report every 800 ms.
    bool Stopped;
  };
  const auto Case = GENERATE(Row{{0, 0, 0}, true}, Row{{0, 500, 0}, false},
                             Row{{0, 0}, false}, Row{{-1, -1, -1}, false});
  TableFixture Fixture({makeStep(1, false)});
  Fixture.startAll();
  for (const std::int64_t CpuMilli : Case.CpuMilli) {
    Fixture.Now = Fixture.Now + Duration{800};
    Fixture.report("w0", {{Fixture.task(0, 0), 1, {}, 100, CpuMilli}}, {});
  }
  REQUIRE(Fixture.Table.membersOn("w0")[0].member().StopRequested ==
          Case.Stopped);
}

TEST_CASE("a task that lasts may report a tail of 0 ms for ever") {
  StepSpec Step = makeStep(1, false);
  Step.LongRunning = GENERATE(false, true);
  TableFixture Fixture({Step});
  Fixture.startAll();
  for (int Look = 0; Look < 4; ++Look) {
    Fixture.Now = Fixture.Now + Duration{800};
    Fixture.report("w0", {{Fixture.task(0, 0), 1, {}, 100, 0}}, {});
  }
  REQUIRE(Fixture.Table.membersOn("w0")[0].member().StopRequested !=
          Step.LongRunning);
}

TEST_CASE("a gang is stuck only when all of its members are idle") {
  const auto OtherMilli = GENERATE(std::int64_t{0}, std::int64_t{700});
  TableFixture Fixture({makeStep(2, true)});
  Fixture.startAll();
  for (int Look = 0; Look < 4; ++Look) {
    Fixture.Now = Fixture.Now + Duration{800};
    Fixture.report("w0", {{Fixture.task(0, 0), 1, {}, 100, 0}}, {});
    Fixture.report("w1", {{Fixture.task(0, 1), 1, {}, 100, OtherMilli}}, {});
  }
  REQUIRE(Fixture.Table.membersOn("w0")[0].member().StopRequested ==
          (OtherMilli == 0));
}

TEST_CASE("a worker's restart ends its runs but not starts in flight") {
  // A confirmed run in the report of the new incarnation was started by it.
  const auto [Confirmed, Shown, Waiting] = GENERATE(table<bool, bool, bool>(
      {{true, false, true}, {false, false, false}, {true, true, false}}));
  TableFixture Fixture({makeStep(1, false)});
  Unit *Only = Fixture.Table.placeable(Fixture.Now)[0];
  const std::vector<PlaceRecord> Places{{"w0", 1}};
  Fixture.Table.place(*Only, Places, Fixture.Now);
  Fixture.Table.markSent({Only, 0}, 1, Fixture.Now);
  if (Confirmed)
    Fixture.Table.confirm(Fixture.task(0, 0), 1, Fixture.Now);
  WorkerReport Report;
  Report.IncarnationStartMs = 2;
  if (Shown)
    Report.Running.push_back({Fixture.task(0, 0), 1, {}, 100, 500});
  const Instant AskedAt = Fixture.Now + Duration{1};
  Fixture.Table.workerRestarted("w0", Report, AskedAt, AskedAt, 2'000);
  REQUIRE(Only->waiting() == Waiting);
}

TEST_CASE("occurrences start when they are due, not before") {
  StepSpec Step = makeStep(1, false);
  SubmissionRecord Submission = makeSubmission({Step});
  Submission.Job.Occurrences = 3;
  Submission.Job.FirstDueWallMs = 5'000;
  Submission.Job.IntervalMs = 1'000;
  JobTable Table;
  Table.addSubmission(JobId, Submission, Instant{0}, 1'000);
  const auto [WallMs, Open] = GENERATE(table<std::int64_t, std::size_t>(
      {{4'999, 0}, {5'000, 1}, {6'500, 2}, {99'000, 3}}));
  Table.unlockDueSteps(Instant{10}, WallMs);
  REQUIRE(Table.placeable(Instant{10}).size() == Open);
}

TEST_CASE("records of units are dropped with the end of their job") {
  TableFixture Fixture({makeStep(1, false)});
  Fixture.startAll();
  Fixture.Table.takeRecords();
  Fixture.end("w0", Fixture.task(0, 0), 1, RunOutcome::Done);
  const std::vector<JournalRecord> Records = Fixture.Table.takeRecords();
  const auto Dropped = std::ranges::find(Records, unitKey(JobId + ".0.0.0"),
                                         &JournalRecord::Key);
  REQUIRE(Dropped != Records.end());
  REQUIRE(Dropped->Value.empty());
  Fixture.Table.expire(10'000);
  REQUIRE(Fixture.Table.find(JobId) == nullptr);
}

TEST_CASE("preempted units count as wasted unless a start follows") {
  struct Row {
    const char *Name;
    std::vector<std::string> Started; ///< Empty: the claim is dropped.
    std::optional<TableEvent::Kind> Event;
    std::int64_t Victims;
  };
  const auto Case = GENERATE(
      Row{"on the claimed workers", {"w2", "w1"}, std::nullopt, 0},
      Row{"partly elsewhere", {"w1", "w3"}, TableEvent::Kind::ClaimReplaced, 1},
      Row{"elsewhere", {"w3", "w4"}, TableEvent::Kind::ClaimReplaced, 3},
      Row{"not at all", {}, TableEvent::Kind::ClaimFailed, 3});
  CAPTURE(Case.Name);
  TableFixture Fixture({makeStep(2, true)});
  Unit &Gang = *Fixture.Table.placeable(Fixture.Now).front();
  JobTable::claim(Gang, {{"w1", "w2"}, {"w1", "w1", "w2"}, Fixture.Now});
  std::vector<PlaceRecord> Places;
  for (const std::string &Worker : Case.Started)
    Places.push_back({Worker, 1});
  if (Places.empty())
    Fixture.Table.dropClaim(Gang, Fixture.Now, "not_released");
  else
    Fixture.Table.place(Gang, Places, Fixture.Now);
  std::optional<TableEvent::Kind> Found;
  std::int64_t Victims = 0;
  for (const TableEvent &Event : Fixture.Table.takeEvents())
    if (Event.EventKind == TableEvent::Kind::ClaimReplaced ||
        Event.EventKind == TableEvent::Kind::ClaimFailed) {
      Found = Event.EventKind;
      Victims += Event.Victims;
    }
  REQUIRE(Found == Case.Event);
  REQUIRE(Victims == Case.Victims);
  REQUIRE(Gang.Claim.Workers.empty());
}

// Guards against tasks that last, fail at each start and keep all sound workers
// suspended, because an earlier run or another task of their job went well.
TEST_CASE("a task that fails early on several workers is at fault itself") {
  struct Row {
    const char *Name;
    bool JobRanBefore;
    std::vector<const char *> Workers;
    bool ItsFault; ///< After the last failure, and not before.
  };
  const auto Case =
      GENERATE(Row{"two workers", false, {"w0", "w1"}, false},
               Row{"three workers", false, {"w0", "w1", "w2"}, true},
               Row{"three, ran before", true, {"w0", "w1", "w2"}, true},
               Row{"the same worker", true, {"w0", "w0", "w0", "w0"}, false});
  CAPTURE(Case.Name);
  TableFixture Fixture({makeStep(2, false)});
  Unit &Failing = *Fixture.Table.unitOf(Fixture.task(0, 0));
  if (Case.JobRanBefore)
    outliveEarlyFailure(Failing);
  for (std::size_t Index = 0; Index < Case.Workers.size(); ++Index) {
    const bool Last = Index + 1 == Case.Workers.size();
    REQUIRE(failsByItself(Failing, Case.Workers[Index]) ==
            (Last && Case.ItsFault));
    // Another task of the job goes well all the while.
    outliveEarlyFailure(*Fixture.Table.unitOf(Fixture.task(0, 1)));
  }
  outliveEarlyFailure(Failing);
  REQUIRE_FALSE(failsByItself(Failing, "w3"));
}

// Guards against an owner that can store nothing more: the record of a task
// that lasts grew with each of its failures.
TEST_CASE("the record of a task that lasts does not grow with its failures") {
  constexpr std::int64_t Failures = 300;
  const bool Restored = GENERATE(false, true);
  StepSpec Lasting = makeStep(1, false);
  Lasting.LongRunning = true;
  TableFixture Fixture({Lasting});
  const std::string Task = Fixture.task(0, 0);
  if (Restored) {
    UnitRecord Earlier;
    Earlier.Run = Earlier.Failures = Failures;
    for (std::int64_t Run = 1; Run <= Failures; ++Run)
      Earlier.FailedRuns.push_back(Run);
    Fixture.Table.restoreUnit(Task, Earlier, Fixture.Now, Fixture.Now);
  }
  std::size_t FirstBytes = 0;
  for (std::int64_t Count = 0; Count < Failures; ++Count) {
    REQUIRE(Fixture.startAll() == 1);
    const std::int64_t Run = Fixture.Table.unitOf(Task)->Run;
    Fixture.end("w0", Task, Run, RunOutcome::Failed);
    for (const JournalRecord &Record : Fixture.Table.takeRecords())
      if (Record.Key == unitKey(Task) && FirstBytes == 0)
        FirstBytes = Record.Value.size();
      else if (Record.Key == unitKey(Task))
        REQUIRE(Record.Value.size() <= FirstBytes + sizeof(std::int64_t));
  }
}

} // namespace pistachioflow
