// What a unit prefers to avoid: other racks, reserved and suspended workers.

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

TEST_CASE("a worker on probation does not attract a full queue") {
  // A worker that fails everything is free again at once while all others are
  // full: without probation it attracts the whole queue.
  struct Row {
    const char *Name;
    std::int64_t Tasks;
    bool LastAttempt;
    std::size_t Starts;
  };
  const auto Case = GENERATE(Row{"one task at a time", 1, false, 1},
                             Row{"not a last attempt", 1, true, 0},
                             Row{"not a gang", 2, false, 0});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  Workers[0].FreeNow = Workers[0].FreeAfterStops = {};
  Workers[1].OnProbation = true;
  const StepSpec Step = makeStep(Case.Tasks, {1'000, 100, 1}, true, false);
  WaitingUnit Unit = makeUnit(Step, 1);
  Unit.LastAttempt = Case.LastAttempt;
  const std::vector<WaitingUnit> Waiting(4, Unit);
  REQUIRE(planPlacement(Workers, Waiting, {}, {}).Starts.size() == Case.Starts);
}

TEST_CASE("single tasks leave workers reserved for urgent gangs") {
  // Under a burst of urgent gangs in a full cluster, small tasks placed between
  // two gangs are preempted for the next one.
  struct Row {
    const char *Name;
    std::size_t Reserved;
    std::int64_t Priority;
    bool Gang;
    std::size_t Starts;
  };
  const auto Case = GENERATE(Row{"small work goes elsewhere", 2, 2, false, 2},
                             Row{"too few would be left", 3, 2, false, 4},
                             Row{"urgent work takes them", 2, 0, false, 4},
                             Row{"so do gangs", 2, 1, true, 2});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(4, 2);
  for (std::size_t Index = 0; Index < Case.Reserved; ++Index)
    Workers[Index].ReservedForUrgent = true;
  const StepSpec Step =
      makeStep(Case.Gang ? 2 : 1, {1'000, 100, 8}, Case.Gang, false);
  const std::vector<WaitingUnit> Waiting(4, makeUnit(Step, Case.Priority));
  REQUIRE(planPlacement(Workers, Waiting, {}, {}).Starts.size() == Case.Starts);
}

TEST_CASE("a unit that fits only on another rack is held back at first") {
  struct Row {
    const char *Name;
    bool Gang;
    bool AcceptsAnyWorker;
    std::size_t Starts;
    std::size_t HeldBack;
  };
  const auto Case = GENERATE(Row{"a gang prefers one rack", true, false, 0, 1},
                             Row{"it takes any in the end", true, true, 1, 0},
                             Row{"tasks prefer their data", false, false, 1, 2},
                             Row{"and take any in the end", false, true, 3, 0});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(4, 2);
  const std::vector<PlacedUnit> Placed{fillWorkers(Workers, {0}, 1, 0)};
  StepSpec Step = makeStep(Case.Gang ? 2 : 1, {1'000, 100, 8}, Case.Gang, true);
  if (Case.Gang)
    Workers[2].FreeNow = Workers[2].FreeAfterStops = {};
  else
    Step.DataRack = "r0";
  WaitingUnit Unit = makeUnit(Step, 1);
  Unit.AcceptsAnyWorker = Case.AcceptsAnyWorker;
  const std::vector<WaitingUnit> Waiting(Case.Gang ? 1 : 3, Unit);
  const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, {});
  REQUIRE(Plan.Starts.size() == Case.Starts);
  REQUIRE(Plan.HeldBack.size() == Case.HeldBack);
}

TEST_CASE("a last attempt that waits does not block the tasks of its step") {
  // It may not start on a worker on probation, which the others may.
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  for (PlacementWorker &Worker : Workers)
    Worker.OnProbation = true;
  const StepSpec Step = makeStep(1, {1'000, 100, 1}, false, false);
  std::vector<WaitingUnit> Waiting(3, makeUnit(Step, 1));
  Waiting[0].LastAttempt = true;
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == 2);
}

TEST_CASE("suspended workers are held back from units, not denied for ever") {
  struct Row {
    const char *Name;
    std::int64_t Tasks;
    bool Suspended; ///< Otherwise on probation.
    bool LastAttempt;
    bool AcceptsSuspended;
    bool Starts;
    bool HeldBack;
  };
  const auto Case = GENERATE(
      Row{"a task waits at first", 1, true, false, false, false, true},
      Row{"and starts in the end", 1, true, false, true, true, false},
      Row{"a gang waits at first", 2, false, false, false, false, true},
      Row{"and starts in the end", 2, false, false, true, true, false},
      Row{"a task may start on probation", 1, false, false, false, true, false},
      Row{"a last attempt waits at first", 1, false, true, false, false, true},
      Row{"and starts in the end", 1, false, true, true, true, false},
      Row{"also if suspended", 1, true, true, true, true, false});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers = makeWorkers(1, 1);
  Workers[0].Suspended = Case.Suspended;
  Workers[0].OnProbation = true;
  const StepSpec Step =
      makeStep(Case.Tasks, {1'000, 100, 1}, Case.Tasks > 1, false);
  WaitingUnit Unit = makeUnit(Step, 1);
  Unit.LastAttempt = Case.LastAttempt;
  Unit.AcceptsAnyWorker = Unit.AcceptsSuspended = Case.AcceptsSuspended;
  const std::vector<WaitingUnit> Waiting{Unit};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == (Case.Starts ? 1 : 0));
  REQUIRE(Plan.HeldBack.size() == (Case.HeldBack ? 1 : 0));
}

TEST_CASE("a member of a gang on several racks moves to any rack") {
  const std::vector<PlacementWorker> Free = makeWorkers(4, 2);
  const auto [Racks, Worker] =
      GENERATE(table<std::vector<std::string_view>, std::size_t>(
          {{{"r1", "r1"}, 2}, {{"r1", "r0"}, 0}}));
  std::vector<PlacementWorker> Workers = Free;
  const bool Tight = GENERATE(true, false);
  StepSpec Step = makeStep(3, {1'000, 100, 8}, true, Tight);
  if (!Tight)
    Step.DataRack = "r1";
  REQUIRE(planReplacement(Workers, makeUnit(Step, 0), Racks) == Worker);
}

} // namespace pistachioflow
