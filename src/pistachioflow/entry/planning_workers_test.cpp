// Which workers a round or a move may use.

#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "pistachioflow/entry/planning.hpp"

namespace pistachioflow {

namespace {

constexpr Instant Now{10'000};

/// Idle workers with 8 accelerators each, and one job.
struct PlanningFixture {
  asio::io_context Io;
  JobTable Table;
  WorkerLinks Workers;
  DesiredState Desired;
  DurationModel Durations;

  void addWorker(const std::string &Id, std::int64_t EntryStartMs,
                 std::int64_t ReportStartMs) {
    auto Link = std::make_shared<WorkerLink>(this->Io, Id);
    Link->Entry.Service = "svc";
    Link->Entry.Capacity = {16'000, 16'000, 8};
    Link->Entry.Labels = {"a", "r1"};
    Link->Entry.IncarnationStartMs = EntryStartMs;
    Link->IncarnationStartMs = ReportStartMs;
    Link->Listed = true;
    Link->Synced = true;
    this->Workers[Id] = Link;
  }

  void addJob(std::int64_t Tasks, bool Gang, std::int64_t MaxPerWorker) {
    StepSpec Step;
    Step.TaskCount = Tasks;
    Step.Gang = Gang;
    Step.MaxPerWorker = MaxPerWorker;
    Step.TaskResources = {1'000, 100, 1};
    SubmissionRecord Submission;
    Submission.Terms.Service = "svc";
    Submission.Terms.MaxAttempts = 2;
    Submission.Job.Steps = {Step};
    this->Table.addSubmission("00000000000000aa", Submission, Now, 1'000);
    this->Table.unlockDueSteps(Now, 1'000);
  }

  PlanningView view() {
    return {this->Table, this->Workers, this->Desired, this->Durations,
            Now,         {5'000},       {500}};
  }
};

} // namespace

TEST_CASE("a worker is used once entry and report name one incarnation") {
  struct Row {
    const char *Name;
    std::int64_t EntryStartMs;
    std::int64_t ReportStartMs;
    bool Used;
  };
  const auto Case =
      GENERATE(Row{"same", 2, 2, true},
               Row{"the entry is of the one before", 1, 2, false},
               Row{"the report is of the one before", 2, 1, false},
               Row{"entry without a start", 0, 2, true},
               Row{"report without a start", 2, 0, true});
  CAPTURE(Case.Name);
  PlanningFixture Fixture;
  Fixture.addWorker("w0", Case.EntryStartMs, Case.ReportStartMs);
  Fixture.addJob(1, false, 0);
  REQUIRE(planRound(Fixture.view()).Starts.size() == (Case.Used ? 1U : 0U));
}

TEST_CASE("refused members of a gang move within the limit of their step") {
  const auto [MaxPerWorker, FreeWorkers, Moves] =
      GENERATE(table<std::int64_t, int, std::size_t>(
          {{0, 1, 2}, {1, 1, 1}, {1, 2, 2}, {2, 1, 2}}));
  CAPTURE(MaxPerWorker, FreeWorkers);
  PlanningFixture Fixture;
  Fixture.addJob(3, true, MaxPerWorker);
  Unit &Gang = *Fixture.Table.placeable(Now).front();
  Fixture.Table.place(Gang, {{{"x0", 1}, {"x1", 1}, {"x2", 1}}}, Now);
  for (std::size_t Index = 0; Index < 3; ++Index)
    Fixture.Table.markSent({&Gang, Index}, Gang.Run, Now);
  Fixture.Table.confirm(Gang.taskName(0), Gang.Run, Now);
  for (std::size_t Index = 1; Index < 3; ++Index)
    Fixture.Table.refuse(Gang.taskName(Index), Gang.Run, Now, {30}, "no_room");
  for (int Index = 0; Index < FreeWorkers; ++Index)
    Fixture.addWorker("w" + std::to_string(Index), 1, 1);
  const MovePlan Plan = planMoves(Fixture.view());
  REQUIRE(Plan.Moves.size() == Moves);
  if (MaxPerWorker == 1 && Plan.Moves.size() == 2)
    REQUIRE(Plan.Moves[0].Place.Worker != Plan.Moves[1].Place.Worker);
}

// Guards against starts in an evacuated domain (EVAC) and against idle workers
// once it is restored.
TEST_CASE("a worker gets starts only outside evacuated domains") {
  struct Row {
    std::set<std::string, std::less<>> Evacuated;
    std::size_t Starts;
  };
  const auto Case = GENERATE(Row{{}, 16}, Row{{"z1"}, 8}, Row{{"z3"}, 16},
                             Row{{"z1", "z2"}, 0});
  PlanningFixture Fixture;
  Fixture.addWorker("w1", 1, 1);
  Fixture.addWorker("w2", 1, 1);
  Fixture.Workers["w1"]->Entry.FailureDomain = "z1";
  Fixture.Workers["w2"]->Entry.FailureDomain = "z2";
  Fixture.addJob(20, false, 0);
  PlanningView View = Fixture.view();
  const EvacuatedDomains Evacuated{Case.Evacuated};
  View.Evacuated = &Evacuated;
  const PlanningResult Plan = planRound(View);
  REQUIRE(Plan.Starts.size() == Case.Starts);
  for (const UnitPlacement &Start : Plan.Starts)
    REQUIRE_FALSE(Evacuated.contains(
        Fixture.Workers[Start.Places[0].Worker]->Entry.FailureDomain));
}

} // namespace pistachioflow
