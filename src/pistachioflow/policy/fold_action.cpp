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

bool fold(CellState &State, const AdmitJob &Order, Instant) {
  JobState *Job = findJob(State, Order.Job);
  if (!Job || Job->Phase != JobPhase::Queued || Job->Admitted)
    return false;
  JobEdit Edit(State, *Job);
  Edit->Admitted = true;
  return true;
}

bool fold(CellState &State, const RefuseJob &Order, Instant At) {
  const auto Duplicate = std::ranges::find(State.Duplicates, Order.Job);
  if (Duplicate != State.Duplicates.end()) {
    State.Duplicates.erase(Duplicate);
    return true;
  }
  JobState *Job = findJob(State, Order.Job);
  if (!Job || Job->Phase != JobPhase::Queued || Job->Admitted)
    return false;
  endJob(State, *Job, JobPhase::Refused, At);
  return true;
}

bool fold(CellState &State, const StartGang &Order, Instant At) {
  JobState *Job = findJob(State, Order.Job);
  if (!Job || Job->Phase != JobPhase::Queued || !Job->Admitted ||
      Job->CancelRequested || Order.Try != Job->Try + 1)
    return false;
  if (!hasCapacity(State, *Job, Order) || !underCeiling(State, *Job))
    return false;
  if (!Order.Borrowed && !fitsHome(State.Index, Job->Spec, Order.Placements))
    return false;
  {
    JobEdit Edit(State, *Job);
    Edit->Phase = JobPhase::Starting;
    Edit->Try = Order.Try;
    Edit->Placements = Order.Placements;
    Edit->Borrowed = Order.Borrowed;
    Edit->StartedAt = At;
    Edit->CheckpointAt = At;
  }
  std::erase_if(State.Reservations, [&Order](const Reservation &Current) {
    return Current.Job == Order.Job;
  });
  cancelReclaims(State, Order.Job);
  return true;
}

/// Returns the job if \p Try is its active attempt and not stopping, or null.
JobState *findStoppable(CellState &State, const JobId &Name, Attempt Try) {
  JobState *Job = findJob(State, Name);
  const bool Fits = Job && Job->Try == Try && isActive(*Job) &&
                    Job->Phase != JobPhase::Stopping;
  return Fits ? Job : nullptr;
}

bool fold(CellState &State, const CheckpointGang &Order, Instant) {
  JobState *Job = findStoppable(State, Order.Job, Order.Try);
  if (!Job || !Job->Reclaim.For.empty())
    return false;
  JobEdit Edit(State, *Job);
  Edit->Reclaim = {Order.Beneficiary, Order.Cause, Order.Deadline, false};
  return true;
}

bool fold(CellState &State, const StopGang &Order, Instant) {
  JobState *Job = findStoppable(State, Order.Job, Order.Try);
  if (!Job)
    return false;
  JobEdit Edit(State, *Job);
  Edit->Phase = JobPhase::Stopping;
  Edit->Then = Order.FollowUp;
  if (!Order.Beneficiary.empty()) {
    ++Edit->Preemptions;
    Edit->Reclaim.For = Order.Beneficiary;
  }
  return true;
}

bool fold(CellState &State, const ThrottleGang &Order, Instant) {
  JobState *Job = findStoppable(State, Order.Job, Order.Try);
  if (!Job)
    return false;
  JobEdit Edit(State, *Job);
  if (std::erase(Edit->OverusedOn, Order.Worker) == 0)
    return false;
  Edit->ThrottledOn.push_back(Order.Worker);
  return true;
}

bool fold(CellState &State, const EndJob &Order, Instant At) {
  JobState *Job = findJob(State, Order.Job);
  if (!Job || Job->Phase != JobPhase::Queued)
    return false;
  endJob(State, *Job, Order.FinalPhase, At);
  return true;
}

bool fold(CellState &State, const ReserveCapacity &Order, Instant At) {
  const JobState *Job = findJob(State, Order.Job);
  if (!Job || Job->Phase != JobPhase::Queued)
    return false;
  const auto Current =
      std::ranges::find(State.Reservations, Order.Job, &Reservation::Job);
  if (Order.Placements.empty() && Current == State.Reservations.end())
    return false;
  if (Order.Placements.empty())
    State.Reservations.erase(Current);
  else if (Current == State.Reservations.end())
    State.Reservations.push_back(
        {Order.Job, Order.Placements, Order.ExpectedStart, At});
  else
    *Current = {Order.Job, Order.Placements, Order.ExpectedStart,
                Current->CreatedAt};
  return true;
}

/// Updates in the index whether the worker is usable.
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

/// Clears the failures on a quarantined worker from its jobs.
void clearJobFailures(CellState &State, const WorkerState &Worker) {
  for (const JobId &Name : Worker.FailedJobs) {
    JobState *Job = findJob(State, Name);
    if (!Job || hasEnded(*Job))
      continue;
    JobEdit Edit(State, *Job);
    std::erase(Edit->FailedOn, Worker.Info.Worker);
  }
}

bool fold(CellState &State, const QuarantineWorker &Order, Instant) {
  const auto Found = State.Workers.find(Order.Worker);
  if (Found == State.Workers.end() || Found->second.Quarantined)
    return false;
  WorkerState &Worker = Found->second;
  Worker.Quarantined = true;
  Worker.QuarantinedUntil = Order.Until;
  Worker.OnProbation = false;
  ++Worker.Quarantines;
  clearJobFailures(State, Worker);
  Worker.FailedJobs.clear();
  refreshUsable(State, Worker);
  State.Index.FailingWorkers.insert(Order.Worker);
  State.HomesStale = true;
  return true;
}

bool fold(CellState &State, const ReleaseWorker &Order, Instant) {
  const auto Found = State.Workers.find(Order.Worker);
  if (Found == State.Workers.end() || !Found->second.Quarantined)
    return false;
  WorkerState &Worker = Found->second;
  Worker.Quarantined = false;
  Worker.OnProbation = true;
  refreshUsable(State, Worker);
  State.Index.FailingWorkers.erase(Order.Worker);
  State.HomesStale = true;
  return true;
}

bool fold(CellState &State, const AssignHomes &Order, Instant) {
  State.Homes = Order.Homes;
  State.HomesStale = false;
  State.GuaranteesAtRisk.clear();
  classifyGangs(State);
  indexHomes(State.Index, State);
  return true;
}

bool fold(CellState &State, const ReportGuaranteeAtRisk &Order, Instant) {
  State.GuaranteesAtRisk.push_back({Order.Workspace, Order.Shape});
  return true;
}

} // namespace

bool apply(CellState &State, const Action &Order, Instant At) {
  ensureIndex(State);
  return std::visit([&](const auto &Chosen) { return fold(State, Chosen, At); },
                    Order);
}

} // namespace pistachioflow::policy
