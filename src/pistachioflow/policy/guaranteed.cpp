#include "pistachioflow/policy/guaranteed.hpp"

#include <algorithm>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/free_capacity.hpp"
#include "pistachioflow/policy/home_use.hpp"
#include "pistachioflow/policy/queue_cursor.hpp"
#include "pistachioflow/policy/reasons.hpp"
#include "pistachioflow/policy/reclaim.hpp"

namespace pistachioflow::policy {

namespace {

/// Returns the idle capacity of the homes that the job may use.
FreeCapacity idleInHomes(DecisionDraft &Draft, const JobState &Job) {
  FreeCapacity Available(Draft.Cap.Slots.size());
  const auto &Homes = Draft.MovedHomes ? *Draft.MovedHomes : Draft.State.Homes;
  for (const Home &GangHome : Homes) {
    if (GangHome.Workspace != Job.Spec.Workspace ||
        !mayUseHome(Job.Spec.Shape, GangHome.Shape))
      continue;
    for (const Placement &Place : GangHome.Placements)
      if (const auto Slot = Draft.Index.SlotOf.find(Place.Worker);
          Slot != Draft.Index.SlotOf.end())
        Available[Slot->second] += perTask(GangHome.Shape) * Place.Tasks;
  }
  for (const HomePart &Part : Draft.use(Job.Spec.Workspace).Parts) {
    const bool Usable = Draft.Cap.Slots[Part.Slot].Usable;
    const Amount Idle = elementwiseMax(Part.Total - Part.Used, {});
    Available[Part.Slot] =
        Usable ? elementwiseMin(Available[Part.Slot], Idle) : Amount{};
  }
  excludeFailedWorkers(Draft, Job, Available);
  return Available;
}

/// Tells, without a search, whether the job may fit its workspace's homes.
bool mayFitHomes(DecisionDraft &Draft, const JobState &Job) {
  const GangShape &Shape = Job.Spec.Shape;
  std::int64_t Fit = 0;
  for (const HomePart &Part : Draft.use(Job.Spec.Workspace).Parts)
    Fit += tasksThatFit(Part.Total - Part.Used, perTask(Shape), Shape.Tasks);
  return Fit >= Shape.Tasks;
}

FreeCapacity onlyFree(const DecisionDraft &Draft, FreeCapacity Available) {
  for (SlotIndex Slot = 0; Slot < Available.size(); ++Slot)
    if (Available[Slot] != Amount{})
      Available[Slot] = elementwiseMin(Available[Slot], Draft.freeOn(Slot));
  return Available;
}

Reason placedReason(DecisionDraft &Draft, const JobState &Job) {
  const WorkspaceUsage &Use = Draft.use(Job.Spec.Workspace);
  std::int64_t Guaranteed = 0;
  for (const HomePart &Part : Use.Parts)
    Guaranteed += Part.Total.Accelerators;
  return reasonFor(Draft.State, Job.Spec.Workspace,
                   ReasonCode::PlacedInGuarantee,
                   {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                    {Measure::GuaranteedAccelerators, Guaranteed},
                    {Measure::AcceleratorsUsed, Use.Used},
                    {Measure::WaitedMs, (Draft.Now - Job.SubmittedAt).Ms}},
                   "borrow elsewhere");
}

/// Holds the capacity and the share of the guarantee for the waiting job.
void waitAt(DecisionDraft &Draft, const JobState &Job,
            std::span<const SlotShare> At) {
  WorkspaceUsage &Use = Draft.use(Job.Spec.Workspace);
  Use.Used += acceleratorsOf(Job);
  Draft.holdCapacity(Job.Spec.Shape, At);
  for (const SlotShare &Share : At)
    if (HomePart *Part = findPart(Use.Parts, Share.Slot))
      Part->Used += perTask(Job.Spec.Shape) * Share.Tasks;
  Draft.DecidedJobs.insert(Job.Spec.Job);
}

/// Returns an idle home of the job's own shape, or null.
Home *idleHome(DecisionDraft &Draft, const JobState &Job,
               std::vector<Home> &Homes) {
  const FreeCapacity Available = idleInHomes(Draft, Job);
  const Amount Task = perTask(Job.Spec.Shape);
  const auto IsIdle = [&](const Home &GangHome) {
    if (GangHome.Workspace != Job.Spec.Workspace ||
        GangHome.Shape != Job.Spec.Shape)
      return false;
    return std::ranges::all_of(
        GangHome.Placements, [&](const Placement &Place) {
          const auto Slot = Draft.Index.SlotOf.find(Place.Worker);
          return Slot != Draft.Index.SlotOf.end() &&
                 covers(Available[Slot->second], Task * Place.Tasks);
        });
  };
  const auto Found = std::ranges::find_if(Homes, IsIdle);
  return Found == Homes.end() ? nullptr : &*Found;
}

/// Returns the free capacity outside all homes.
FreeCapacity freeOutsideHomes(const DecisionDraft &Draft, const JobState &Job) {
  FreeCapacity Available = freeToBorrow(Draft, Job);
  for (SlotIndex Slot = 0; Slot < Available.size(); ++Slot) {
    const WorkerSlot &At = Draft.Cap.Slots[Slot];
    Available[Slot] = elementwiseMax(
        elementwiseMin(Available[Slot], At.Total - At.Homes), {});
  }
  return Available;
}

void changeHomes(DecisionDraft &Draft, const Home &GangHome,
                 std::int64_t Sign) {
  WorkspaceUsage &Use = Draft.use(GangHome.Workspace);
  for (const Placement &Place : GangHome.Placements) {
    const auto Slot = Draft.Index.SlotOf.find(Place.Worker);
    if (Slot == Draft.Index.SlotOf.end())
      continue;
    const Amount Share = perTask(GangHome.Shape) * (Place.Tasks * Sign);
    Draft.Cap.Slots[Slot->second].Homes += Share;
    if (HomePart *Part = findPart(Use.Parts, Slot->second))
      Part->Total += Share;
    else
      Use.Parts.push_back({Slot->second, Share, {}});
  }
}

/// Moves an idle home of the job's shape to free workers outside all homes.
/// The job starts there once the move is folded.
bool moveHome(DecisionDraft &Draft, const JobState &Job) {
  std::vector<Home> Homes =
      Draft.MovedHomes ? *Draft.MovedHomes : Draft.State.Homes;
  Home *Idle = idleHome(Draft, Job, Homes);
  if (!Idle)
    return false;
  const auto At =
      findTightPlacement(Draft, Job.Spec.Shape, freeOutsideHomes(Draft, Job));
  if (!At)
    return false;
  changeHomes(Draft, *Idle, -1);
  Idle->Placements = Draft.placements(*At);
  changeHomes(Draft, *Idle, 1);
  Draft.MovedHomes = std::move(Homes);
  waitAt(Draft, Job, *At);
  return true;
}

enum class Outcome { Taken, NoCapacity };

Outcome takeHome(DecisionDraft &Draft, const JobState &Job) {
  if (!mayFitHomes(Draft, Job))
    return Outcome::NoCapacity;
  const FreeCapacity Idle = idleInHomes(Draft, Job);
  const bool Under = Draft.underCeiling(Job);
  if (Under) {
    const auto Free =
        findTightPlacement(Draft, Job.Spec.Shape, onlyFree(Draft, Idle));
    if (Free) {
      Draft.start(Job, *Free, false, placedReason(Draft, Job));
      return Outcome::Taken;
    }
  }
  auto Place =
      placeWithReclaim(Draft, Job.Spec.Shape, Idle, ReclaimKind::Guarantee);
  if (!Place || !reclaimUnderCeiling(Draft, Job))
    return Outcome::NoCapacity;
  if (Under && moveHome(Draft, Job))
    return Outcome::Taken;
  if (!Under)
    Place =
        placeWithReclaim(Draft, Job.Spec.Shape, Idle, ReclaimKind::Guarantee);
  if (!Place)
    return Outcome::NoCapacity;
  reclaim(Draft, Job, Place->Leaving, ReasonCode::ReclaimedForGuarantee);
  waitAt(Draft, Job, Place->At);
  return Outcome::Taken;
}

void decideFor(DecisionDraft &Draft,
               const std::map<ShapeKey, JobQueue> &Queues) {
  QueueCursor Queue(Draft, Queues);
  while (const JobState *Job = Queue.next()) {
    ++Draft.Work.JobsExamined;
    if (takeHome(Draft, *Job) == Outcome::NoCapacity && Job->FailedOn.empty())
      Queue.skipShape();
  }
}

} // namespace

void decideGuaranteed(DecisionDraft &Draft) {
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces) {
    if (!Workspace.Limits || Workspace.Parts.empty())
      continue;
    decideFor(Draft, Workspace.UrgentQueues);
    decideFor(Draft, Workspace.Queues);
  }
  if (!Draft.MovedHomes)
    return;
  Draft.decide(AssignHomes{*Draft.MovedHomes},
               reasonForAll(Draft.State, ReasonCode::HomeMoved,
                            {{Measure::Homes, static_cast<std::int64_t>(
                                                  Draft.MovedHomes->size())}},
                            "reclaim the home from its borrowers"));
  for (const AtRisk &Missing : Draft.State.GuaranteesAtRisk)
    Draft.decide(
        ReportGuaranteeAtRisk{Missing.Workspace, Missing.Shape},
        reasonFor(Draft.State, Missing.Workspace, ReasonCode::GuaranteeAtRisk,
                  {{Measure::AcceleratorsAsked, Missing.Shape.accelerators()}},
                  "move a home that is in use"));
}

} // namespace pistachioflow::policy
