// How often one round looks through the workers, and that this decides nothing.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "placement_fixture.hpp"

namespace pistachioflow {

using namespace testing;

namespace {

/// A kind of unit is looked up by three free amounts, and by the first of them
/// again with its preferences lifted.
constexpr std::size_t SearchesPerKind = 4;
/// No limit in effect, but units with one look through the workers every time.
constexpr std::int64_t NoEffectiveSpread = 1'000'000;

/// A cluster with its queue. Its units refer to its steps.
struct RandomRound {
  std::vector<PlacementWorker> Workers;
  std::vector<PlacedUnit> Placed;
  std::deque<StepSpec> Steps;
  std::deque<std::vector<std::string>> ClaimedWorkers;
  std::vector<WaitingUnit> Waiting;
};

class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : Engine(Seed) {}

  std::int64_t pick(std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(this->Engine);
  }
  bool oneIn(std::int64_t Count) { return this->pick(1, Count) == 1; }

private:
  std::mt19937_64 Engine;
};

Resources demandOf(std::int64_t Accelerators) {
  return {4'000 * Accelerators, 8'192 * Accelerators, Accelerators};
}

void fillWorker(RandomSource &Random, RandomRound &Round, std::size_t Index) {
  PlacementWorker &Worker = Round.Workers[Index];
  Worker.Suspended = Random.oneIn(12);
  Worker.OnProbation = Random.oneIn(12);
  Worker.ReservedForUrgent = Random.oneIn(6);
  while (!Random.oneIn(4)) {
    PlacedUnit Unit;
    Unit.TaskResources = demandOf(std::int64_t{1} << Random.pick(0, 3));
    if (fittingTasks(Worker.FreeNow, Unit.TaskResources) == 0)
      continue;
    Unit.Workspace = "other";
    Unit.Priority = Random.pick(0, 2);
    Unit.RemainingMs = Random.pick(100, 9'000);
    Unit.LostWork = static_cast<double>(Random.pick(1, 1'000));
    Unit.Stopping = Random.oneIn(5);
    Unit.EndsSoon = Random.oneIn(5);
    Unit.WorkerIndices = {Index};
    Worker.FreeNow = Worker.FreeNow - Unit.TaskResources;
    if (!Unit.Stopping)
      Worker.FreeAfterStops = Worker.FreeAfterStops - Unit.TaskResources;
    if (!Unit.Stopping && !Unit.EndsSoon)
      Worker.FreeAfterExpectedEnds =
          Worker.FreeAfterExpectedEnds - Unit.TaskResources;
    Round.Placed.push_back(std::move(Unit));
  }
}

void addWaiting(RandomSource &Random, RandomRound &Round) {
  const bool Gang = Random.oneIn(3);
  StepSpec &Step = Round.Steps.emplace_back(
      makeStep(Gang ? Random.pick(2, 5) : 1,
               demandOf(std::int64_t{1} << Random.pick(0, 3)), Gang,
               Gang && Random.oneIn(2)));
  if (Random.oneIn(4))
    Step.DataRack = nameOf("r", static_cast<std::size_t>(Random.pick(0, 4)));
  WaitingUnit Unit = makeUnit(Step, Random.pick(0, 2));
  Unit.Group = Round.Waiting.size();
  Unit.WaitsForExpectedEnds = Random.oneIn(2);
  Unit.AcceptsAnyWorker = Random.oneIn(4);
  Unit.IgnoresReservations = Unit.AcceptsAnyWorker && Random.oneIn(2);
  Unit.AcceptsSuspended = Unit.AcceptsAnyWorker && Random.oneIn(2);
  Unit.LastAttempt = Random.oneIn(8);
  Unit.ReclaimDue = Unit.Priority == 0 && Random.oneIn(3);
  if (Random.oneIn(8)) {
    auto &Claimed = Round.ClaimedWorkers.emplace_back();
    for (std::int64_t Task = 0; Task < Unit.TaskCount; ++Task)
      Claimed.push_back(
          nameOf("w", static_cast<std::size_t>(Random.pick(0, 23))));
    Unit.ClaimedWorkers = Claimed;
    Unit.ClaimedAt = {Random.pick(1, 100)};
  }
  Round.Waiting.push_back(std::move(Unit));
}

RandomRound makeRound(std::uint64_t Seed) {
  constexpr std::size_t WorkerCount = 24;
  constexpr std::size_t WorkersPerRack = 5;
  constexpr int UnitCount = 60;
  RandomSource Random(Seed);
  RandomRound Round;
  Round.Workers = makeWorkers(WorkerCount, WorkersPerRack);
  for (std::size_t Index = 0; Index < WorkerCount; ++Index)
    fillWorker(Random, Round, Index);
  for (int Count = 0; Count < UnitCount; ++Count)
    addWaiting(Random, Round);
  return Round;
}

PlacementPlan planOf(const RandomRound &Round) {
  std::vector<PlacementWorker> Workers = Round.Workers;
  const std::vector<GuaranteeUse> Guarantees{{"team", 32, 0}, {"other", 8, 40}};
  return planPlacement(Workers, Round.Waiting, Round.Placed, Guarantees);
}

/// Everything that a plan decides, as text.
std::string describe(const PlacementPlan &Plan) {
  std::string Text;
  const auto Add = [&Text](const std::string &What, const auto &Indices) {
    Text += What;
    for (const std::size_t Index : Indices)
      Text += " " + std::to_string(Index);
    Text += "\n";
  };
  for (const PlannedStart &Entry : Plan.Starts)
    Add("start " + std::to_string(Entry.WaitingIndex), Entry.WorkerIndices);
  for (const PlannedPreemption &Entry : Plan.Preemptions)
    Add("preempt",
        std::vector{Entry.PlacedIndex, Entry.WaitingIndex, Entry.WorkerIndex});
  for (const PlannedClaim &Entry : Plan.Claims)
    Add("claim " + std::to_string(Entry.WaitingIndex), Entry.WorkerIndices);
  for (const PlannedReservation &Entry : Plan.Reservations)
    Add("reserve " + std::to_string(Entry.WaitingIndex), Entry.WorkerIndices);
  Add("dropped", Plan.DroppedClaims);
  Add("blocked", Plan.Blocked);
  Add("held back", Plan.HeldBack);
  return Text;
}

} // namespace

// Guards against an owner whose rounds grow with the length of its queue until
// its heartbeats come too late: each unit that did not fit looked through all
// workers four times, and planned a reservation.
TEST_CASE("units of one kind that do not fit are looked up once") {
  const auto [Tasks, Units] = GENERATE(table<std::int64_t, std::size_t>(
      {{1, 1}, {1, 2'000}, {2, 1}, {2, 2'000}, {8, 2'000}}));
  CAPTURE(Tasks, Units);
  const StepSpec Step = makeStep(Tasks, WholeWorker, Tasks > 1, false);
  std::vector<PlacementWorker> Workers = makeWorkers(20, 5);
  std::vector<PlacedUnit> Placed;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index)
    Placed.push_back(fillWorkers(Workers, {Index}, 0, 1));
  std::vector<WaitingUnit> Waiting(Units, makeUnit(Step, 1));
  for (std::size_t Index = 0; Index < Units; ++Index) {
    Waiting[Index].Group = Index;
    Waiting[Index].WaitsForExpectedEnds = true;
  }
  const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, {});
  REQUIRE(Plan.Starts.empty());
  REQUIRE(Plan.Searches <= SearchesPerKind + Plan.Reservations.size());
}

// Guards against a unit that waits beside free workers, or is started beyond
// them, since a search was skipped that would have found others.
TEST_CASE("what a round remembers of its searches decides nothing") {
  constexpr std::uint64_t Seeds = 400;
  std::size_t Searches = 0;
  std::size_t SearchesWithout = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RandomRound Round = makeRound(Seed);
    const PlacementPlan Remembering = planOf(Round);
    for (StepSpec &Step : Round.Steps)
      Step.MaxPerWorker = NoEffectiveSpread;
    const PlacementPlan Looking = planOf(Round);
    CAPTURE(Seed);
    REQUIRE(describe(Remembering) == describe(Looking));
    Searches += Remembering.Searches;
    SearchesWithout += Looking.Searches;
  }
  REQUIRE(Searches < SearchesWithout);
}

} // namespace pistachioflow
