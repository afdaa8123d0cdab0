#include "pistachioflow/policy/home_use.hpp"

#include <algorithm>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/job_edit.hpp"

namespace pistachioflow::policy {

namespace {

using HomeCapacity = std::map<WorkerId, Amount>;

HomeCapacity capacityOfHomes(const CellState &State,
                             const WorkspaceId &Workspace) {
  HomeCapacity Room;
  for (const Home &Of : State.Homes)
    if (Of.Workspace == Workspace)
      for (const Placement &Place : Of.Placements)
        Room[Place.Worker] += perTask(Of.Shape) * Place.Tasks;
  return Room;
}

bool takeCapacity(HomeCapacity &Room, const JobState &Job) {
  const Amount Task = perTask(Job.Spec.Shape);
  for (const Placement &Place : Job.Placements) {
    const auto Found = Room.find(Place.Worker);
    if (Found == Room.end() || !covers(Found->second, Task * Place.Tasks))
      return false;
  }
  for (const Placement &Place : Job.Placements)
    Room[Place.Worker] -= Task * Place.Tasks;
  return true;
}

/// Tells whether all workers of the gang are in homes that it may use.
bool isOnUsableHomes(const CellState &State, const JobState &Job) {
  return std::ranges::all_of(Job.Placements, [&](const Placement &Place) {
    return std::ranges::any_of(State.Homes, [&](const Home &Of) {
      return Of.Workspace == Job.Spec.Workspace &&
             mayUseHome(Job.Spec.Shape, Of.Shape) &&
             std::ranges::find(Of.Placements, Place.Worker,
                               &Placement::Worker) != Of.Placements.end();
    });
  });
}

void classifyWorkspace(CellState &State, const WorkspaceId &Workspace,
                       std::span<const JobId> Active) {
  HomeCapacity Room = capacityOfHomes(State, Workspace);
  for (const bool WasBorrowed : {false, true})
    for (const JobId &Name : Active) {
      JobState &Job = State.Jobs.at(Name);
      if (Job.Borrowed != WasBorrowed)
        continue;
      const bool Borrows =
          !isOnUsableHomes(State, Job) || !takeCapacity(Room, Job);
      if (Borrows == Job.Borrowed)
        continue;
      JobEdit Edit(State, Job);
      Edit->Borrowed = Borrows;
    }
}

} // namespace

bool mayUseHome(const GangShape &Shape, const GangShape &Of) {
  return Shape.accelerators() * 2 >= Of.accelerators();
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
