#include "pistachioflow/sched/placement.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr Resources WholeWorker{64'000, 131'072, 8};

std::vector<PlacementWorker> makeRooms(std::size_t Count,
                                       std::size_t EachRack) {
  std::vector<PlacementWorker> Rooms;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    PlacementWorker Room;
    Room.Id = "w" + std::to_string(Index);
    Room.Service = "svc";
    Room.Rack = "r" + std::to_string(Index / EachRack);
    Room.Labels = {"a", Room.Rack};
    Room.Capacity = WholeWorker;
    Room.FreeNow = WholeWorker;
    Room.FreeAfterStops = WholeWorker;
    Room.FreeAfterExpectedEnds = WholeWorker;
    Rooms.push_back(std::move(Room));
  }
  return Rooms;
}

StepSpec makeStep(std::int64_t Tasks, Resources Each, bool Gang, bool Tight) {
  StepSpec Step;
  Step.TaskCount = Tasks;
  Step.TaskResources = Each;
  Step.Gang = Gang;
  Step.TightlyCoupled = Tight;
  return Step;
}

WaitingUnit makeUnit(const StepSpec &Step, std::int64_t Priority) {
  WaitingUnit Unit;
  Unit.Service = "svc";
  Unit.Workspace = "team";
  Unit.Priority = Priority;
  Unit.Step = &Step;
  Unit.TaskCount = Step.Gang ? Step.TaskCount : 1;
  return Unit;
}

/// A unit that fills each of its rooms.
PlacedUnit fillRooms(std::vector<PlacementWorker> &Rooms,
                     std::vector<std::size_t> On, std::int64_t Priority,
                     double LostWork) {
  PlacedUnit Placed;
  Placed.Workspace = "other";
  Placed.Priority = Priority;
  Placed.TaskResources = WholeWorker;
  Placed.LostWork = LostWork;
  for (const std::size_t Room : On) {
    Rooms[Room].FreeNow = {};
    Rooms[Room].FreeAfterStops = {};
    Rooms[Room].FreeAfterExpectedEnds = {};
  }
  Placed.WorkerIndices = std::move(On);
  return Placed;
}

} // namespace

TEST_CASE("fittingTasks takes the scarcest resource") {
  struct Row {
    Resources Room;
    Resources Each;
    std::int64_t Tasks;
  };
  const auto Case = GENERATE(
      Row{{1'000, 100, 4}, {500, 10, 1}, 2}, Row{{1'000, 100, 1}, {1, 1, 1}, 1},
      Row{{1'000, 15, 4}, {500, 10, 1}, 1}, Row{{-5, 100, 4}, {500, 10, 1}, 0},
      Row{{1'000, 100, 0}, {500, 10, 0}, 2});
  REQUIRE(fittingTasks(Case.Room, Case.Each) == Case.Tasks);
}

TEST_CASE("a step's limit for each worker holds within one round") {
  const auto Limit = GENERATE(std::int64_t{1}, std::int64_t{2});
  auto Rooms = makeRooms(3, 3);
  StepSpec Step = makeStep(8, {1'000, 100, 1}, false, false);
  Step.MaxPerWorker = Limit;
  const std::vector<WaitingUnit> Waiting(8, makeUnit(Step, 2));
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, {});
  std::vector<std::int64_t> Tasks(Rooms.size(), 0);
  for (const PlannedStart &Start : Plan.Starts)
    for (const std::size_t Room : Start.WorkerIndices)
      ++Tasks[Room];
  REQUIRE(std::ranges::max(Tasks) == Limit);
  REQUIRE(Plan.Starts.size() == static_cast<std::size_t>(Limit) * Rooms.size());
}

TEST_CASE("a tight gang stays on one rack that can hold it") {
  const auto Tasks = GENERATE(std::int64_t{2}, std::int64_t{3});
  auto Rooms = makeRooms(6, 3);
  Rooms[0].FreeNow.Accelerators = 0;
  Rooms[0].FreeAfterStops.Accelerators = 0;
  const StepSpec Step = makeStep(Tasks, {1'000, 100, 8}, true, true);
  const std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, {});
  REQUIRE(Plan.Starts.size() == 1);
  for (const std::size_t Room : Plan.Starts[0].WorkerIndices)
    REQUIRE(Rooms[Room].Rack == (Tasks == 2 ? "r0" : "r1"));
}

TEST_CASE("urgent work evicts the least work of lower priorities") {
  struct Row {
    std::int64_t OtherPriority;
    std::vector<std::size_t> Evicted;
  };
  const auto Case =
      GENERATE(Row{1, {1}}, Row{2, {1}}, Row{0, std::vector<std::size_t>{}});
  auto Rooms = makeRooms(2, 2);
  const std::vector<PlacedUnit> Placed{
      fillRooms(Rooms, {0}, Case.OtherPriority, 500),
      fillRooms(Rooms, {1}, Case.OtherPriority, 20)};
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  const std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, Placed);
  REQUIRE(Plan.Starts.empty());
  std::vector<std::size_t> Evicted;
  for (const PlannedPreemption &Entry : Plan.Preemptions)
    Evicted.push_back(Entry.PlacedIndex);
  REQUIRE(Evicted == Case.Evicted);
}

TEST_CASE("guaranteed work takes room back from workspaces beyond theirs") {
  const auto [Within, Beyond, Evicted] =
      GENERATE(table<bool, bool, std::size_t>(
          {{true, true, 1}, {true, false, 0}, {false, true, 0}}));
  auto Rooms = makeRooms(1, 1);
  std::vector<PlacedUnit> Placed{fillRooms(Rooms, {0}, 0, 10)};
  Placed[0].BeyondGuarantee = Beyond;
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  std::vector<WaitingUnit> Waiting{makeUnit(Step, 0)};
  Waiting[0].MayReclaim = Within;
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, Placed);
  REQUIRE(Plan.Preemptions.size() == Evicted);
}

TEST_CASE("room that is being freed for urgent work is kept for it") {
  auto Rooms = makeRooms(1, 1);
  std::vector<PlacedUnit> Placed{fillRooms(Rooms, {0}, 2, 10)};
  Placed[0].Stopping = true;
  // The first of two members has ended already.
  Rooms[0].FreeNow = {8'000, 1'000, 2};
  Rooms[0].FreeAfterStops = WholeWorker;
  const StepSpec Urgent = makeStep(1, {1'000, 100, 8}, true, false);
  const StepSpec Small = makeStep(1, {1'000, 100, 1}, false, false);
  std::vector<WaitingUnit> Waiting{makeUnit(Urgent, 0), makeUnit(Small, 2)};
  Waiting[1].Group = 1;
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, Placed);
  REQUIRE(Plan.Starts.empty());
  REQUIRE(Plan.Preemptions.empty());
}

TEST_CASE("a refused task of a gang goes to a worker that is not doubted") {
  struct Row {
    const char *Why;
    bool Tight;
    std::vector<std::size_t> Doubted;
    std::optional<std::size_t> Room;
  };
  const auto Case = GENERATE(
      Row{"any rack", false, {0}, 1}, Row{"the gang's rack", true, {}, 2},
      Row{"its rack is doubted", true, {2, 3}, std::nullopt});
  CAPTURE(Case.Why);
  std::vector<PlacementWorker> Rooms = makeRooms(4, 2);
  for (const std::size_t Index : Case.Doubted)
    Rooms[Index].Deprioritized = true;
  const StepSpec Step = makeStep(2, {1'000, 100, 8}, true, Case.Tight);
  const std::vector<std::string> OtherRacks{"r1"};
  REQUIRE(planReplacement(Rooms, makeUnit(Step, 0), OtherRacks) == Case.Room);
}

TEST_CASE(
    "a full queue does not rush to a worker that failed what it started") {
  // Workers that fail everything are empty again at once, while all others are
  // full: without a bar they draw the whole queue.
  struct Row {
    const char *Why;
    std::int64_t Tasks;
    bool LastAttempt;
    std::size_t Starts;
  };
  const auto Case = GENERATE(Row{"one task tries it", 1, false, 1},
                             Row{"not a last attempt", 1, true, 0},
                             Row{"not a gang", 2, false, 0});
  CAPTURE(Case.Why);
  std::vector<PlacementWorker> Rooms = makeRooms(2, 2);
  Rooms[0].FreeNow = Rooms[0].FreeAfterStops = {};
  Rooms[1].OnProbation = true;
  const StepSpec Step = makeStep(Case.Tasks, {1'000, 100, 1}, true, false);
  WaitingUnit Unit = makeUnit(Step, 1);
  Unit.LastAttempt = Case.LastAttempt;
  const std::vector<WaitingUnit> Waiting(4, Unit);
  REQUIRE(planPlacement(Rooms, Waiting, {}).Starts.size() == Case.Starts);
}

TEST_CASE("work of the same priority gives way last") {
  // A burst of urgent gangs in a full cluster: gangs that had just started were
  // the cheapest to stop, and stopped each other.
  std::vector<PlacementWorker> Rooms = makeRooms(2, 2);
  std::vector<PlacedUnit> Placed{fillRooms(Rooms, {0}, 0, 0),
                                 fillRooms(Rooms, {1}, 2, 900)};
  Placed[0].Workspace = "other";
  Placed[0].BeyondGuarantee = true;
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  WaitingUnit Unit = makeUnit(Step, 0);
  Unit.MayReclaim = true;
  const PlacementPlan Plan = planPlacement(Rooms, {&Unit, 1}, Placed);
  REQUIRE(Plan.Preemptions.size() == 1);
  REQUIRE(Plan.Preemptions.front().PlacedIndex == 1);
}

TEST_CASE("small tasks leave the workers alone that drain for a large gang") {
  // A stream of small tasks takes each accelerator that becomes free, and a
  // gang that needs whole workers never starts.
  std::vector<PlacementWorker> Rooms = makeRooms(8, 2);
  std::vector<PlacedUnit> Placed;
  for (std::size_t Index = 0; Index < Rooms.size(); ++Index) {
    Placed.push_back(fillRooms(Rooms, {Index}, 2, 10));
    Placed.back().TaskResources = {8'000, 100, 7};
    Placed.back().RemainingMs = Index / 2 == 2 ? 900 : 4'000;
    Rooms[Index].FreeNow = Rooms[Index].FreeAfterStops = {8'000, 100, 1};
  }
  const StepSpec Wide = makeStep(2, {1'000, 100, 8}, true, true);
  const StepSpec Small = makeStep(1, {1'000, 100, 1}, false, false);
  std::vector<WaitingUnit> Waiting{makeUnit(Wide, 1)};
  for (std::size_t Count = 0; Count < 8; ++Count)
    Waiting.push_back(makeUnit(Small, 2));
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    Waiting[Index].Group = Index;
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, Placed);
  REQUIRE(Plan.Reservations.size() == 1);
  REQUIRE(Plan.Reservations.front().WorkerIndices ==
          std::vector<std::size_t>{4, 5});
  REQUIRE(Plan.Starts.size() == 6);
  for (const PlannedStart &Start : Plan.Starts)
    REQUIRE(Start.WorkerIndices.front() / 2 != 2);
}

TEST_CASE("urgent work waits for what ends as soon as a stop would end it") {
  struct Row {
    const char *Why;
    bool Patient;
    std::size_t Evicted;
  };
  const auto Case = GENERATE(Row{"it ends by itself", true, 0},
                             Row{"it should have ended", false, 1});
  CAPTURE(Case.Why);
  std::vector<PlacementWorker> Rooms = makeRooms(2, 2);
  const std::vector<PlacedUnit> Placed{fillRooms(Rooms, {0}, 2, 50),
                                       fillRooms(Rooms, {1}, 2, 900)};
  Rooms[1].FreeAfterExpectedEnds = WholeWorker;
  const StepSpec Step = makeStep(1, {1'000, 100, 8}, true, false);
  WaitingUnit Unit = makeUnit(Step, 0);
  Unit.WaitsForExpectedEnds = Case.Patient;
  const PlacementPlan Plan = planPlacement(Rooms, {&Unit, 1}, Placed);
  REQUIRE(Plan.Preemptions.size() == Case.Evicted);
}

TEST_CASE("single tasks leave workers to the next urgent gang") {
  // Urgent gangs come in a burst into a full cluster: small tasks that took
  // each place in between were stopped for the next gang.
  struct Row {
    const char *Why;
    std::size_t Kept;
    std::int64_t Priority;
    bool Gang;
    std::size_t Starts;
  };
  const auto Case = GENERATE(Row{"small work goes elsewhere", 2, 2, false, 2},
                             Row{"too few would be left", 3, 2, false, 4},
                             Row{"urgent work takes them", 2, 0, false, 4},
                             Row{"so do gangs", 2, 1, true, 2});
  CAPTURE(Case.Why);
  std::vector<PlacementWorker> Rooms = makeRooms(4, 2);
  for (std::size_t Index = 0; Index < Case.Kept; ++Index)
    Rooms[Index].ReservedForUrgent = true;
  const StepSpec Step =
      makeStep(Case.Gang ? 2 : 1, {1'000, 100, 8}, Case.Gang, false);
  const std::vector<WaitingUnit> Waiting(4, makeUnit(Step, Case.Priority));
  REQUIRE(planPlacement(Rooms, Waiting, {}).Starts.size() == Case.Starts);
}

} // namespace pistachioflow
