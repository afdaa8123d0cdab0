#include "pistachioflow/policy/capacity.hpp"

#include <algorithm>
#include <tuple>

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

namespace {

bool placedBefore(const WorkerState *Left, const WorkerState *Right) {
  const WorkerInfo &A = Left->Info;
  const WorkerInfo &B = Right->Info;
  return std::tie(A.Domain, A.RackPosition, A.Rack, A.Worker) <
         std::tie(B.Domain, B.RackPosition, B.Rack, B.Worker);
}

/// Adds a rack, and a domain, if \p Worker is the first in it.
void openRack(Capacity &Cap, const WorkerInfo *Before, const WorkerInfo &Worker,
              SlotIndex Slot) {
  const bool NewDomain = !Before || Before->Domain != Worker.Domain;
  const bool NewRack = NewDomain || Before->Rack != Worker.Rack;
  const auto Racks = static_cast<std::uint32_t>(Cap.Racks.size());
  if (NewDomain)
    Cap.Domains.push_back({Racks, Racks});
  if (!NewRack)
    return;
  const auto Domain = static_cast<std::uint32_t>(Cap.Domains.size() - 1);
  Cap.Racks.push_back({Slot, Slot, Domain, Worker.RackPosition, 0});
  Cap.Domains.back().Last = Racks + 1;
}

void addHome(CellIndex &Index, const Home &GangHome) {
  std::vector<HomePart> &Parts = Index.Workspaces[GangHome.Workspace].Parts;
  for (const Placement &At : GangHome.Placements) {
    const auto Slot = Index.SlotOf.find(At.Worker);
    if (Slot == Index.SlotOf.end())
      continue;
    const Amount Share = perTask(GangHome.Shape) * At.Tasks;
    Index.Cap.Slots[Slot->second].Homes += Share;
    if (HomePart *Part = findPart(Parts, Slot->second))
      Part->Total += Share;
    else
      Parts.push_back({Slot->second, Share, {}});
  }
  std::ranges::sort(Parts, {}, &HomePart::Slot);
}

void countHomeUse(CellIndex &Index, const JobState &Job) {
  if (Job.Borrowed)
    return;
  std::vector<HomePart> &Parts = Index.Workspaces[Job.Spec.Workspace].Parts;
  for (const Placement &At : Job.Placements) {
    const auto Slot = Index.SlotOf.find(At.Worker);
    if (Slot == Index.SlotOf.end())
      continue;
    const Amount Use = perTask(Job.Spec.Shape) * At.Tasks;
    Index.Cap.Slots[Slot->second].HomeUsed += Use;
    if (HomePart *Part = findPart(Parts, Slot->second))
      Part->Used += Use;
  }
}

} // namespace

void Capacity::take(SlotIndex Slot, const Amount &Use) {
  WorkerSlot &At = this->Slots[Slot];
  At.Free -= Use;
  if (At.Usable)
    this->Racks[At.Rack].FreeAccelerators -= Use.Accelerators;
}

void buildCapacity(CellIndex &Index, const CellState &State) {
  std::vector<const WorkerState *> Order;
  Order.reserve(State.Workers.size());
  for (const auto &[Name, Worker] : State.Workers)
    Order.push_back(&Worker);
  std::ranges::sort(Order, placedBefore);
  const WorkerInfo *Before = nullptr;
  for (const WorkerState *Worker : Order) {
    const auto Slot = static_cast<SlotIndex>(Index.Cap.Slots.size());
    openRack(Index.Cap, Before, Worker->Info, Slot);
    Before = &Worker->Info;
    RackSlot &Rack = Index.Cap.Racks.back();
    Rack.Last = Slot + 1;
    const Amount Total = totalOf(Worker->Info);
    const auto RackIndex =
        static_cast<std::uint32_t>(Index.Cap.Racks.size() - 1);
    const bool Usable = isUsable(*Worker);
    Index.Cap.Slots.push_back(
        {Total, Total, {}, {}, {}, {}, RackIndex, Usable});
    if (Usable)
      Rack.FreeAccelerators += Total.Accelerators;
    Index.SlotOf.emplace(Worker->Info.Worker, Slot);
  }
  Index.WorkerOf = std::move(Order);
  Index.Gangs.resize(Index.WorkerOf.size());
}

void indexHomes(CellIndex &Index, const CellState &State) {
  for (WorkerSlot &Slot : Index.Cap.Slots) {
    Slot.Homes = {};
    Slot.HomeUsed = {};
  }
  for (auto &[Name, Workspace] : Index.Workspaces)
    Workspace.Parts.clear();
  for (const Home &GangHome : State.Homes)
    addHome(Index, GangHome);
  for (auto &[Name, Workspace] : Index.Workspaces)
    for (const TimedJob &Due : Workspace.Active)
      countHomeUse(Index, State.Jobs.at(Due.Job));
}

HomePart *findPart(std::vector<HomePart> &Parts, SlotIndex Slot) {
  for (HomePart &Part : Parts)
    if (Part.Slot == Slot)
      return &Part;
  return nullptr;
}

std::int64_t acceleratorsOf(const JobState &Job) {
  return Job.Spec.Shape.accelerators();
}

bool isStoppingOrReclaimed(const JobState &Job) {
  return Job.Phase == JobPhase::Stopping || !Job.Reclaim.For.empty();
}

bool isPreemptible(const JobState &Job) {
  return Job.Borrowed && !Job.Spec.Urgent && !isStoppingOrReclaimed(Job);
}

} // namespace pistachioflow::policy
