#include "worker_finder.hpp"

#include <utility>

namespace pistachioflow {

std::optional<WorkerChoice>
WorkerFinder::find(const WaitingUnit &Unit,
                   std::span<const std::string_view> Racks,
                   Resources PlacementWorker::*Free) {
  if (Unit.Step->MaxPerWorker > 0) {
    ++this->Searches;
    return chooseWorkers(this->Workers, Unit, Racks, Free);
  }
  const FitKind Kind = fitKind(Unit);
  FitBounds &Known = this->boundsFor(Free);
  if (Known.excludes(Kind, Unit.TaskCount, Racks))
    return std::nullopt;
  ++this->Searches;
  WorkerSearch Found = searchWorkers(this->Workers, Unit, Racks, Free);
  if (!Found.Choice)
    Known.learn(Kind, Unit.TaskCount, Found.Fitting, Racks, Found.OnOneRack);
  return std::move(Found.Choice);
}

void WorkerFinder::forgetAll() {
  this->Now.clear();
  this->forgetLater();
}

void WorkerFinder::forgetLater() {
  this->AfterStops.clear();
  this->AfterExpectedEnds.clear();
}

FitBounds &WorkerFinder::boundsFor(Resources PlacementWorker::*Free) {
  if (Free == &PlacementWorker::FreeNow)
    return this->Now;
  return Free == &PlacementWorker::FreeAfterStops ? this->AfterStops
                                                  : this->AfterExpectedEnds;
}

} // namespace pistachioflow
