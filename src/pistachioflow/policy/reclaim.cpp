#include "pistachioflow/policy/reclaim.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/reasons.hpp"

namespace pistachioflow::policy {

namespace {

/// Gangs with at least this many preemptions are chosen last.
constexpr std::uint32_t ManyPreemptions = 2;

/// Time that a checkpoint and the restart from it cost each accelerator.
constexpr Duration CheckpointCost{30'000};

/// Maximum number of placements whose victims are evaluated.
constexpr std::size_t MaxPlacesWeighed = 32;

/// Weight of one missing accelerator, in missing cores.
constexpr std::int64_t LackingAcceleratorCost = 1'000;

using Shortage = std::map<SlotIndex, Amount>;

bool mayPreempt(const DecisionDraft &Draft, const JobState &Gang,
                ReclaimKind Kind) {
  if (!Gang.Borrowed || isStoppingOrReclaimed(Gang) ||
      Draft.DecidedJobs.contains(Gang.Spec.Job))
    return false;
  if (Kind == ReclaimKind::Guarantee)
    return true;
  if (Gang.Spec.Urgent)
    return false;
  return Kind == ReclaimKind::Urgent || Gang.Preemptions < ManyPreemptions;
}

Shortage shortageOf(const DecisionDraft &Draft, const GangShape &Shape,
                    std::span<const SlotShare> At) {
  Shortage Short;
  for (const SlotShare &Share : At) {
    const WorkerSlot &Slot = Draft.Cap.Slots[Share.Slot];
    const Amount There =
        Slot.Free + Slot.BeingFreed - Draft.HeldForReclaim[Share.Slot];
    const Amount Lacks =
        elementwiseMax(perTask(Shape) * Share.Tasks - There, {});
    if (Lacks != Amount{})
      Short[Share.Slot] = Lacks;
  }
  return Short;
}

/// A placement and how much capacity it lacks.
struct PlacementShortage {
  std::int64_t Lacks = 0;
  Shares At;
};

std::int64_t shortageCost(const DecisionDraft &Draft, const GangShape &Shape,
                          std::span<const SlotShare> At) {
  std::int64_t Sum = 0;
  for (const auto &[Slot, Lacks] : shortageOf(Draft, Shape, At))
    Sum += Lacks.Accelerators * LackingAcceleratorCost + Lacks.Cores;
  return Sum;
}

std::vector<const JobState *>
candidatesOn(DecisionDraft &Draft, const Shortage &Short, ReclaimKind Kind) {
  std::vector<const JobState *> Gangs;
  for (const auto &[Slot, Lacks] : Short)
    for (const JobState *Gang : Draft.Index.Gangs[Slot]) {
      ++Draft.Work.VictimsEvaluated;
      if (mayPreempt(Draft, *Gang, Kind))
        Gangs.push_back(Gang);
    }
  const auto Rank = [&Draft](const JobState *Gang) {
    return std::tuple(Gang->Preemptions >= ManyPreemptions, Gang->Spec.Urgent,
                      lostWork(*Gang, Draft.Now), Gang->Spec.Job);
  };
  std::ranges::sort(Gangs, {}, Rank);
  Gangs.erase(std::unique(Gangs.begin(), Gangs.end()), Gangs.end());
  return Gangs;
}

/// Adds \p Sign times the gang's use to \p Short. Returns whether it uses a
/// worker with a shortage.
bool count(const DecisionDraft &Draft, Shortage &Short, const JobState &Gang,
           std::int64_t Sign) {
  bool Concerned = false;
  for (const Placement &Place : Gang.Placements) {
    const auto Slot = Draft.Index.SlotOf.find(Place.Worker);
    if (Slot == Draft.Index.SlotOf.end() || !Short.contains(Slot->second))
      continue;
    Amount &Lacks = Short[Slot->second];
    Concerned = Concerned || Lacks != elementwiseMin(Lacks, {});
    Lacks += perTask(Gang.Spec.Shape) * (Place.Tasks * Sign);
  }
  return Concerned;
}

bool isMet(const Shortage &Short) {
  return std::ranges::all_of(
      Short, [](const auto &Lacks) { return covers({}, Lacks.second); });
}

bool isCheaper(const Victims &Left, const Victims &Right) {
  return std::tuple(Left.RepeatedlyPreempted, Left.LostWorkMs) <
         std::tuple(Right.RepeatedlyPreempted, Right.LostWorkMs);
}

/// Removes gangs that are not needed, most expensive first.
void prune(const DecisionDraft &Draft, Shortage &Short,
           std::vector<const JobState *> &Gangs) {
  for (std::size_t At = Gangs.size(); At-- > 0;) {
    count(Draft, Short, *Gangs[At], 1);
    if (isMet(Short))
      Gangs.erase(Gangs.begin() + static_cast<std::ptrdiff_t>(At));
    else
      count(Draft, Short, *Gangs[At], -1);
  }
}

Reason reclaimReason(const DecisionDraft &Draft, const JobState &For,
                     const JobState &Gang, ReasonCode Cause) {
  Reason Why = reasonFor(
      Draft.State, For.Spec.Workspace, Cause,
      {{Measure::AcceleratorsAsked, For.Spec.Shape.accelerators()},
       {Measure::WaitedMs, (Draft.Now - For.SubmittedAt).Ms},
       {Measure::LostWorkMs, lostWork(Gang, Draft.Now)},
       {Measure::Preemptions, static_cast<std::int64_t>(Gang.Preemptions)}},
      "wait until it ends");
  for (EntryRef &Entry : entriesOf(Draft.State, Gang.Spec.Workspace))
    if (std::ranges::find(Why.Entries, Entry) == Why.Entries.end())
      Why.Entries.push_back(std::move(Entry));
  return Why;
}

} // namespace

std::int64_t lostWork(const JobState &Gang, Instant Now) {
  const Duration Unsaved = Now - Gang.CheckpointAt;
  const bool Saves =
      Gang.Spec.Checkpointable && Gang.Phase == JobPhase::Running;
  const Duration Lost = Saves ? std::min(Unsaved, CheckpointCost) : Unsaved;
  return Lost.Ms * std::max<std::int64_t>(acceleratorsOf(Gang), 1);
}

std::optional<Victims> chooseVictims(DecisionDraft &Draft,
                                     const GangShape &Shape,
                                     std::span<const SlotShare> At,
                                     ReclaimKind Kind) {
  Shortage Short = shortageOf(Draft, Shape, At);
  Victims Chosen;
  for (const JobState *Gang : candidatesOn(Draft, Short, Kind)) {
    if (isMet(Short))
      break;
    Shortage After = Short;
    if (!count(Draft, After, *Gang, -1))
      continue;
    Short = std::move(After);
    Chosen.Gangs.push_back(Gang);
  }
  if (!isMet(Short))
    return std::nullopt;
  prune(Draft, Short, Chosen.Gangs);
  for (const JobState *Gang : Chosen.Gangs) {
    Chosen.LostWorkMs += lostWork(*Gang, Draft.Now);
    Chosen.RepeatedlyPreempted += Gang->Preemptions >= ManyPreemptions;
  }
  return Chosen;
}

std::optional<ReclaimPlacement>
placeWithReclaim(DecisionDraft &Draft, const GangShape &Shape,
                 std::span<const Amount> Available, ReclaimKind Kind) {
  std::vector<PlacementShortage> Places;
  const auto Collect = [&](std::span<const SlotShare> At) {
    Places.push_back({shortageCost(Draft, Shape, At), {At.begin(), At.end()}});
    return Places.back().Lacks;
  };
  findPlacement({Draft.Cap, Shape, Available}, Collect,
                Draft.Work.PlacementsEvaluated);
  std::ranges::stable_sort(Places, {}, &PlacementShortage::Lacks);
  if (Places.size() > MaxPlacesWeighed)
    Places.resize(MaxPlacesWeighed);
  std::optional<ReclaimPlacement> Best;
  for (PlacementShortage &Place : Places) {
    auto Chosen = chooseVictims(Draft, Shape, Place.At, Kind);
    if (!Chosen || (Best && !isCheaper(*Chosen, Best->Leaving)))
      continue;
    Best = ReclaimPlacement{std::move(Place.At), std::move(*Chosen)};
    if (Best->Leaving.Gangs.empty())
      break;
  }
  return Best;
}

void reclaim(DecisionDraft &Draft, const JobState &For, const Victims &Chosen,
             ReasonCode Cause) {
  const Duration Grace{Draft.Prefer.ReclaimDeadline.Ms / 2};
  for (const JobState *Gang : Chosen.Gangs) {
    Reason Why = reclaimReason(Draft, For, *Gang, Cause);
    const JobId &Name = Gang->Spec.Job;
    if (Gang->Spec.Checkpointable && Gang->Phase == JobPhase::Running)
      Draft.decide(CheckpointGang{Name, Gang->Try, Draft.Now + Grace,
                                  For.Spec.Job, Cause},
                   std::move(Why));
    else
      Draft.decide(StopGang{Name, Gang->Try, AfterStop::Requeue, For.Spec.Job},
                   std::move(Why));
    Draft.markBeingFreed(*Gang);
    Draft.DecidedJobs.insert(Name);
  }
}

bool reclaimUnderCeiling(DecisionDraft &Draft, const JobState &For) {
  const WorkspaceIndex *Workspace =
      findWorkspace(Draft.Index, For.Spec.Workspace);
  if (!Workspace || !Workspace->Limits)
    return false;
  WorkspaceUsage &Use = Draft.use(For.Spec.Workspace);
  std::int64_t Excess = Use.Used - Use.Leaving + acceleratorsOf(For) -
                        std::int64_t{Workspace->Limits->CeilingAccelerators};
  if (Excess <= 0)
    return true;
  std::vector<const JobState *> Gangs;
  for (const TimedJob &Due : Workspace->Active) {
    const JobState &Gang = Draft.job(Due.Job);
    if (mayPreempt(Draft, Gang, ReclaimKind::Guarantee))
      Gangs.push_back(&Gang);
  }
  const auto Cost = [&Draft](const JobState *Gang) {
    return std::tuple(lostWork(*Gang, Draft.Now), Gang->Spec.Job);
  };
  std::ranges::sort(Gangs, {}, Cost);
  Victims Chosen;
  for (const JobState *Gang : Gangs) {
    if (Excess <= 0)
      break;
    Excess -= acceleratorsOf(*Gang);
    Chosen.Gangs.push_back(Gang);
  }
  if (Excess > 0)
    return false;
  reclaim(Draft, For, Chosen, ReasonCode::ReclaimedForGuarantee);
  return true;
}

} // namespace pistachioflow::policy
