#include "candidate_workers.hpp"

#include <string>
#include <string_view>
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

// Guards against a task that waits for the rack of its data although none of
// the workers there can ever run it.
TEST_CASE("a task keeps to the rack of its data where it would fit when idle") {
  struct Row {
    const char *What;
    const char *DataRack;
    Resources Free;
    Resources Capacity;
    bool Usable;
    bool Keeps;
  };
  const auto Case = GENERATE(
      Row{"idle", "r0", WholeWorker, WholeWorker, true, true},
      Row{"full of other work", "r0", {}, WholeWorker, true, true},
      Row{"too small", "r0", {8'000, 100, 1}, {8'000, 100, 1}, true, false},
      Row{"unusable", "r0", WholeWorker, WholeWorker, false, false},
      Row{"unknown", "r9", WholeWorker, WholeWorker, true, false},
      Row{"none", "", WholeWorker, WholeWorker, true, false});
  CAPTURE(Case.What);
  StepSpec Step;
  Step.TaskResources = {1'000, 100, 4};
  Step.DataRack = Case.DataRack;
  std::vector<PlacementWorker> Workers = twoWorkers();
  Workers[0].Rack = "r0";
  Workers[0].FreeNow = Case.Free;
  Workers[0].Capacity = Case.Capacity;
  Workers[0].Usable = Case.Usable;
  Workers[1].Rack = "r1";
  const std::vector<std::string_view> Racks =
      allowedRacks(Workers, makeUnit(Step, false));
  const std::vector<std::string_view> Expected{"r0"};
  REQUIRE(Racks == (Case.Keeps ? Expected : std::vector<std::string_view>{}));
}

} // namespace pistachioflow
