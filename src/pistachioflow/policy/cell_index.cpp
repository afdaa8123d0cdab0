#include "pistachioflow/policy/cell_index.hpp"

#include <algorithm>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/policy/fault_limits.hpp"
#include "pistachioflow/policy/list_rules.hpp"
#include "pistachioflow/policy/queue_order.hpp"

namespace pistachioflow::policy {

namespace {

/// Adds the use of an active gang (\p Sign 1) or removes it (-1).
void countUse(CellIndex &Index, WorkspaceIndex &Workspace, const JobState &Job,
              std::int64_t Sign) {
  const std::int64_t Accelerators = acceleratorsOf(Job) * Sign;
  Workspace.Used += Accelerators;
  if (Job.Borrowed)
    Workspace.Borrowed += Accelerators;
  if (isStoppingOrReclaimed(Job))
    Workspace.Leaving += Accelerators;
  for (const Placement &At : Job.Placements) {
    const auto Found = Index.SlotOf.find(At.Worker);
    if (Found == Index.SlotOf.end())
      continue;
    const SlotIndex Slot = Found->second;
    const Amount Use = perTask(Job.Spec.Shape) * (At.Tasks * Sign);
    Index.Cap.take(Slot, Use);
    if (isStoppingOrReclaimed(Job))
      Index.Cap.Slots[Slot].BeingFreed += Use;
    else if (isPreemptible(Job))
      Index.Cap.Slots[Slot].Preemptible += Use;
    if (Job.Borrowed)
      continue;
    Index.Cap.Slots[Slot].HomeUsed += Use;
    if (HomePart *Part = findPart(Workspace.Parts, Slot))
      Part->Used += Use;
  }
}

void listGang(CellIndex &Index, const JobState &Job) {
  for (const Placement &At : Job.Placements) {
    const auto Slot = Index.SlotOf.find(At.Worker);
    if (Slot != Index.SlotOf.end())
      Index.Gangs[Slot->second].push_back(&Job);
  }
}

void unlistGang(CellIndex &Index, const JobState &Job) {
  for (const Placement &At : Job.Placements) {
    const auto Slot = Index.SlotOf.find(At.Worker);
    if (Slot != Index.SlotOf.end())
      std::erase(Index.Gangs[Slot->second], &Job);
  }
}

/// Tells whether the job has to be stopped, ended or throttled.
bool needsAction(const CellIndex &Index, const JobState &Job) {
  if (hasEnded(Job) || Job.Phase == JobPhase::Stopping)
    return false;
  if (Job.CancelRequested || Job.StopReason != ReasonCode::None)
    return true;
  if (Job.Phase == JobPhase::Queued)
    return canNeverRun(Job) ||
           (Job.Admitted &&
            whyListsForbid(findWorkspace(Index, Job.Spec.Workspace),
                           Job.Spec) != ReasonCode::None);
  return Job.Reclaim.CheckpointTaken || !Job.OverusedOn.empty();
}

JobQueue &queueOf(WorkspaceIndex &Workspace, const JobState &Job) {
  const ShapeKey Shape = keyOf(Job.Spec.Shape);
  return Job.Spec.Urgent ? Workspace.UrgentQueues[Shape]
                         : Workspace.Queues[Shape];
}

void indexQueued(CellIndex &Index, const JobState &Job) {
  const JobId &Name = Job.Spec.Job;
  if (!Job.Admitted)
    Index.Unadmitted.insert({Job.SubmittedAt, Name});
  else if (Job.NotBefore > Index.Now)
    Index.Delayed.insert({Job.NotBefore, Name});
  else
    queueOf(Index.Workspaces[Job.Spec.Workspace], Job)
        .insert({queueOrder(Job), Name, &Job});
}

void unindexQueued(CellIndex &Index, const JobState &Job) {
  const JobId &Name = Job.Spec.Job;
  Index.Unadmitted.erase({Job.SubmittedAt, Name});
  Index.Delayed.erase({Job.NotBefore, Name});
  WorkspaceIndex &Workspace = Index.Workspaces[Job.Spec.Workspace];
  JobQueue &Queue = queueOf(Workspace, Job);
  Queue.erase({queueOrder(Job), Name, nullptr});
  if (!Queue.empty())
    return;
  const ShapeKey Shape = keyOf(Job.Spec.Shape);
  (Job.Spec.Urgent ? Workspace.UrgentQueues : Workspace.Queues).erase(Shape);
}

void indexActive(CellIndex &Index, const JobState &Job) {
  WorkspaceIndex &Workspace = Index.Workspaces[Job.Spec.Workspace];
  countUse(Index, Workspace, Job, 1);
  listGang(Index, Job);
  Workspace.Active.insert({Job.StartedAt, Job.Spec.Job});
  if (Job.Reclaim.For.empty())
    return;
  Index.VictimsOf[Job.Reclaim.For].insert(Job.Spec.Job);
  if (Job.Phase != JobPhase::Stopping)
    Index.Deadlines.insert({Job.Reclaim.Deadline, Job.Spec.Job});
}

void unindexActive(CellIndex &Index, const JobState &Job) {
  WorkspaceIndex &Workspace = Index.Workspaces[Job.Spec.Workspace];
  countUse(Index, Workspace, Job, -1);
  unlistGang(Index, Job);
  Workspace.Active.erase({Job.StartedAt, Job.Spec.Job});
  Index.Deadlines.erase({Job.Reclaim.Deadline, Job.Spec.Job});
  const auto Victims = Index.VictimsOf.find(Job.Reclaim.For);
  if (Victims == Index.VictimsOf.end())
    return;
  Victims->second.erase(Job.Spec.Job);
  if (Victims->second.empty())
    Index.VictimsOf.erase(Victims);
}

void indexLists(CellIndex &Index, const Lists &Configuration) {
  for (const PlanEntry &Plan : Configuration.Plans.Entries) {
    WorkspaceIndex &Workspace = Index.Workspaces[Plan.Workspace];
    Workspace.Plan = &Plan;
    for (const LimitsEntry &Limits : Configuration.Limits.Entries)
      if (Limits.Plan == Plan.Plan)
        Workspace.Limits = &Limits;
  }
}

} // namespace

ShapeKey keyOf(const GangShape &Shape) {
  return {Shape.AcceleratorsPerTask, Shape.Tasks, Shape.CoresPerTask,
          Shape.MemoryMbPerTask, Shape.RequiredAdjacency};
}

void indexJob(CellIndex &Index, const JobState &Job) {
  if (needsAction(Index, Job))
    Index.ActionRequired.insert(Job.Spec.Job);
  if (Job.Phase == JobPhase::Queued)
    indexQueued(Index, Job);
  else if (isActive(Job))
    indexActive(Index, Job);
  else
    Index.Ended.insert({Job.EndedAt, Job.Spec.Job});
}

void unindexJob(CellIndex &Index, const JobState &Job) {
  Index.ActionRequired.erase(Job.Spec.Job);
  if (Job.Phase == JobPhase::Queued)
    unindexQueued(Index, Job);
  else if (isActive(Job))
    unindexActive(Index, Job);
  else
    Index.Ended.erase({Job.EndedAt, Job.Spec.Job});
}

CellIndex buildIndex(const CellState &State) {
  CellIndex Index;
  Index.Built = true;
  Index.Now = State.ObservedAt;
  buildCapacity(Index, State);
  indexLists(Index, State.Configuration);
  indexHomes(Index, State);
  for (const auto &[Name, Job] : State.Jobs)
    indexJob(Index, Job);
  for (const auto &[Name, Worker] : State.Workers)
    if (!Worker.FailedJobs.empty() || Worker.Quarantined)
      Index.FailingWorkers.insert(Name);
  return Index;
}

const WorkspaceIndex *findWorkspace(const CellIndex &Index,
                                    const WorkspaceId &Workspace) {
  const auto Found = Index.Workspaces.find(Workspace);
  return Found == Index.Workspaces.end() ? nullptr : &Found->second;
}

} // namespace pistachioflow::policy
