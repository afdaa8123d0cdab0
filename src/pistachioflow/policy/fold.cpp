#include <algorithm>
#include <vector>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/fault_limits.hpp"
#include "pistachioflow/policy/job_edit.hpp"
#include "pistachioflow/policy/runtime_correction.hpp"

namespace pistachioflow::policy {

namespace {

constexpr Duration EndedJobRetention{24LL * 60 * 60 * 1'000};
constexpr std::size_t MaxEndedJobs = 4'096;
constexpr std::size_t MaxFailedJobs = 8;

/// Returns the job where \p Try is its current attempt and it holds workers.
JobState *findAttempt(CellState &State, const JobId &Name, Attempt Try) {
  JobState *Job = findJob(State, Name);
  return Job && Job->Try == Try && isActive(*Job) ? Job : nullptr;
}

template <typename Value>
void addOnce(std::vector<Value> &List, const Value &New) {
  if (std::ranges::find(List, New) == List.end())
    List.push_back(New);
}

/// Requeues or ends the job, as its stop requires.
void leaveWorkers(CellState &State, JobState &Job, Instant NotBefore,
                  Instant At) {
  if (Job.CancelRequested || Job.Then == AfterStop::Cancel)
    endJob(State, Job, JobPhase::Cancelled, At);
  else if (Job.Phase == JobPhase::Stopping && Job.Then == AfterStop::Fail)
    endJob(State, Job, JobPhase::Failed, At);
  else
    requeueJob(State, Job, NotBefore, At);
}

void blameWorker(CellState &State, const WorkerId &Name, const JobId &Job) {
  const auto Found = State.Workers.find(Name);
  if (Found == State.Workers.end())
    return;
  std::vector<JobId> &Failed = Found->second.FailedJobs;
  addOnce(Failed, Job);
  if (Failed.size() > MaxFailedJobs)
    Failed.erase(Failed.begin());
  State.Index.FailingWorkers.insert(Name);
}

void clearWorker(CellState &State, const WorkerId &Name) {
  const auto Found = State.Workers.find(Name);
  if (Found == State.Workers.end())
    return;
  Found->second.FailedJobs.clear();
  if (Found->second.Quarantined)
    return;
  Found->second.OnProbation = false;
  State.Index.FailingWorkers.erase(Name);
}

Duration retryDelay(std::size_t Tries) {
  constexpr std::size_t MaxDoublings = 6;
  const Duration Delay = RetryDelay * (1LL << std::min(Tries, MaxDoublings));
  return std::min(Delay, LongestRetryDelay);
}

void stopGangsOn(CellState &State, const WorkerId &Name) {
  const auto Slot = State.Index.SlotOf.find(Name);
  if (Slot == State.Index.SlotOf.end())
    return;
  const std::vector<const JobState *> Gangs = State.Index.Gangs[Slot->second];
  for (const JobState *Gang : Gangs) {
    JobEdit Edit(State, State.Jobs.at(Gang->Spec.Job));
    Edit->StopReason = ReasonCode::StoppedWorkerLost;
  }
}

// One overload for each event.

void fold(CellState &State, const ListsChanged &Fact, Instant) {
  State.Configuration = Fact.Now;
  State.HomesStale = true;
  State.Index = buildIndex(State);
}

void fold(CellState &State, const WorkerJoined &Fact, Instant) {
  WorkerState &Worker = State.Workers[Fact.Worker.Worker];
  if (Worker.Info == Fact.Worker && !Worker.Lost)
    return;
  Worker.Info = Fact.Worker;
  Worker.Lost = false;
  State.HomesStale = true;
  State.Index = {};
}

void fold(CellState &State, const WorkerLost &Fact, Instant) {
  const auto Found = State.Workers.find(Fact.Worker);
  if (Found == State.Workers.end() || Found->second.Lost)
    return;
  stopGangsOn(State, Fact.Worker);
  Found->second.Lost = true;
  State.HomesStale = true;
  State.Index = buildIndex(State);
}

bool sameSpec(const JobSpec &Left, const JobSpec &Right) {
  return Left.Workspace == Right.Workspace && Left.Shape == Right.Shape &&
         Left.DeclaredRuntime == Right.DeclaredRuntime &&
         Left.Urgent == Right.Urgent &&
         Left.Checkpointable == Right.Checkpointable;
}

void fold(CellState &State, const JobSubmitted &Fact, Instant At) {
  if (const JobState *Known = findJob(State, Fact.Spec.Job)) {
    if (!sameSpec(Known->Spec, Fact.Spec))
      addOnce(State.Duplicates, Fact.Spec.Job);
    return;
  }
  JobState &Job = State.Jobs[Fact.Spec.Job];
  Job.Spec = Fact.Spec;
  Job.SubmittedAt = At;
  Job.QueuedAt = At;
  Job.ExpectedRuntime = correctedRuntime(State, Fact.Spec);
  indexJob(State.Index, Job);
}

void fold(CellState &State, const JobCancelled &Fact, Instant) {
  JobState *Job = findJob(State, Fact.Job);
  if (!Job || hasEnded(*Job))
    return;
  {
    JobEdit Edit(State, *Job);
    Edit->CancelRequested = true;
    if (Edit->Phase == JobPhase::Stopping)
      Edit->Then = AfterStop::Cancel;
  }
  cancelReclaims(State, Fact.Job);
}

void fold(CellState &State, const GangStarted &Fact, Instant At) {
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (!Job || Job->Phase != JobPhase::Starting)
    return;
  JobEdit Edit(State, *Job);
  Edit->Phase = JobPhase::Running;
  Edit->StartedAt = At;
  Edit->CheckpointAt = At;
}

void fold(CellState &State, const GangRefused &Fact, Instant At) {
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (!Job || Job->Phase == JobPhase::Running)
    return;
  if (Job->Phase == JobPhase::Starting)
    ++Job->Refusals;
  leaveWorkers(State, *Job, At + retryDelay(Job->Refusals), At);
}

void fold(CellState &State, const GangFinished &Fact, Instant At) {
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (!Job)
    return;
  if (Job->Phase != JobPhase::Starting)
    updateRuntimeRatio(State, *Job,
                       Job->SavedProgress + (At - Job->CheckpointAt));
  for (const Placement &Place : Job->Placements)
    clearWorker(State, Place.Worker);
  endJob(State, *Job, JobPhase::Finished, At);
}

void fold(CellState &State, const GangFailed &Fact, Instant At) {
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (!Job)
    return;
  if (Job->Phase != JobPhase::Stopping) {
    addOnce(Job->FailedOn, Fact.Worker);
    blameWorker(State, Fact.Worker, Fact.Job);
  }
  leaveWorkers(State, *Job, At + retryDelay(Job->FailedOn.size()), At);
}

void fold(CellState &State, const GangStopped &Fact, Instant At) {
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (Job)
    leaveWorkers(State, *Job, At, At);
}

void fold(CellState &State, const CheckpointTaken &Fact, Instant At) {
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (!Job || Job->Phase != JobPhase::Running)
    return;
  JobEdit Edit(State, *Job);
  Edit->SavedProgress = Edit->SavedProgress + (At - Edit->CheckpointAt);
  Edit->CheckpointAt = At;
  if (!Edit->Reclaim.For.empty())
    Edit->Reclaim.CheckpointTaken = true;
}

void fold(CellState &State, const UsageReported &Fact, Instant) {
  constexpr std::uint64_t Tolerance = 125; // Percent of the declared cores.
  JobState *Job = findAttempt(State, Fact.Job, Fact.Try);
  if (!Job || Job->Phase != JobPhase::Running)
    return;
  const auto Place =
      std::ranges::find(Job->Placements, Fact.Worker, &Placement::Worker);
  if (Place == Job->Placements.end() ||
      std::ranges::find(Job->ThrottledOn, Fact.Worker) !=
          Job->ThrottledOn.end())
    return;
  const std::uint64_t Declared =
      std::uint64_t{Place->Tasks} * Job->Spec.Shape.CoresPerTask;
  if (std::uint64_t{Fact.CoresUsed} * 100 <= Declared * Tolerance)
    return;
  JobEdit Edit(State, *Job);
  addOnce(Edit->OverusedOn, Fact.Worker);
}

void fold(CellState &, const TimePassed &, Instant) {}

void requeueDelayed(CellState &State, Instant At) {
  CellIndex &Index = State.Index;
  Index.Now = State.ObservedAt;
  while (!Index.Delayed.empty() && Index.Delayed.begin()->At <= At) {
    JobState &Job = State.Jobs.at(Index.Delayed.begin()->Job);
    JobEdit Edit(State, Job);
  }
}

void removeExpiredJobs(CellState &State, Instant At) {
  CellIndex &Index = State.Index;
  while (!Index.Ended.empty()) {
    const TimedJob Oldest = *Index.Ended.begin();
    const bool Old = Oldest.At + EndedJobRetention < At;
    if (!Old && Index.Ended.size() <= MaxEndedJobs)
      return;
    Index.Ended.erase(Index.Ended.begin());
    State.Jobs.erase(Oldest.Job);
  }
}

} // namespace

void observe(CellState &State, const Event &Fact, Instant At) {
  if (!std::holds_alternative<WorkerJoined>(Fact))
    ensureIndex(State);
  State.ObservedAt = std::max(State.ObservedAt, At);
  if (State.Index.Built) {
    requeueDelayed(State, State.ObservedAt);
    removeExpiredJobs(State, State.ObservedAt);
  }
  std::visit([&](const auto &What) { fold(State, What, At); }, Fact);
}

} // namespace pistachioflow::policy
