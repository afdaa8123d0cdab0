#include "candidate_workers.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr Resources WholeWorker{64'000, 131'072, 8};

/// Two workers with everything free.
std::vector<PlacementWorker> twoWorkers() {
  std::vector<PlacementWorker> Workers(2);
  Workers[0].Id = "w0";
  Workers[1].Id = "w1";
  for (PlacementWorker &Worker : Workers) {
    Worker.Service = "svc";
    Worker.Capacity = Worker.FreeNow = WholeWorker;
    Worker.FreeAfterStops = Worker.FreeAfterExpectedEnds = WholeWorker;
  }
  return Workers;
}

WaitingUnit makeUnit(const StepSpec &Step, bool Suspect) {
  WaitingUnit Unit;
  Unit.Service = "svc";
  Unit.Step = &Step;
  Unit.Suspect = Suspect;
  return Unit;
}

} // namespace

TEST_CASE("suspects avoid other work, and other work avoids them") {
  struct Row {
    bool Suspect;
    bool Occupied;
    bool HostsSuspect;
    bool Avoided;
  };
  const auto Case =
      GENERATE(Row{false, false, false, false}, Row{false, true, false, false},
               Row{false, true, true, true}, Row{true, false, false, false},
               Row{true, true, false, true}, Row{true, true, true, true});
  StepSpec Step;
  std::vector<PlacementWorker> Workers = twoWorkers();
  Workers[0].Occupied = Case.Occupied;
  Workers[0].HostsSuspect = Case.HostsSuspect;
  REQUIRE(isAvoided(Workers[0], makeUnit(Step, Case.Suspect)) == Case.Avoided);
}

TEST_CASE("units of one round are kept apart if one of them is a suspect") {
  const auto [First, Second, Apart] =
      GENERATE(table<bool, bool, bool>({{false, false, false},
                                        {true, false, true},
                                        {false, true, true},
                                        {true, true, true}}));
  StepSpec Step;
  Step.TaskResources = {1'000, 100, 1};
  std::vector<PlacementWorker> Workers = twoWorkers();
  const std::vector<WaitingUnit> Waiting{makeUnit(Step, First),
                                         makeUnit(Step, Second)};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == 2);
  const bool SameWorker =
      Plan.Starts[0].WorkerIndices == Plan.Starts[1].WorkerIndices;
  REQUIRE(SameWorker == !Apart);
}

} // namespace pistachioflow
