#include "pistachioflow/policy/home_use.hpp"

#include <algorithm>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/job_edit.hpp"

namespace pistachioflow::policy {

namespace {

using HomeCapacity = std::map<WorkerId, Amount>;

HomeCapacity capacityOfHomes(const CellState &State,
                             const WorkspaceId &Workspace) {
  HomeCapacity Available;
  for (const Home &GangHome : State.Homes)
    if (GangHome.Workspace == Workspace)
      for (const Placement &Place : GangHome.Placements)
        Available[Place.Worker] += perTask(GangHome.Shape) * Place.Tasks;
  return Available;
}

bool takeCapacity(HomeCapacity &Available, const JobState &Job) {
  const Amount Task = perTask(Job.Spec.Shape);
  for (const Placement &Place : Job.Placements) {
    const auto Found = Available.find(Place.Worker);
    if (Found == Available.end() || !covers(Found->second, Task * Place.Tasks))
      return false;
  }
  for (const Placement &Place : Job.Placements)
    Available[Place.Worker] -= Task * Place.Tasks;
  return true;
}

/// Tells whether all workers of the gang are in homes that it may use.
bool isOnUsableHomes(const CellState &State, const JobState &Job) {
  return std::ranges::all_of(Job.Placements, [&](const Placement &Place) {
    return std::ranges::any_of(State.Homes, [&](const Home &GangHome) {
      return GangHome.Workspace == Job.Spec.Workspace &&
             mayUseHome(Job.Spec.Shape, GangHome.Shape) &&
             std::ranges::find(GangHome.Placements, Place.Worker,
                               &Placement::Worker) != GangHome.Placements.end();
    });
  });
}

void classifyWorkspace(CellState &State, const WorkspaceId &Workspace,
                       std::span<const JobId> Active) {
  HomeCapacity Available = capacityOfHomes(State, Workspace);
  for (const bool WasBorrowed : {false, true})
    for (const JobId &Name : Active) {
      JobState &Job = State.Jobs.at(Name);
      if (Job.Borrowed != WasBorrowed)
        continue;
      const bool Borrows =
          !isOnUsableHomes(State, Job) || !takeCapacity(Available, Job);
      if (Borrows == Job.Borrowed)
        continue;
      JobEdit Edit(State, Job);
      Edit->Borrowed = Borrows;
    }
}

} // namespace

bool mayUseHome(const GangShape &Shape, const GangShape &HomeShape) {
  return Shape.accelerators() * 2 >= HomeShape.accelerators();
}

bool fitsHome(const CellIndex &Index, const JobSpec &Spec,
              std::span<const Placement> Placements) {
  const WorkspaceIndex *Workspace = findWorkspace(Index, Spec.Workspace);
  if (!Workspace)
    return false;
  for (const Placement &Place : Placements) {
    const auto Slot = Index.SlotOf.find(Place.Worker);
    if (Slot == Index.SlotOf.end())
      return false;
    const auto Part =
        std::ranges::find(Workspace->Parts, Slot->second, &HomePart::Slot);
    if (Part == Workspace->Parts.end() ||
        !covers(Part->Total - Part->Used, perTask(Spec.Shape) * Place.Tasks))
      return false;
  }
  return true;
}

void classifyGangs(CellState &State) {
  std::map<WorkspaceId, std::vector<JobId>> Active;
  for (const auto &[Name, Workspace] : State.Index.Workspaces)
    for (const TimedJob &Due : Workspace.Active)
      Active[Name].push_back(Due.Job);
  for (const auto &[Name, Jobs] : Active)
    classifyWorkspace(State, Name, Jobs);
}

} // namespace pistachioflow::policy
