#include "pistachioflow/policy/urgent.hpp"

#include <algorithm>
#include <vector>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/free_capacity.hpp"
#include "pistachioflow/policy/queue_cursor.hpp"
#include "pistachioflow/policy/reasons.hpp"
#include "pistachioflow/policy/reclaim.hpp"

namespace pistachioflow::policy {

namespace {

/// Bounds the urgent jobs of one workspace that one call looks at.
constexpr std::size_t MaxUrgentJobs = 64;

std::vector<const JobState *> urgentJobs(const DecisionDraft &Draft) {
  std::vector<const JobState *> Jobs;
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces) {
    if (!Workspace.Limits || Workspace.UrgentQueues.empty())
      continue;
    QueueCursor Queue(Draft, Workspace.UrgentQueues);
    for (std::size_t Count = 0; Count < MaxUrgentJobs; ++Count)
      if (const JobState *Job = Queue.next())
        Jobs.push_back(Job);
  }
  std::ranges::stable_sort(Jobs, {}, &JobState::SubmittedAt);
  return Jobs;
}

void startUrgent(DecisionDraft &Draft, const JobState &Job, const Shares &At) {
  Draft.start(
      Job, At, true,
      reasonFor(Draft.State, Job.Spec.Workspace, ReasonCode::PlacedUrgent,
                {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                 {Measure::WaitedMs, (Draft.Now - Job.SubmittedAt).Ms}},
                "wait for its turn"));
}

/// Returns what is free once all borrowers that are not urgent have left.
FreeCapacity freeAfterReclaim(const DecisionDraft &Draft, const JobState &Job) {
  FreeCapacity Available;
  Available.reserve(Draft.Cap.Slots.size());
  for (SlotIndex At = 0; At < Draft.Cap.Slots.size(); ++At) {
    const WorkerSlot &Slot = Draft.Cap.Slots[At];
    const Amount There = Slot.Free + Slot.BeingFreed + Slot.Preemptible -
                         Draft.HeldForReclaim[At];
    Available.push_back(Slot.Usable ? elementwiseMax(There, {}) : Amount{});
  }
  excludeFailedWorkers(Draft, Job, Available);
  return Available;
}

void decideOne(DecisionDraft &Draft, const JobState &Job) {
  if (!Draft.underCeiling(Job))
    return;
  const auto Free = findTightPlacement(Draft, Job.Spec.Shape,
                                       freeWithReservations(Draft, Job));
  if (Free)
    return startUrgent(Draft, Job, *Free);
  const auto Place = placeWithReclaim(
      Draft, Job.Spec.Shape, freeAfterReclaim(Draft, Job), ReclaimKind::Urgent);
  if (!Place)
    return;
  reclaim(Draft, Job, Place->Leaving, ReasonCode::ReclaimedForUrgent);
  Draft.use(Job.Spec.Workspace).Used += acceleratorsOf(Job);
  Draft.holdCapacity(Job.Spec.Shape, Place->At);
  Draft.DecidedJobs.insert(Job.Spec.Job);
}

} // namespace

void decideUrgent(DecisionDraft &Draft) {
  for (const JobState *Job : urgentJobs(Draft)) {
    ++Draft.Work.JobsExamined;
    decideOne(Draft, *Job);
  }
}

} // namespace pistachioflow::policy
