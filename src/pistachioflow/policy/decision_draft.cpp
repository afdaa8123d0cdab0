#include "pistachioflow/policy/decision_draft.hpp"

#include "pistachioflow/policy/capacity.hpp"

namespace pistachioflow::policy {

DecisionDraft::DecisionDraft(const CellState &State, const CellIndex &Index,
                             const Settings &Prefer, Instant Now,
                             WorkCount &Work)
    : State(State), Index(Index), Prefer(Prefer), Now(Now), Work(Work),
      Cap(Index.Cap), HeldForReclaim(Index.Cap.Slots.size()) {}

const JobState &DecisionDraft::job(const JobId &Name) const {
  return this->State.Jobs.at(Name);
}

WorkspaceUsage &DecisionDraft::use(const WorkspaceId &Workspace) {
  const auto [At, New] = this->Uses.try_emplace(Workspace);
  const WorkspaceIndex *Known = findWorkspace(this->Index, Workspace);
  if (New && Known)
    At->second = {Known->Used, Known->Borrowed, Known->Leaving, Known->Parts};
  return At->second;
}

void DecisionDraft::decide(Action What, Reason Why) {
  this->Decisions.push_back({std::move(What), std::move(Why)});
}

void DecisionDraft::start(const JobState &Job, std::span<const SlotShare> At,
                          bool Borrowed, Reason Why) {
  WorkspaceUsage &Use = this->use(Job.Spec.Workspace);
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
  this->DecidedJobs.insert(Job.Spec.Job);
  this->decide(
      StartGang{Job.Spec.Job, Job.Try + 1, this->placements(At), Borrowed},
      std::move(Why));
}

void DecisionDraft::markBeingFreed(const JobState &Job) {
  if (isStoppingOrReclaimed(Job))
    return;
  this->use(Job.Spec.Workspace).Leaving += acceleratorsOf(Job);
  for (const Placement &Place : Job.Placements) {
    const auto Slot = this->Index.SlotOf.find(Place.Worker);
    if (Slot == this->Index.SlotOf.end())
      continue;
    const Amount Use = perTask(Job.Spec.Shape) * Place.Tasks;
    WorkerSlot &At = this->Cap.Slots[Slot->second];
    At.BeingFreed += Use;
    if (isPreemptible(Job))
      At.Preemptible -= Use;
  }
}

void DecisionDraft::holdCapacity(const GangShape &Shape,
                                 std::span<const SlotShare> At) {
  for (const SlotShare &Share : At)
    this->HeldForReclaim[Share.Slot] += perTask(Shape) * Share.Tasks;
}

Amount DecisionDraft::freeOn(SlotIndex Slot) const {
  const WorkerSlot &At = this->Cap.Slots[Slot];
  if (!At.Usable)
    return {};
  return elementwiseMax(At.Free - this->HeldForReclaim[Slot], {});
}

std::optional<Shares>
DecisionDraft::shares(std::span<const Placement> At) const {
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

std::vector<Placement>
DecisionDraft::placements(std::span<const SlotShare> At) const {
  std::vector<Placement> List;
  List.reserve(At.size());
  for (const SlotShare &Share : At)
    List.push_back(
        {this->Index.WorkerOf[Share.Slot]->Info.Worker, Share.Tasks});
  return List;
}

bool DecisionDraft::underCeiling(const JobState &Job) {
  const WorkspaceIndex *Workspace =
      findWorkspace(this->Index, Job.Spec.Workspace);
  if (!Workspace || !Workspace->Limits)
    return false;
  return this->use(Job.Spec.Workspace).Used + acceleratorsOf(Job) <=
         Workspace->Limits->CeilingAccelerators;
}

} // namespace pistachioflow::policy
