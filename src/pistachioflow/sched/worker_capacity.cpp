#include <algorithm>
#include <limits>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

bool mayHost(const PlacementWorker &Room, const WaitingUnit &Unit) {
  if (!Room.Usable || Room.Service != Unit.Service)
    return false;
  if (Room.OnProbation && (Unit.LastAttempt || Unit.TaskCount > 1))
    return false;
  const std::string &Label = Unit.Step->RequiredLabel;
  return Label.empty() ||
         std::ranges::find(Room.Labels, Label) != Room.Labels.end();
}

std::int64_t fittingTasks(const Resources &Room, const Resources &Each) {
  std::int64_t Tasks = UnlimitedTasks;
  const auto Bound = [&Tasks](std::int64_t Have, std::int64_t Need) {
    if (Need > 0)
      Tasks = std::min(Tasks, std::max<std::int64_t>(Have, 0) / Need);
  };
  Bound(Room.MilliCores, Each.MilliCores);
  Bound(Room.MemoryMb, Each.MemoryMb);
  Bound(Room.Accelerators, Each.Accelerators);
  return Tasks;
}

Resources operator+(Resources Left, const Resources &Right) {
  Left.MilliCores += Right.MilliCores;
  Left.MemoryMb += Right.MemoryMb;
  Left.Accelerators += Right.Accelerators;
  return Left;
}

Resources operator-(Resources Left, const Resources &Right) {
  Left.MilliCores -= Right.MilliCores;
  Left.MemoryMb -= Right.MemoryMb;
  Left.Accelerators -= Right.Accelerators;
  return Left;
}

} // namespace pistachioflow
