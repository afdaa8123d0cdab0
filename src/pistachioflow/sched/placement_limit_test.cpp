// How much one round decides.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

#include <catch2/catch.hpp>

#include "placement_fixture.hpp"

namespace pistachioflow {

using namespace testing;

namespace {

constexpr Resources PerTask{4'000, 4'096, 1};
constexpr std::size_t TasksOfOneWorker = 8;
constexpr std::size_t MaxRounds = 100;

/// Plays rounds until nothing is left to decide, and returns how many tasks
/// each has started. What starts never ends.
std::vector<std::size_t> startsOfRounds(std::vector<PlacementWorker> &Workers,
                                        std::vector<WaitingUnit> Waiting) {
  std::vector<std::size_t> Rounds;
  bool Incomplete = true;
  while (Incomplete && Rounds.size() < MaxRounds) {
    const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
    Incomplete = Plan.Incomplete;
    std::size_t Tasks = 0;
    std::vector<bool> Started(Waiting.size(), false);
    for (const PlannedStart &Start : Plan.Starts) {
      Tasks += Start.WorkerIndices.size();
      Started[Start.WaitingIndex] = true;
    }
    // The order of ranks: nothing is started behind a unit that is left.
    if (Incomplete)
      REQUIRE(std::ranges::is_sorted(Started, std::greater<>()));
    std::vector<WaitingUnit> Left;
    for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
      if (!Started[Index])
        Left.push_back(Waiting[Index]);
    Waiting = std::move(Left);
    Rounds.push_back(Tasks);
  }
  return Rounds;
}

} // namespace

// Guards against an owner that loses its queues while it places a full queue:
// one round started all 2,905 waiting tasks, and its heartbeats came too late.
TEST_CASE("a full queue that meets idle workers is placed in several rounds") {
  const auto [TasksPerUnit, Units] = GENERATE(table<std::int64_t, std::size_t>(
      {{1, 10}, {1, MaxStartsPerRound}, {1, 3'000}, {26, 110}, {400, 3}}));
  CAPTURE(TasksPerUnit, Units);
  const StepSpec Step =
      makeStep(TasksPerUnit, PerTask, TasksPerUnit > 1, false);
  const std::size_t Tasks = Units * static_cast<std::size_t>(TasksPerUnit);
  std::vector<PlacementWorker> Workers =
      makeWorkers(Tasks / TasksOfOneWorker + 1, 20);
  const std::vector<std::size_t> Rounds =
      startsOfRounds(Workers, std::vector(Units, makeUnit(Step, 1)));
  std::size_t Started = 0;
  for (const std::size_t InRound : Rounds) {
    // A unit that has begun to be placed is placed as a whole.
    REQUIRE(InRound < MaxStartsPerRound + Step.TaskCount);
    Started += InRound;
  }
  REQUIRE(Started == Tasks);
}

TEST_CASE("units that fit nowhere do not count for what a round decides") {
  const StepSpec Wide = makeStep(4, WholeWorker, true, false);
  const StepSpec Small = makeStep(1, PerTask, false, false);
  std::vector<WaitingUnit> Waiting(2 * MaxStartsPerRound, makeUnit(Wide, 1));
  Waiting.push_back(makeUnit(Small, 2));
  Waiting.back().Group = 1;
  std::vector<PlacementWorker> Workers = makeWorkers(1, 20);
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE_FALSE(Plan.Incomplete);
  REQUIRE(Plan.Starts.size() == 1);
}

} // namespace pistachioflow
