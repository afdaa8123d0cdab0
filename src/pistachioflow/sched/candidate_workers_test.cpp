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

// Guards against innocent jobs that are given up: the start that decided it was
// on the worker of a task that had crashed others before.
TEST_CASE("a start that may be a unit's last shares no worker with suspects") {
  struct Row {
    bool Suspect, LastStart;           ///< Of the waiting unit.
    bool HostsSuspect, HostsLastStart; ///< Of its only worker.
    bool Waits;                        ///< Until it accepts any worker.
  };
  const auto Case = GENERATE(
      Row{false, false, true, false, false},
      Row{false, false, true, true, false},
      Row{true, false, true, false, false}, Row{true, false, true, true, true},
      Row{true, true, false, false, false}, Row{true, true, true, false, true},
      Row{true, true, true, true, true});
  const bool AcceptsAnyWorker = GENERATE(false, true);
  StepSpec Step;
  Step.TaskResources = {1'000, 100, 1};
  std::vector<PlacementWorker> Workers = twoWorkers();
  Workers.pop_back();
  Workers[0].Occupied = Case.HostsSuspect;
  Workers[0].HostsSuspect = Case.HostsSuspect;
  Workers[0].HostsLastStart = Case.HostsLastStart;
  WaitingUnit Unit = makeUnit(Step, Case.Suspect);
  Unit.LastStart = Case.LastStart;
  Unit.AcceptsAnyWorker = AcceptsAnyWorker;
  const bool Waits = Case.Waits && !AcceptsAnyWorker;
  const std::vector<WaitingUnit> Waiting{Unit};
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == (Waits ? 0 : 1));
  // So that the wait counts towards its limit.
  REQUIRE(Plan.HeldBack.size() == (Waits ? 1 : 0));
}

TEST_CASE("a task's siblings start while its last start waits") {
  StepSpec Step;
  Step.TaskResources = {1'000, 100, 1};
  std::vector<PlacementWorker> Workers = twoWorkers();
  Workers.pop_back();
  Workers[0].HostsSuspect = true;
  std::vector<WaitingUnit> Waiting{makeUnit(Step, true), makeUnit(Step, false)};
  for (WaitingUnit &Unit : Waiting) {
    Unit.Group = 1;
    Unit.Priority = 1;
  }
  Waiting[0].LastStart = true;
  const PlacementPlan Plan = planPlacement(Workers, Waiting, {}, {});
  REQUIRE(Plan.Starts.size() == 1);
  REQUIRE(Plan.Starts[0].WaitingIndex == 1);
}

} // namespace pistachioflow
