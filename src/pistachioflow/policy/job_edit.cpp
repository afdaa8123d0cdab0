#include "pistachioflow/policy/job_edit.hpp"

#include <algorithm>
#include <vector>

namespace pistachioflow::policy {

namespace {

void leavePlacements(JobState &Job) {
  Job.Placements.clear();
  Job.Borrowed = false;
  Job.Reclaim = {};
  Job.StopReason = ReasonCode::None;
  Job.ThrottledOn.clear();
  Job.OverusedOn.clear();
}

} // namespace

void ensureIndex(CellState &State) {
  if (!State.Index.Built)
    State.Index = buildIndex(State);
}

JobState *findJob(CellState &State, const JobId &Job) {
  const auto Found = State.Jobs.find(Job);
  return Found == State.Jobs.end() ? nullptr : &Found->second;
}

void endJob(CellState &State, JobState &Job, JobPhase Final, Instant At) {
  {
    JobEdit Edit(State, Job);
    leavePlacements(Job);
    Edit->Phase = Final;
    Edit->EndedAt = At;
  }
  std::erase_if(State.Reservations, [&Job](const Reservation &Current) {
    return Current.Job == Job.Spec.Job;
  });
  cancelReclaims(State, Job.Spec.Job);
}

void requeueJob(CellState &State, JobState &Job, Instant NotBefore,
                Instant At) {
  JobEdit Edit(State, Job);
  leavePlacements(Job);
  Edit->Phase = JobPhase::Queued;
  Edit->Then = AfterStop::Requeue;
  Edit->NotBefore = NotBefore;
  Edit->QueuedAt = At;
}

void cancelReclaims(CellState &State, const JobId &Job) {
  const auto Found = State.Index.VictimsOf.find(Job);
  if (Found == State.Index.VictimsOf.end())
    return;
  const std::vector<JobId> Victims(Found->second.begin(), Found->second.end());
  for (const JobId &Name : Victims) {
    JobState &Victim = State.Jobs.at(Name);
    if (Victim.Phase == JobPhase::Stopping)
      continue;
    JobEdit Edit(State, Victim);
    Edit->Reclaim = {};
  }
}

} // namespace pistachioflow::policy
