#include <algorithm>
#include <map>
#include <vector>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/home_use.hpp"
#include "pistachioflow/policy/job_edit.hpp"

namespace pistachioflow::policy {

namespace {

bool hasCapacity(const CellState &State, const JobState &Job,
                 const StartGang &Start) {
  const CellIndex &Index = State.Index;
  const Amount Task = perTask(Job.Spec.Shape);
  std::uint32_t Tasks = 0;
  for (const Placement &Place : Start.Placements) {
    const auto Slot = Index.SlotOf.find(Place.Worker);
    if (Slot == Index.SlotOf.end() || !Index.Cap.Slots[Slot->second].Usable)
      return false;
    if (!covers(Index.Cap.Slots[Slot->second].Free, Task * Place.Tasks))
      return false;
    Tasks += Place.Tasks;
  }
  return Tasks == Job.Spec.Shape.Tasks;
}

bool underCeiling(const CellState &State, const JobState &Job) {
  const WorkspaceIndex *Workspace =
      findWorkspace(State.Index, Job.Spec.Workspace);
  return Workspace && Workspace->Limits &&
         Workspace->Used + acceleratorsOf(Job) <=
             Workspace->Limits->CeilingAccelerators;
}

// One overload for each action.

bool fold(CellState &State, const AdmitJob &What, Instant) {
  JobState *Job = findJob(State, What.Job);
  if (!Job || Job->Phase != JobPhase::Queued || Job->Admitted)
    return false;
  JobEdit Edit(State, *Job);
  Edit->Admitted = true;
  return true;
}

bool fold(CellState &State, const RefuseJob &What, Instant At) {
  const auto Duplicate = std::ranges::find(State.Duplicates, What.Job);
  if (Duplicate != State.Duplicates.end()) {
    State.Duplicates.erase(Duplicate);
    return true;
  }
  JobState *Job = findJob(State, What.Job);
  if (!Job || Job->Phase != JobPhase::Queued || Job->Admitted)
    return false;
  endJob(State, *Job, JobPhase::Refused, At);
  return true;
}

bool fold(CellState &State, const StartGang &What, Instant At) {
  JobState *Job = findJob(State, What.Job);
  if (!Job || Job->Phase != JobPhase::Queued || !Job->Admitted ||
      Job->CancelRequested || What.Try != Job->Try + 1)
    return false;
  if (!hasCapacity(State, *Job, What) || !underCeiling(State, *Job))
    return false;
  if (!What.Borrowed && !fitsHome(State.Index, Job->Spec, What.Placements))
    return false;
  {
    JobEdit Edit(State, *Job);
    Edit->Phase = JobPhase::Starting;
    Edit->Try = What.Try;
    Edit->Placements = What.Placements;
    Edit->Borrowed = What.Borrowed;
    Edit->StartedAt = At;
    Edit->CheckpointAt = At;
  }
  std::erase_if(State.Reservations, [&What](const Reservation &Current) {
    return Current.Job == What.Job;
  });
  cancelReclaims(State, What.Job);
  return true;
}

/// Returns the job where the order fits its current attempt.
JobState *findStoppable(CellState &State, const JobId &Name, Attempt Try) {
  JobState *Job = findJob(State, Name);
  const bool Fits = Job && Job->Try == Try && isActive(*Job) &&
                    Job->Phase != JobPhase::Stopping;
  return Fits ? Job : nullptr;
}

bool fold(CellState &State, const CheckpointGang &What, Instant) {
  JobState *Job = findStoppable(State, What.Job, What.Try);
  if (!Job || !Job->Reclaim.For.empty())
    return false;
  JobEdit Edit(State, *Job);
  Edit->Reclaim = {What.Beneficiary, What.Cause, What.Deadline, false};
  return true;
}

bool fold(CellState &State, const StopGang &What, Instant) {
  JobState *Job = findStoppable(State, What.Job, What.Try);
  if (!Job)
    return false;
  JobEdit Edit(State, *Job);
  Edit->Phase = JobPhase::Stopping;
  Edit->Then = What.FollowUp;
  if (!What.Beneficiary.empty()) {
    ++Edit->Preemptions;
    Edit->Reclaim.For = What.Beneficiary;
  }
  return true;
}

bool fold(CellState &State, const ThrottleGang &What, Instant) {
  JobState *Job = findStoppable(State, What.Job, What.Try);
  if (!Job)
    return false;
  JobEdit Edit(State, *Job);
  if (std::erase(Edit->OverusedOn, What.Worker) == 0)
    return false;
  Edit->ThrottledOn.push_back(What.Worker);
  return true;
}

bool fold(CellState &State, const EndJob &What, Instant At) {
  JobState *Job = findJob(State, What.Job);
  if (!Job || Job->Phase != JobPhase::Queued)
    return false;
  endJob(State, *Job, What.FinalPhase, At);
  return true;
}

bool fold(CellState &State, const ReserveCapacity &What, Instant At) {
  const JobState *Job = findJob(State, What.Job);
  if (!Job || Job->Phase != JobPhase::Queued)
    return false;
  const auto Current =
      std::ranges::find(State.Reservations, What.Job, &Reservation::Job);
  if (What.Placements.empty() && Current == State.Reservations.end())
    return false;
  if (What.Placements.empty())
    State.Reservations.erase(Current);
  else if (Current == State.Reservations.end())
    State.Reservations.push_back(
        {What.Job, What.Placements, What.ExpectedStart, At});
  else
    *Current = {What.Job, What.Placements, What.ExpectedStart,
                Current->CreatedAt};
  return true;
}

/// Makes the worker's capacity usable or not, as its state says.
void refreshUsable(CellState &State, const WorkerState &Worker) {
  const SlotIndex Name = State.Index.SlotOf.at(Worker.Info.Worker);
  WorkerSlot &Slot = State.Index.Cap.Slots[Name];
  if (Slot.Usable == isUsable(Worker))
    return;
  Slot.Usable = !Slot.Usable;
  const std::int64_t Sign = Slot.Usable ? 1 : -1;
  State.Index.Cap.Racks[Slot.Rack].FreeAccelerators +=
      Sign * Slot.Free.Accelerators;
}

/// The failures on a faulty worker do not count against the jobs.
void clearJobFailures(CellState &State, const WorkerState &Worker) {
  for (const JobId &Name : Worker.FailedJobs) {
    JobState *Job = findJob(State, Name);
    if (!Job || hasEnded(*Job))
      continue;
    JobEdit Edit(State, *Job);
    std::erase(Edit->FailedOn, Worker.Info.Worker);
  }
}

bool fold(CellState &State, const QuarantineWorker &What, Instant) {
  const auto Found = State.Workers.find(What.Worker);
  if (Found == State.Workers.end() || Found->second.Quarantined)
    return false;
  WorkerState &Worker = Found->second;
  Worker.Quarantined = true;
  Worker.QuarantinedUntil = What.Until;
  Worker.OnProbation = false;
  ++Worker.Quarantines;
  clearJobFailures(State, Worker);
  Worker.FailedJobs.clear();
  refreshUsable(State, Worker);
  State.Index.FailingWorkers.insert(What.Worker);
  State.HomesStale = true;
  return true;
}

bool fold(CellState &State, const ReleaseWorker &What, Instant) {
  const auto Found = State.Workers.find(What.Worker);
  if (Found == State.Workers.end() || !Found->second.Quarantined)
    return false;
  WorkerState &Worker = Found->second;
  Worker.Quarantined = false;
  Worker.OnProbation = true;
  refreshUsable(State, Worker);
  State.Index.FailingWorkers.erase(What.Worker);
  State.HomesStale = true;
  return true;
}

bool fold(CellState &State, const AssignHomes &What, Instant) {
  State.Homes = What.Homes;
  State.HomesStale = false;
  State.GuaranteesAtRisk.clear();
  classifyGangs(State);
  indexHomes(State.Index, State);
  return true;
}

bool fold(CellState &State, const ReportGuaranteeAtRisk &What, Instant) {
  State.GuaranteesAtRisk.push_back({What.Workspace, What.Shape});
  return true;
}

} // namespace

bool apply(CellState &State, const Action &What, Instant At) {
  ensureIndex(State);
  return std::visit([&](const auto &Chosen) { return fold(State, Chosen, At); },
                    What);
}

} // namespace pistachioflow::policy
