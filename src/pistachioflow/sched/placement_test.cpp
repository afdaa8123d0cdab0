#include "pistachioflow/sched/placement.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "placement_fixture.hpp"

namespace pistachioflow {

using testing::fillWorkers;
using testing::makeStep;
using testing::makeUnit;
using testing::makeWorkers;
using testing::WholeWorker;

TEST_CASE("fittingTasks is limited by the scarcest resource") {
  struct Row {
    Resources Worker;
    Resources PerTask;
    std::int64_t Tasks;
  };
  const auto Case = GENERATE(
      Row{{1'000, 100, 4}, {500, 10, 1}, 2}, Row{{1'000, 100, 1}, {1, 1, 1}, 1},
      Row{{1'000, 15, 4}, {500, 10, 1}, 1}, Row{{-5, 100, 4}, {500, 10, 1}, 0},
      Row{{1'000, 100, 0}, {500, 10, 0}, 2});
  REQUIRE(fittingTasks(Case.Worker, Case.PerTask) == Case.Tasks);
}

TEST_CASE("a step's limit per worker holds within one round") {
  const auto Limit = GENERATE(std::int64_t{1}, std::int64_t{2});
  auto Workers = makeWorkers(3, 3);
  StepSpec Step = makeStep(8, {1'000, 100, 1}, false, false);
  Step.MaxPerWorker = Limit;
  const std::vector<WaitingUnit> Waiting(8, makeUnit(Step, 2));
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  std::vector<std::int64_t> Tasks(Workers.size(), 0);
  for (const PlannedStart &Start : Plan.Starts)
    for (const std::size_t Worker : Start.WorkerIndices)
      ++Tasks[Worker];
  REQUIRE(std::ranges::max(Tasks) == Limit);
  REQUIRE(Plan.Starts.size() ==
          static_cast<std::size_t>(Limit) * Workers.size());
}

TEST_CASE("a tightly coupled gang is placed on one rack that can hold it") {
  const auto Tasks = GENERATE(std::int64_t{2}, std::int64_t{3});
  auto Workers = makeWorkers(6, 3);
  Workers[0].FreeNow.Accelerators = 0;
  Workers[0].FreeAfterStops.Accelerators = 0;
  const StepSpec Step = makeStep(Tasks, {1'000, 100, 8}, true, true);
  const std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == 1);
  for (const std::size_t Worker : Plan.Starts[0].WorkerIndices)
    REQUIRE(Workers[Worker].Rack == (Tasks == 2 ? "r0" : "r1"));
}

// Guards against a gang that never runs: the tasks that fit were added up

// beyond the range of the type.

TEST_CASE(
    "a tightly coupled gang that asks for nothing is placed on one rack") {
  const std::size_t PerRack = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 8U, 20U);
  CAPTURE(PerRack);
  auto Workers = makeWorkers(2 * PerRack, PerRack);
  const StepSpec Step = makeStep(3, {}, true, true);
  const std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == 1);
  for (const std::size_t Worker : Plan.Starts[0].WorkerIndices)
    REQUIRE(Workers[Worker].Rack ==
            Workers[Plan.Starts[0].WorkerIndices[0]].Rack);
}

TEST_CASE("urgent work preempts lower priorities with the least lost work") {
  struct Row {
    std::int64_t OtherPriority;
    std::vector<std::size_t> Preempted;
  };
  const auto Case =
      GENERATE(Row{1, {1}}, Row{2, {1}}, Row{0, std::vector<std::size_t>{}});
  auto Workers = makeWorkers(2, 2);
  const std::vector<PlacedUnit> Placed{
      fillWorkers(Workers, {0}, Case.OtherPriority, 500),
      fillWorkers(Workers, {1}, Case.OtherPriority, 20)};
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  const std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, {});
  REQUIRE(Plan.Starts.empty());
  std::vector<std::size_t> Preempted;
  for (const PlannedPreemption &Entry : Plan.Preemptions)
    Preempted.push_back(Entry.PlacedIndex);
  REQUIRE(Preempted == Case.Preempted);
}

TEST_CASE("guaranteed work preempts workspaces beyond their guarantees") {
  const auto [Within, Beyond, Preempted] =
      GENERATE(table<bool, bool, std::size_t>(
          {{true, true, 1}, {true, false, 0}, {false, true, 0}}));
  auto Workers = makeWorkers(1, 1);
  const std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 0, 10)};
  const std::vector<GuaranteeUse> Guarantees{{"team", Within ? 8 : 7, 0},
                                             {"other", Beyond ? 7 : 8, 8}};
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  Waiting[0].ReclaimDue = true;
  const PlacementPlan Plan =
      planPlacement(Workers, Waiting, Placed, Guarantees);
  REQUIRE(Plan.Preemptions.size() == Preempted);
}

TEST_CASE("capacity being freed for urgent work is withheld from other work") {
  auto Workers = makeWorkers(1, 1);
  std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 2, 10)};
  Placed[0].Stopping = true;
  // The first of two members has already ended.
  Workers[0].FreeNow = {8'000, 1'000, 2};
  Workers[0].FreeAfterStops = WholeWorker;
  const StepSpec Urgent = makeStep(1, {1'000, 100, 8}, true, false);
  const StepSpec Small = makeStep(1, {1'000, 100, 1}, false, false);
  std::vector<WaitingUnit> Waiting{makeUnit(Urgent, 0), makeUnit(Small, 2)};
  Waiting[1].Group = 1;
  const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, {});
  REQUIRE(Plan.Starts.empty());
  REQUIRE(Plan.Preemptions.empty());
}

TEST_CASE("a refused gang member goes to a worker that is not deprioritized") {
  struct Row {
    const char *Name;
    bool Tight;
    std::vector<std::size_t> Deprioritized;
    std::optional<std::size_t> Worker;
  };
  const auto Case = GENERATE(
      Row{"any rack", false, {0}, 1}, Row{"the gang's rack", true, {}, 2},
      Row{"its rack is deprioritized", true, {2, 3}, std::nullopt});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(4, 2);
  for (const std::size_t Index : Case.Deprioritized)
    Workers[Index].Deprioritized = true;
  const StepSpec Step = makeStep(2, {1'000, 100, 8}, true, Case.Tight);
  const std::vector<std::string_view> OtherRacks{"r1"};
  REQUIRE(planReplacement(Workers, makeUnit(Step, 0), OtherRacks) ==
          Case.Worker);
}

TEST_CASE("work of the same priority is preempted last") {
  // Under a burst of urgent gangs in a full cluster, gangs that have just
  // started are the cheapest to stop and would preempt each other.
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 0, 0),
                                 fillWorkers(Workers, {1}, 2, 900)};
  Placed[0].Workspace = "other";
  const std::vector<GuaranteeUse> Guarantees{{"team", 8, 0}, {"other", 0, 8}};
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  WaitingUnit Unit = makeUnit(Step, 0);
  Unit.ReclaimDue = true;
  const PlacementPlan Plan =
      planPlacement(Workers, {&Unit, 1}, Placed, Guarantees);
  REQUIRE(Plan.Preemptions.size() == 1);
  REQUIRE(Plan.Preemptions.front().PlacedIndex == 1);
}

TEST_CASE("small tasks do not use workers that drain for a large gang") {
  // A stream of small tasks takes each freed accelerator, so that a gang that
  // needs whole workers never starts.
  std::vector<PlacementWorker> Workers = makeWorkers(8, 2);
  std::vector<PlacedUnit> Placed;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
    Placed.push_back(fillWorkers(Workers, {Index}, 2, 10));
    Placed.back().TaskResources = {8'000, 100, 7};
    Placed.back().RemainingMs = Index / 2 == 2 ? 900 : 4'000;
    Workers[Index].FreeNow = Workers[Index].FreeAfterStops = {8'000, 100, 1};
  }
  const StepSpec Wide = makeStep(2, {1'000, 100, 8}, true, true);
  const StepSpec Small = makeStep(1, {1'000, 100, 1}, false, false);
  std::vector<WaitingUnit> Waiting{makeUnit(Wide, 1)};
  for (std::size_t Count = 0; Count < 8; ++Count)
    Waiting.push_back(makeUnit(Small, 2));
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    Waiting[Index].Group = Index;
  const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, {});
  REQUIRE(Plan.Reservations.size() == 1);
  REQUIRE(Plan.Reservations.front().WorkerIndices ==
          std::vector<std::size_t>{4, 5});
  REQUIRE(Plan.Starts.size() == 6);
  for (const PlannedStart &Start : Plan.Starts)
    REQUIRE(Start.WorkerIndices.front() / 2 != 2);
}

TEST_CASE(
    "urgent work waits for runs that end as soon as a stop would end them") {
  struct Row {
    const char *Name;
    bool Patient;
    std::size_t Preempted;
  };
  const auto Case = GENERATE(Row{"it ends by itself", true, 0},
                             Row{"it has waited too long", false, 1});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  const std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 2, 50),
                                       fillWorkers(Workers, {1}, 2, 900)};
  Workers[1].FreeAfterExpectedEnds = WholeWorker;
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  WaitingUnit Unit = makeUnit(Step, 0);
  Unit.WaitsForExpectedEnds = Case.Patient;
  const PlacementPlan Plan = planPlacement(Workers, {&Unit, 1}, Placed, {});
  REQUIRE(Plan.Preemptions.size() == Case.Preempted);
}

TEST_CASE("a claim that relies on an overdue end is replaced") {
  // Under load on workers of different speeds, some runs end later than their
  // progress suggests. The claim would wait for them with stopped victims.
  struct Row {
    const char *Name;
    bool Overdue;
    std::size_t Dropped;
    std::vector<std::size_t> Claimed;
  };
  const auto Case =
      GENERATE(Row{"in time", false, 0, {}}, Row{"overdue", true, 1, {1, 2}});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(3, 3);
  std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 2, 900),
                                 fillWorkers(Workers, {1}, 2, 100),
                                 fillWorkers(Workers, {2}, 2, 100)};
  Placed[0].EndsSoon = true;
  Workers[0].FreeAfterExpectedEnds = WholeWorker;
  // The victim on w1 has ended.
  Placed.erase(Placed.begin() + 1);
  Workers[1].FreeNow = Workers[1].FreeAfterStops = WholeWorker;
  Workers[1].FreeAfterExpectedEnds = WholeWorker;
  const std::vector<std::string> Earlier{"w0", "w1"};
  const StepSpec Step = makeStep(2, {1'000, 100, 8}, true, false);
  WaitingUnit Unit = makeUnit(Step, 0);
  Unit.ClaimedWorkers = Earlier;
  Unit.ClaimOverdue = Case.Overdue;
  Unit.WaitsForExpectedEnds = !Case.Overdue;
  const PlacementPlan Plan = planPlacement(Workers, {&Unit, 1}, Placed, {});
  REQUIRE(Plan.DroppedClaims.size() == Case.Dropped);
  std::vector<std::size_t> Claimed;
  for (const PlannedClaim &Claim : Plan.Claims)
    Claimed = Claim.WorkerIndices;
  REQUIRE(Claimed == Case.Claimed);
}

TEST_CASE("what is preempted for a unit is held for it") {
  // Under more urgent gangs than fit, a gang with an earlier deadline takes
  // each worker that is released for another gang, which preempts again.
  struct Row {
    const char *Name;
    std::vector<std::string> Claimed;
    bool Released;
    std::vector<std::size_t> Started;
    std::size_t Preemptions;
  };
  const auto Case =
      GENERATE(Row{"still being released", {"w0", "w1"}, false, {}, 0},
               Row{"released", {"w0", "w1"}, true, {1}, 0},
               Row{"no claim", {}, true, {0}, 0});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  std::vector<PlacedUnit> Placed;
  if (!Case.Released) {
    Placed.push_back(fillWorkers(Workers, {0, 1}, 2, 0));
    Placed.back().Stopping = true;
    for (PlacementWorker &Worker : Workers)
      Worker.FreeAfterStops = WholeWorker;
    Workers[0].FreeNow = WholeWorker;
  }
  const StepSpec Wide = makeStep(2, {1'000, 100, 8}, true, false);
  std::vector<WaitingUnit> Waiting(2, makeUnit(Wide, 0));
  Waiting[1].ClaimedWorkers = Case.Claimed;
  Waiting[1].Group = 1;
  const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, {});
  std::vector<std::size_t> Started;
  for (const PlannedStart &Start : Plan.Starts)
    Started.push_back(Start.WaitingIndex);
  REQUIRE(Started == Case.Started);
  REQUIRE(Plan.Preemptions.size() == Case.Preemptions);
  REQUIRE(Plan.DroppedClaims.empty());
}

TEST_CASE("a claim is dropped with a worker that the unit may not use") {
  std::vector<PlacementWorker> Workers = makeWorkers(3, 3);
  Workers[0].Usable = false;
  const StepSpec Wide = makeStep(2, {1'000, 100, 8}, true, false);
  const std::vector<std::string> Claimed{"w0", "w1"};
  WaitingUnit Unit = makeUnit(Wide, 0);
  Unit.ClaimedWorkers = Claimed;
  const PlacementPlan Plan = planPlacement(Workers, {&Unit, 1}, {}, {});
  REQUIRE(Plan.DroppedClaims == std::vector<std::size_t>{0});
  REQUIRE(Plan.Starts.size() == 1);
}

TEST_CASE("a workspace reclaims no more than its guarantee") {
  // Each of several waiting gangs fits the guarantee, but not all of them.
  const auto [Guaranteed, Reclaims] = GENERATE(table<std::int64_t, std::size_t>(
      {{7, 0}, {8, 1}, {16, 2}, {23, 2}, {24, 3}}));
  std::vector<PlacementWorker> Workers = makeWorkers(3, 3);
  const std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 0, 10),
                                       fillWorkers(Workers, {1}, 0, 20),
                                       fillWorkers(Workers, {2}, 0, 30)};
  const std::vector<GuaranteeUse> Guarantees{{"team", Guaranteed, 0},
                                             {"other", 0, 24}};
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  std::vector<WaitingUnit> Waiting(3, makeUnit(Step, 0));
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
    Waiting[Index].ReclaimDue = true;
    Waiting[Index].Group = Index;
  }
  const PlacementPlan Plan =
      planPlacement(Workers, Waiting, Placed, Guarantees);
  REQUIRE(Plan.Preemptions.size() == Reclaims);
}

TEST_CASE("a workspace keeps what its own guarantee covers") {
  // It holds three gangs, one more than guaranteed. If all were counted as
  // beyond the guarantee, it would lose them and reclaim two of them in turn.
  std::vector<PlacementWorker> Workers = makeWorkers(3, 3);
  const std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 0, 10),
                                       fillWorkers(Workers, {1}, 0, 20),
                                       fillWorkers(Workers, {2}, 0, 30)};
  const std::vector<GuaranteeUse> Guarantees{{"team", 24, 0},
                                             {"other", 16, 24}};
  const auto [Tasks, Reclaims] =
      GENERATE(table<std::int64_t, std::size_t>({{1, 1}, {2, 0}}));
  const StepSpec Step = makeStep(Tasks, {1'000, 100, 8}, true, false);
  std::vector<WaitingUnit> Waiting(2, makeUnit(Step, 0));
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
    Waiting[Index].ReclaimDue = true;
    Waiting[Index].Group = Index;
  }
  const PlacementPlan Plan =
      planPlacement(Workers, Waiting, Placed, Guarantees);
  REQUIRE(Plan.Preemptions.size() == Reclaims);
}

TEST_CASE(
    "overdue guaranteed work is placed before work that it would reclaim") {
  const auto [Due, First] =
      GENERATE(table<bool, std::size_t>({{true, 1}, {false, 0}}));
  std::vector<PlacementWorker> Workers = makeWorkers(1, 1);
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  std::vector<WaitingUnit> Waiting(2, makeUnit(Step, 0));
  Waiting[0].Workspace = "other";
  Waiting[1].ReclaimDue = Due;
  Waiting[1].Group = 1;
  const std::vector<GuaranteeUse> Guarantees{{"team", 8, 0}, {"other", 0, 0}};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, Guarantees);
  REQUIRE(Plan.Starts.size() == 1);
  REQUIRE(Plan.Starts.front().WaitingIndex == First);
}

} // namespace pistachioflow
