#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "job_table_test_support.hpp"

namespace pistachioflow {

namespace {

constexpr std::int64_t FirstIncarnation = 1;
constexpr std::int64_t WallMs = 2'000;

enum class Loss {
  BeforeSent,      ///< The worker crashes before the start is sent.
  Unconfirmed,     ///< It crashes and the start was not answered.
  Early,           ///< It crashes just after the start was confirmed.
  Late,            ///< It crashes under a run that is no longer young.
  EarlyAfterLease, ///< As Early, but the lease ends before it returns.
  CutOff,          ///< It is lost, and returns as the same process.
  Replaced,        ///< Another worker answers at its address.
};

/// A job table whose workers crash.
struct CrashFixture : TableFixture {
  using TableFixture::TableFixture;

  std::size_t NextWorker = 0;
  std::vector<TableEvent> Seen;

  /// Lets all back-offs pass and returns the only unit if it may start.
  Unit *startable() {
    this->Now = this->Now + Duration{10'000};
    const std::vector<Unit *> Units = this->Table.placeable(this->Now);
    return Units.empty() ? nullptr : Units.front();
  }

  /// Places a unit on fresh workers and sends its starts.
  void send(Unit &Started, bool Confirmed) {
    std::vector<PlaceRecord> Places;
    for (std::int64_t Task = 0; Task < Started.TaskCount; ++Task)
      Places.push_back(
          {"w" + std::to_string(this->NextWorker++), FirstIncarnation});
    this->Table.place(Started, Places, this->Now);
    for (std::size_t Index = 0; Index < Started.Members.size(); ++Index) {
      this->Table.markSent({&Started, Index}, Started.Run, this->Now);
      if (Confirmed)
        this->Table.confirm(Started.taskName(Index), Started.Run, this->Now);
    }
  }

  void restart(const std::string &Worker, std::int64_t Incarnation) {
    this->Now = this->Now + Duration{10};
    WorkerReport Report;
    Report.IncarnationStartMs = Incarnation;
    if (Incarnation != FirstIncarnation)
      this->Table.workerRestarted(Worker, Report, this->Now, this->Now, WallMs);
    this->Table.applyReport(Worker, Report, this->Now, this->Now, WallMs);
  }

  /// Starts the unit and loses the worker of its first member.
  void startAndLose(Unit &Started, Loss How) {
    if (How == Loss::BeforeSent) {
      const std::string Worker = "w" + std::to_string(this->NextWorker++);
      const std::vector<PlaceRecord> Places{{Worker, FirstIncarnation}};
      this->Table.place(Started, Places, this->Now);
      this->restart(Worker, FirstIncarnation + 1);
      this->Table.preempt(Started, this->Now, "test");
      return;
    }
    this->send(Started, How != Loss::Unconfirmed);
    const std::string Worker = Started.Members.front().Worker;
    const std::string Task = Started.taskName(0);
    if (How == Loss::Late) {
      this->Now = this->Now + EarlyCrashWindow;
      this->report(Worker, {{Task, Started.Run, {}, 50, 500}}, {});
    }
    if (How == Loss::Unconfirmed)
      this->Table.stopAccepted(Task, Started.Run, this->Now);
    if (How == Loss::Replaced) {
      this->Table.workerCrashed(Worker, this->Now, WallMs, "replaced");
      return;
    }
    if (How == Loss::EarlyAfterLease || How == Loss::CutOff)
      this->Table.workerLost(Worker, this->Now, "lease_ended");
    const std::int64_t Incarnation =
        How == Loss::CutOff ? FirstIncarnation : FirstIncarnation + 1;
    this->restart(Worker, Incarnation);
    if (How != Loss::Unconfirmed)
      return;
    // The next process may still get the start until it accepts a stop.
    this->Table.stopAccepted(Task, Started.Run, this->Now);
    this->restart(Worker, Incarnation);
  }
};

} // namespace

TEST_CASE("a task under which workers crash is given up at the limit") {
  using enum Loss;
  struct Row {
    const char *Name;
    std::vector<Loss> Losses;
    bool GivenUp; ///< After the last of them, and not before.
  };
  const auto Case = GENERATE(
      Row{"two workers may be a coincidence", {Early, Early}, false},
      Row{"three are not", {Early, Early, Early}, true},
      Row{"unanswered", {Unconfirmed, Unconfirmed, Unconfirmed}, false},
      Row{"unanswered for too long",
          {Unconfirmed, Unconfirmed, Unconfirmed, Unconfirmed},
          true},
      Row{"old runs", {Late, Late, Late}, false},
      Row{"old runs, too many", {Late, Late, Late, Late}, true},
      Row{"mixed", {Early, Unconfirmed, Early}, false},
      Row{"mixed, too many", {Early, Unconfirmed, Early, Late}, true},
      Row{"lost first", {EarlyAfterLease, Early, EarlyAfterLease}, true},
      Row{"replaced by other workers", {Replaced, Replaced, Replaced}, true},
      Row{"replaced and lost", {Replaced, EarlyAfterLease}, false},
      Row{"cut off", {CutOff, CutOff, CutOff, CutOff, CutOff}, false},
      Row{"never sent",
          {BeforeSent, BeforeSent, BeforeSent, BeforeSent, BeforeSent},
          false});
  const bool LongRunning = GENERATE(false, true);
  CAPTURE(Case.Name, LongRunning);
  StepSpec Step = makeStep(1, false);
  Step.LongRunning = LongRunning;
  CrashFixture Fixture({Step});
  for (const Loss How : Case.Losses) {
    Unit *Next = Fixture.startable();
    REQUIRE(Next);
    Fixture.startAndLose(*Next, How);
  }
  REQUIRE((Fixture.phase() == JobPhase::Failed) == Case.GivenUp);
  REQUIRE((Fixture.startable() == nullptr) == Case.GivenUp);
}

TEST_CASE("the crashes of a gang count for each of its tasks") {
  const bool SameTask = GENERATE(false, true);
  CrashFixture Fixture({makeStep(3, true)});
  for (std::size_t Run = 0; Run < 3; ++Run) {
    Unit *Gang = Fixture.startable();
    REQUIRE(Gang);
    Fixture.send(*Gang, true);
    const std::size_t Crashing = SameTask ? 0 : Run;
    std::vector<std::string> Workers;
    for (const Member &Entry : Gang->Members)
      Workers.push_back(Entry.Worker);
    Fixture.restart(Workers[Crashing], FirstIncarnation + 1);
    for (std::size_t Index = 0; Index < Workers.size(); ++Index)
      if (Index != Crashing)
        Fixture.end(Workers[Index], Gang->taskName(Index), Gang->Run,
                    RunOutcome::GangBroken);
  }
  REQUIRE((Fixture.phase() == JobPhase::Failed) == SameTask);
}

// Guards against innocent jobs that are shown as failed: they had started four
// times on the worker of a task that crashed it each time.
TEST_CASE("a job is not given up while its crashes may be another job's") {
  struct Row {
    const char *Name;
    std::vector<bool> BesideSuspect; ///< Each of its runs, all of which crash.
    bool Confirmed;
    bool GivenUp; ///< After the last of them, and not before.
  };
  const auto Case = GENERATE(
      Row{"alone", {false, false, false, false}, false, true},
      Row{"beside a suspect once", {false, true, false, false}, false, false},
      Row{"its own after that",
          {false, true, false, false, false},
          false,
          true},
      Row{"each time", {true, true, true, true}, false, false},
      Row{"too often", {true, true, true, true, true}, false, true},
      Row{"early, alone", {false, false, false}, true, true},
      Row{"early, beside a suspect", {true, true}, true, false},
      Row{"early, beside a suspect too often", {true, true, true}, true, true});
  CAPTURE(Case.Name);
  const std::string OtherId = "00000000000000bb";
  CrashFixture Fixture({makeStep(1, false)});
  Fixture.Table.addSubmission(OtherId, makeSubmission({makeStep(1, false)}),
                              Fixture.Now, 1'000);
  Fixture.Table.unlockDueSteps(Fixture.Now, 1'000);
  Fixture.Now = Fixture.Now + Duration{10'000};
  std::vector<Unit *> Units = Fixture.Table.placeable(Fixture.Now);
  REQUIRE(Units.size() == 2);
  std::ranges::sort(Units, {}, &Unit::name);
  Unit &Innocent = *Units[0];
  Unit &Other = *Units[1];
  Other.Crashes.Crashes.push_back({"elsewhere", 1, 1});
  for (std::size_t Run = 0; Run < Case.BesideSuspect.size(); ++Run) {
    REQUIRE(Fixture.phase() != JobPhase::Failed);
    Fixture.Now = Fixture.Now + Duration{10'000};
    if (Case.BesideSuspect[Run]) {
      const std::size_t Shared = Fixture.NextWorker;
      Fixture.send(Other, true);
      Fixture.NextWorker = Shared;
    }
    Fixture.startAndLose(Innocent,
                         Case.Confirmed ? Loss::Early : Loss::Unconfirmed);
    Other.Crashes.Crashes.resize(1);
  }
  REQUIRE((Fixture.phase() == JobPhase::Failed) == Case.GivenUp);
}

TEST_CASE("a crash is counted once, and delays the next start") {
  CrashFixture Fixture({makeStep(1, false)});
  Unit *Only = Fixture.startable();
  Fixture.startAndLose(*Only, Loss::Early);
  const Instant CrashedAt = Fixture.Now;
  const std::vector<TableEvent> Events = Fixture.Table.takeEvents();
  const auto Crash = std::ranges::find(Events, TableEvent::Kind::WorkerCrashed,
                                       &TableEvent::EventKind);
  REQUIRE(Crash != Events.end());
  REQUIRE(Crash->Subject == Fixture.task(0, 0));
  REQUIRE(Crash->Worker == "w0");
  REQUIRE(Crash->Detail == "early");
  REQUIRE(Crash->IncarnationBefore == FirstIncarnation);
  REQUIRE(Crash->IncarnationAfter == FirstIncarnation + 1);
  REQUIRE(Crash->Crashes == 1);
  Fixture.restart("w0", FirstIncarnation + 1);
  REQUIRE(Fixture.Table.takeEvents().empty());
  REQUIRE(Only->FailedWorkers.contains("w0"));
  REQUIRE(Fixture.Table.placeable(CrashedAt).empty());
  REQUIRE(Fixture.Table.placeable(CrashedAt + Duration{200}).size() == 1);
}

TEST_CASE(
    "workers that may have crashed hold back the last start for a while") {
  CrashFixture Fixture({makeStep(1, false)});
  for (int Run = 0; Run < 4; ++Run) {
    Unit *Only = Fixture.startable();
    // The oldest loss is still recent.
    REQUIRE(Only);
    Fixture.Now = Fixture.Now - Duration{9'000};
    Fixture.send(*Only, true);
    Fixture.Table.workerLost(Only->Members.front().Worker, Fixture.Now,
                             "lease_ended");
  }
  REQUIRE(Fixture.startable() == nullptr);
  SECTION("one was only cut off") {
    Fixture.restart("w2", FirstIncarnation);
    REQUIRE(Fixture.startable());
  }
  SECTION("all have crashed") {
    for (const char *Worker : {"w0", "w1", "w2"})
      Fixture.restart(Worker, FirstIncarnation + 1);
    REQUIRE(Fixture.phase() == JobPhase::Failed);
  }
  SECTION("none returns") {
    Fixture.Now = Fixture.Now + Duration{20'000};
    REQUIRE(Fixture.startable());
  }
}

// Guards against a deadly task that is started for ever: each worker that it
// crashes is replaced by one with another id.
TEST_CASE("a task whose workers never return gets a limited number of starts") {
  struct Row {
    const char *Name;
    bool OneReturns; ///< Under its id, as the same process.
    int Starts;
  };
  const auto Case =
      GENERATE(Row{"none returns", false, 5}, Row{"one was cut off", true, 6});
  CAPTURE(Case.Name);
  CrashFixture Fixture({makeStep(1, false)});
  int Starts = 0;
  for (int Round = 0; Round < 20; ++Round) {
    Fixture.Now = Fixture.Now + Duration{10'000};
    Fixture.Table.giveUpAfterLosses(Fixture.Now, WallMs);
    Unit *Only = Fixture.startable();
    if (!Only)
      continue;
    ++Starts;
    Fixture.send(*Only, true);
    const std::string Worker = Only->Members.front().Worker;
    Fixture.Table.workerLost(Worker, Fixture.Now, "lease_ended");
    if (Case.OneReturns && Starts == 1)
      Fixture.restart(Worker, FirstIncarnation);
  }
  REQUIRE(Starts == Case.Starts);
  REQUIRE(Fixture.phase() == JobPhase::Failed);
}

TEST_CASE("a new owner knows the crashes that earlier owners have seen") {
  const Loss Last =
      GENERATE(Loss::Early, Loss::EarlyAfterLease, Loss::Unconfirmed);
  std::optional<UnitRecord> Stored;
  JobPhase Phase = JobPhase::Queued;
  // Each run has an owner of its own.
  for (const Loss How : {Loss::Early, Loss::EarlyAfterLease, Last, Last}) {
    CrashFixture Owner({makeStep(1, false)});
    Owner.NextWorker = Stored ? static_cast<std::size_t>(Stored->Run) : 0;
    if (Stored)
      Owner.Table.restoreUnit(JobId + ".0.0.0", *Stored, Owner.Now, Owner.Now);
    Unit *Only = Owner.startable();
    REQUIRE(Only);
    Owner.startAndLose(*Only, How);
    Phase = Owner.phase();
    if (Phase == JobPhase::Failed)
      break;
    for (const JournalRecord &Record : Owner.Table.takeRecords())
      if (Record.Key == unitKey(JobId + ".0.0.0"))
        Stored = decodeRecord<UnitRecord>(Record.Value);
  }
  REQUIRE(Phase == JobPhase::Failed);
}

TEST_CASE("a new owner counts the crash under a run that it did not send") {
  CrashFixture Owner({makeStep(1, false)});
  Owner.send(*Owner.startable(), true);
  const std::vector<JournalRecord> Records = Owner.Table.takeRecords();
  const auto Stored = std::ranges::find(Records, unitKey(JobId + ".0.0.0"),
                                        &JournalRecord::Key);
  REQUIRE(Stored != Records.end());
  CrashFixture Successor({makeStep(1, false)});
  Successor.Table.restoreUnit(JobId + ".0.0.0",
                              *decodeRecord<UnitRecord>(Stored->Value),
                              Successor.Now, Successor.Now);
  Successor.restart("w0", FirstIncarnation + 1);
  const Unit *Only = Successor.startable();
  REQUIRE(Only);
  REQUIRE(Only->Crashes.Crashes.size() == 1);
  REQUIRE(Only->Crashes.Crashes[0].Evidence == CrashEvidence::Unconfirmed);
}

} // namespace pistachioflow
