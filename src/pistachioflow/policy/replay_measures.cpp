#include "pistachioflow/policy/replay_measures.hpp"

#include <algorithm>

namespace pistachioflow::policy {

namespace {

std::int64_t largestShape(const CellState &State) {
  std::int64_t Largest = 1;
  for (const Home &GangHome : State.Homes)
    Largest = std::max<std::int64_t>(Largest, GangHome.Shape.accelerators());
  for (const auto &[Name, Workspace] : State.Index.Workspaces)
    for (const auto &[Shape, Queue] : Workspace.Queues)
      Largest =
          std::max(Largest, std::int64_t{Shape.Accelerators} * Shape.Tasks);
  return Largest;
}

} // namespace

void FragmentationMeasures::add(const CellState &State) {
  const std::int64_t Shape = largestShape(State);
  std::int64_t Free = 0;
  std::int64_t Largest = 0;
  std::int64_t Scattered = 0;
  for (const RackSlot &Rack : State.Index.Cap.Racks) {
    Free += Rack.FreeAccelerators;
    Largest = std::max(Largest, Rack.FreeAccelerators);
    if (Rack.FreeAccelerators < Shape)
      Scattered += Rack.FreeAccelerators;
  }
  if (Free == 0)
    return;
  this->LargestSum += static_cast<double>(Largest) / static_cast<double>(Free);
  this->FragmentedSum +=
      static_cast<double>(Scattered) / static_cast<double>(Free);
  ++this->Count;
}

double FragmentationMeasures::largestFreeShare() const {
  return this->Count ? this->LargestSum / static_cast<double>(this->Count) : 0;
}

double FragmentationMeasures::fragmented() const {
  return this->Count ? this->FragmentedSum / static_cast<double>(this->Count)
                     : 0;
}

} // namespace pistachioflow::policy
