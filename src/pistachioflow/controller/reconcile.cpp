#include "pistachioflow/controller/reconcile.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

bool active(JobPhase Phase) {
  return Phase == JobPhase::Starting || Phase == JobPhase::Running ||
         Phase == JobPhase::Stopping;
}

bool wanted(const policy::CellState &State, const WorkerId &Worker,
            const ReportedTasks &Tasks) {
  const auto Known = State.Jobs.find(Tasks.Job);
  if (Known == State.Jobs.end())
    return false;
  const policy::JobState &Job = Known->second;
  if (!active(Job.Phase) || Job.Try != Tasks.Try)
    return false;
  return std::any_of(
      Job.Placements.begin(), Job.Placements.end(),
      [&](const Placement &Share) { return Share.Worker == Worker; });
}

} // namespace

std::vector<UnwantedTasks> findUnwanted(const policy::CellState &State,
                                        const WorkerReport &Report) {
  std::vector<UnwantedTasks> Found;
  for (const ReportedTasks &Tasks : Report.Tasks) {
    if (wanted(State, Report.Worker, Tasks))
      continue;
    const bool Orphan =
        Tasks.Phase == TaskPhase::Running || Tasks.Phase == TaskPhase::Held;
    Found.push_back({Tasks, Orphan});
  }
  return Found;
}

} // namespace pistachioflow
