#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachioflow/sched/placement.hpp"

/// Workers and units for tests of the placement.
namespace pistachioflow::testing {

inline constexpr Resources WholeWorker{64'000, 131'072, 8};

/// Returns \p Prefix followed by \p Number, with static lifetime.
inline const std::string &nameOf(const char *Prefix, std::size_t Number) {
  static std::set<std::string> Names;
  return *Names.insert(Prefix + std::to_string(Number)).first;
}

/// A worker's labels, with static lifetime.
inline std::span<const std::string> labelsOf(const std::string &Rack) {
  static std::map<std::string, std::vector<std::string>> Labels;
  return Labels.try_emplace(Rack, std::vector<std::string>{"a", Rack})
      .first->second;
}

inline std::vector<PlacementWorker> makeWorkers(std::size_t Count,
                                                std::size_t PerRack) {
  std::vector<PlacementWorker> Workers;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    PlacementWorker Worker;
    Worker.Id = nameOf("w", Index);
    Worker.Service = "svc";
    Worker.Rack = nameOf("r", Index / PerRack);
    Worker.Labels = labelsOf(nameOf("r", Index / PerRack));
    Worker.Capacity = WholeWorker;
    Worker.FreeNow = WholeWorker;
    Worker.FreeAfterStops = WholeWorker;
    Worker.FreeAfterExpectedEnds = WholeWorker;
    Workers.push_back(std::move(Worker));
  }
  return Workers;
}

inline StepSpec makeStep(std::int64_t Tasks, Resources PerTask, bool Gang,
                         bool Tight) {
  StepSpec Step;
  Step.TaskCount = Tasks;
  Step.TaskResources = PerTask;
  Step.Gang = Gang;
  Step.TightlyCoupled = Tight;
  return Step;
}

inline WaitingUnit makeUnit(const StepSpec &Step, std::int64_t Priority) {
  WaitingUnit Unit;
  Unit.Service = "svc";
  Unit.Workspace = "team";
  Unit.Priority = Priority;
  Unit.Step = &Step;
  Unit.TaskCount = Step.Gang ? Step.TaskCount : 1;
  return Unit;
}

/// A unit that occupies each of its workers completely.
inline PlacedUnit fillWorkers(std::vector<PlacementWorker> &Workers,
                              std::vector<std::size_t> On,
                              std::int64_t Priority, double LostWork) {
  PlacedUnit Placed;
  Placed.Workspace = "other";
  Placed.Priority = Priority;
  Placed.TaskResources = WholeWorker;
  Placed.LostWork = LostWork;
  for (const std::size_t Worker : On) {
    Workers[Worker].FreeNow = {};
    Workers[Worker].FreeAfterStops = {};
    Workers[Worker].FreeAfterExpectedEnds = {};
  }
  Placed.WorkerIndices = std::move(On);
  return Placed;
}

} // namespace pistachioflow::testing
