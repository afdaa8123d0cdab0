#include "pistachioflow/policy/plan.hpp"

#include "pistachioflow/policy/capacity.hpp"

namespace pistachioflow::policy {

Plan::Plan(const CellState &State, const CellIndex &Index,
           const Settings &Prefer, Instant Now, WorkCount &Work)
    : State(State), Index(Index), Prefer(Prefer), Now(Now), Work(Work),
      Cap(Index.Cap), Held(Index.Cap.Slots.size()) {}

const JobState &Plan::job(const JobId &Name) const {
  return this->State.Jobs.at(Name);
}

WorkspaceUse &Plan::use(const WorkspaceId &Workspace) {
  const auto [At, New] = this->Uses.try_emplace(Workspace);
  const WorkspaceIndex *Known = findWorkspace(this->Index, Workspace);
  if (New && Known)
    At->second = {Known->Used, Known->Borrowed, Known->Leaving, Known->Parts};
  return At->second;
}

void Plan::decide(Action What, Reason Why) {
  this->Made.push_back({std::move(What), std::move(Why)});
}

void Plan::start(const JobState &Job, std::span<const SlotShare> At,
                 bool Borrowed, Reason Why) {
  WorkspaceUse &Use = this->use(Job.Spec.Workspace);
  Use.Used += acceleratorsOf(Job);
  if (Borrowed)
    Use.Borrowed += acceleratorsOf(Job);
  for (const SlotShare &Share : At) {
    const Amount Taken = perTask(Job.Spec.Shape) * Share.Tasks;
    this->Cap.take(Share.Slot, Taken);
    if (Borrowed)
      continue;
    this->Cap.Slots[Share.Slot].HomeUsed += Taken;
    if (HomePart *Part = findPart(Use.Parts, Share.Slot))
      Part->Used += Taken;
  }
  this->Touched.insert(Job.Spec.Job);
  this->decide(
      StartGang{Job.Spec.Job, Job.Try + 1, this->placements(At), Borrowed},
      std::move(Why));
}

void Plan::markLeaving(const JobState &Job) {
  if (isLeaving(Job))
    return;
  this->use(Job.Spec.Workspace).Leaving += acceleratorsOf(Job);
  for (const Placement &Place : Job.Placements) {
    const auto Slot = this->Index.SlotOf.find(Place.Worker);
    if (Slot == this->Index.SlotOf.end())
      continue;
    const Amount Use = perTask(Job.Spec.Shape) * Place.Tasks;
    WorkerSlot &At = this->Cap.Slots[Slot->second];
    At.Coming += Use;
    if (isPreemptible(Job))
      At.Preemptible -= Use;
  }
}

void Plan::hold(const GangShape &Shape, std::span<const SlotShare> At) {
  for (const SlotShare &Share : At)
    this->Held[Share.Slot] += perTask(Shape) * Share.Tasks;
}

Amount Plan::freeOn(SlotIndex Slot) const {
  const WorkerSlot &At = this->Cap.Slots[Slot];
  if (!At.Usable)
    return {};
  return most(At.Free - this->Held[Slot], {});
}

std::optional<Shares> Plan::shares(std::span<const Placement> At) const {
  Shares Found;
  for (const Placement &Place : At) {
    const auto Slot = this->Index.SlotOf.find(Place.Worker);
    if (Slot == this->Index.SlotOf.end() ||
        !this->Cap.Slots[Slot->second].Usable)
      return std::nullopt;
    Found.push_back({Slot->second, Place.Tasks});
  }
  return Found;
}

std::vector<Placement> Plan::placements(std::span<const SlotShare> At) const {
  std::vector<Placement> List;
  List.reserve(At.size());
  for (const SlotShare &Share : At)
    List.push_back(
        {this->Index.WorkerOf[Share.Slot]->Info.Worker, Share.Tasks});
  return List;
}

bool Plan::underCeiling(const JobState &Job) {
  const WorkspaceIndex *Workspace =
      findWorkspace(this->Index, Job.Spec.Workspace);
  if (!Workspace || !Workspace->Limits)
    return false;
  return this->use(Job.Spec.Workspace).Used + acceleratorsOf(Job) <=
         Workspace->Limits->CeilingAccelerators;
}

} // namespace pistachioflow::policy
