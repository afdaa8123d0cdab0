#include <algorithm>
#include <limits>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

bool mayHost(const PlacementWorker &Worker, const WaitingUnit &Unit) {
  if (!Worker.Usable || Worker.Service != Unit.Service)
    return false;
  const bool Distrusted =
      Worker.Suspended ||
      (Worker.OnProbation && (Unit.LastAttempt || Unit.TaskCount > 1));
  if (Distrusted && !Unit.AcceptsSuspended)
    return false;
  const std::string &Label = Unit.Step->RequiredLabel;
  return Label.empty() ||
         std::ranges::find(Worker.Labels, Label) != Worker.Labels.end();
}

std::int64_t fittingTasks(const Resources &Available,
                          const Resources &PerTask) {
  std::int64_t Tasks = UnlimitedTasks;
  const auto Limit = [&Tasks](std::int64_t Amount, std::int64_t Need) {
    if (Need > 0)
      Tasks = std::min(Tasks, std::max<std::int64_t>(Amount, 0) / Need);
  };
  Limit(Available.MilliCores, PerTask.MilliCores);
  Limit(Available.MemoryMb, PerTask.MemoryMb);
  Limit(Available.Accelerators, PerTask.Accelerators);
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
