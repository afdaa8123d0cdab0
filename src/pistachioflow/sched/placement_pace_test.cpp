// Placements among workers that differ in speed.

#include <set>
#include <vector>

#include <catch2/catch.hpp>

#include "placement_fixture.hpp"

namespace pistachioflow {

using namespace testing;

namespace {

constexpr double Slow = -0.5;
constexpr double Fast = 0.47;
constexpr Resources OneAccelerator{4'000, 4'096, 1};

std::set<std::size_t> startedOn(std::vector<PlacementWorker> &Workers,
                                const std::vector<WaitingUnit> &Waiting) {
  std::set<std::size_t> Used;
  for (const PlannedStart &Start :
       planPlacement(Workers, Waiting, {}, {}).Starts)
    Used.insert(Start.WorkerIndices.begin(), Start.WorkerIndices.end());
  return Used;
}

} // namespace

// Guards against gangs that end late by one slow member while fast workers
// idle.
TEST_CASE("a gang takes the fastest workers that it fits on") {
  const auto [Pace, Used] =
      GENERATE(table<PacePreference, std::set<std::size_t>>(
          {{PacePreference::None, {0, 1}},
           {PacePreference::Fastest, {2, 4}},
           {PacePreference::NotFastest, {0, 1}}}));
  std::vector<PlacementWorker> Workers = makeWorkers(6, 6);
  Workers[0].LogPace = Slow;
  Workers[2].LogPace = Fast;
  Workers[4].LogPace = Fast;
  const StepSpec Step = makeStep(2, WholeWorker, true, false);
  WaitingUnit Gang = makeUnit(Step, 0);
  Gang.Pace = Pace;
  REQUIRE(startedOn(Workers, {Gang}) == Used);
}

TEST_CASE("among racks the one with the fastest slowest worker is taken") {
  std::vector<PlacementWorker> Workers = makeWorkers(9, 3);
  Workers[0].LogPace = Fast;
  Workers[1].LogPace = Slow;
  Workers[2].LogPace = Slow;
  for (const std::size_t Worker : {6, 7, 8})
    Workers[Worker].LogPace = Fast;
  const StepSpec Step = makeStep(3, WholeWorker, true, true);
  WaitingUnit Gang = makeUnit(Step, 1);
  Gang.Pace = PacePreference::Fastest;
  REQUIRE(startedOn(Workers, {Gang}) == std::set<std::size_t>{6, 7, 8});
}

// Guards against long work that takes the fast workers from urgent gangs, and
// against fast workers that idle while it waits.
TEST_CASE("other work takes the fastest workers last") {
  const auto [Tasks, UsesFast] =
      GENERATE(table<std::int64_t, bool>({{16, false}, {17, true}}));
  std::vector<PlacementWorker> Workers = makeWorkers(3, 3);
  Workers[0].LogPace = Fast;
  Workers[2].LogPace = Slow;
  const StepSpec Step = makeStep(Tasks, OneAccelerator, false, false);
  std::vector<WaitingUnit> Waiting(static_cast<std::size_t>(Tasks),
                                   makeUnit(Step, 2));
  for (WaitingUnit &Unit : Waiting)
    Unit.Pace = PacePreference::NotFastest;
  REQUIRE(startedOn(Workers, Waiting).contains(0) == UsesFast);
}

// Guards against a unit that waits for a better worker: pace only chooses.
TEST_CASE("a unit starts on slow workers if there are no others") {
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  for (PlacementWorker &Worker : Workers)
    Worker.LogPace = Slow;
  const StepSpec Step = makeStep(2, WholeWorker, true, true);
  WaitingUnit Gang = makeUnit(Step, 0);
  Gang.Pace = PacePreference::Fastest;
  REQUIRE(startedOn(Workers, {Gang}) == std::set<std::size_t>{0, 1});
}

// Guards against kinds of work that slow each other down on one worker beside
// idle ones, where packing alone would put them together.
TEST_CASE(
    "kinds that slow each other down are kept apart where there is room") {
  const auto [Slowdown, IdleWorker, Used] =
      GENERATE(table<double, bool, std::size_t>(
          {{0.0, true, 0}, {0.4, true, 1}, {0.4, false, 0}}));
  std::vector<PlacementWorker> Workers = makeWorkers(2, 2);
  Workers[0].KindsThere = bitOfKind(1);
  Workers[0].FreeNow = OneAccelerator;
  Workers[1].Usable = IdleWorker;
  const StepSpec Step = makeStep(1, OneAccelerator, false, false);
  const std::vector<double> Slowdowns{0, Slowdown};
  WaitingUnit Unit = makeUnit(Step, 2);
  Unit.Pace = PacePreference::NotFastest;
  Unit.SlowdownsBeside = Slowdowns;
  REQUIRE(startedOn(Workers, {Unit}) == std::set<std::size_t>{Used});
}

} // namespace pistachioflow
