#include "pistachioflow/policy/stops.hpp"

#include "pistachioflow/policy/fault_limits.hpp"
#include "pistachioflow/policy/list_rules.hpp"
#include "pistachioflow/policy/reasons.hpp"

namespace pistachioflow::policy {

namespace {

Reason stopReason(const DecisionDraft &Draft, const JobState &Job,
                  ReasonCode Code, std::string PassedOver) {
  const Duration Unsaved = Draft.Now - Job.CheckpointAt;
  return reasonFor(
      Draft.State, Job.Spec.Workspace, Code,
      {{Measure::AcceleratorsUsed, Job.Spec.Shape.accelerators()},
       {Measure::CheckpointAgeMs, Unsaved.Ms},
       {Measure::Preemptions, static_cast<std::int64_t>(Job.Preemptions)},
       {Measure::DeadlineMs, Job.Reclaim.Deadline.Ms}},
      std::move(PassedOver));
}

void stopGang(DecisionDraft &Draft, const JobState &Job, AfterStop Then,
              JobId For, Reason Why) {
  Draft.decide(StopGang{Job.Spec.Job, Job.Try, Then, std::move(For)},
               std::move(Why));
  Draft.markBeingFreed(Job);
  Draft.DecidedJobs.insert(Job.Spec.Job);
}

/// Returns why the queued job has to end.
ReasonCode whyEnded(const DecisionDraft &Draft, const JobState &Job) {
  if (Job.CancelRequested)
    return ReasonCode::CancelledByCaller;
  if (canNeverRun(Job))
    return ReasonCode::FailedOnManyWorkers;
  return whyListsForbid(findWorkspace(Draft.Index, Job.Spec.Workspace),
                        Job.Spec);
}

JobPhase finalPhase(ReasonCode Code) {
  if (Code == ReasonCode::CancelledByCaller)
    return JobPhase::Cancelled;
  if (Code == ReasonCode::FailedOnManyWorkers)
    return JobPhase::Failed;
  return JobPhase::Refused;
}

void endQueued(DecisionDraft &Draft, const JobState &Job) {
  const ReasonCode Code = whyEnded(Draft, Job);
  const JobPhase Final = finalPhase(Code);
  Draft.decide(EndJob{Job.Spec.Job, Final},
               reasonFor(Draft.State, Job.Spec.Workspace, Code,
                         {{Measure::Attempts, Job.Try},
                          {Measure::WorkersTried,
                           static_cast<std::int64_t>(Job.FailedOn.size())},
                          {Measure::Failures,
                           static_cast<std::int64_t>(Job.FailedOn.size()) +
                               static_cast<std::int64_t>(Job.Refusals)}},
                         "keep it queued"));
  Draft.DecidedJobs.insert(Job.Spec.Job);
}

void throttle(DecisionDraft &Draft, const JobState &Job) {
  for (const WorkerId &Worker : Job.OverusedOn)
    for (const Placement &Place : Job.Placements) {
      if (Place.Worker != Worker)
        continue;
      const std::uint32_t Cores = Place.Tasks * Job.Spec.Shape.CoresPerTask;
      Draft.decide(ThrottleGang{Job.Spec.Job, Job.Try, Worker, Cores},
                   stopReason(Draft, Job, ReasonCode::ThrottledAboveDeclared,
                              "stop it"));
    }
}

void decideAction(DecisionDraft &Draft, const JobState &Job) {
  if (Job.Phase == JobPhase::Queued)
    endQueued(Draft, Job);
  else if (Job.CancelRequested)
    stopGang(
        Draft, Job, AfterStop::Cancel, {},
        stopReason(Draft, Job, ReasonCode::CancelledByCaller, "let it finish"));
  else if (Job.StopReason != ReasonCode::None)
    stopGang(Draft, Job, AfterStop::Requeue, {},
             stopReason(Draft, Job, Job.StopReason,
                        "go on with the tasks that are left"));
  else if (Job.Reclaim.CheckpointTaken)
    stopGang(Draft, Job, AfterStop::Requeue, Job.Reclaim.For,
             stopReason(Draft, Job, Job.Reclaim.Code, "wait for the deadline"));
  else
    throttle(Draft, Job);
}

} // namespace

void decideStops(DecisionDraft &Draft) {
  for (const JobId &Name : Draft.Index.ActionRequired) {
    ++Draft.Work.JobsExamined;
    decideAction(Draft, Draft.job(Name));
  }
  for (const TimedJob &Due : Draft.Index.Deadlines) {
    if (Due.At > Draft.Now)
      return;
    const JobState &Job = Draft.job(Due.Job);
    if (!Draft.DecidedJobs.contains(Due.Job))
      stopGang(Draft, Job, AfterStop::Requeue, Job.Reclaim.For,
               stopReason(Draft, Job, ReasonCode::ReclaimDeadlinePassed,
                          "wait for the checkpoint"));
  }
}

} // namespace pistachioflow::policy
