#include "planning_inputs.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace pistachioflow {

namespace {

/// Weight of an accelerator in lost work, in cores, by its price to operators.
constexpr std::int64_t CoresPerAccelerator = 8;
constexpr double MilliPerUnit = 1'000.0;
/// After this long, other workers may become free sooner.
constexpr Duration ReservationLifetime{3'000};
/// Added to the time that a stop takes for the lifetime of a claim: the order
/// to stop, the report of the end and a repetition of either.
constexpr Duration ClaimMargin{600};

/// Whether the worker has a run that was placed after its latest failure.
bool hasNewRun(const PlanningView &View, const WorkerLink &Link) {
  const auto Members = View.Table.membersOn(Link.Id);
  return std::ranges::any_of(Members, [&Link](const MemberRef &Ref) {
    return Ref.ParentUnit->PlacedAt > Link.Trust.LastFailureAt;
  });
}

/// Whether a run on the worker has just begun that may crash it.
bool hostsSuspect(const PlanningView &View, const WorkerLink &Link) {
  const auto Members = View.Table.membersOn(Link.Id);
  return std::ranges::any_of(Members, [&View](const MemberRef &Ref) {
    return Ref.ParentUnit->mayCrashWorker() &&
           View.Now - Ref.ParentUnit->PlacedAt < EarlyCrashWindow;
  });
}

/// Whether the unit's capacity is being released: it has ended or was stopped.
bool isStopping(const Unit &Placed) {
  const bool StopRequested =
      std::ranges::any_of(Placed.Members, [](const Member &Peer) {
        return Peer.occupiesCapacity() && Peer.StopRequested;
      });
  return StopRequested || Placed.Done || hasEnded(Placed.ParentJob->Phase);
}

double lostWork(const Unit &Unit, Instant Now) {
  if (Unit.spec().Checkpointing)
    return 0;
  const Resources &Each = Unit.spec().TaskResources;
  const double Cores =
      static_cast<double>(Each.MilliCores) / MilliPerUnit +
      static_cast<double>(Each.Accelerators * CoresPerAccelerator);
  const double Seconds =
      static_cast<double>((Now - Unit.PlacedAt).Ms) / MilliPerUnit;
  return Cores * Seconds * static_cast<double>(Unit.TaskCount);
}

} // namespace

std::vector<PlacementWorker> collectWorkers(const PlanningView &View) {
  std::vector<PlacementWorker> Workers;
  Workers.reserve(View.Workers.size());
  for (const auto &[Id, Link] : View.Workers) {
    PlacementWorker Worker;
    Worker.Id = Id;
    Worker.Service = Link->Entry.Service;
    Worker.Rack = rackOf(Link->Entry);
    Worker.Labels = Link->Entry.Labels;
    Worker.Capacity = Link->Entry.Capacity;
    Worker.FreeNow = freeCapacity(View.Table, *Link);
    Worker.FreeAfterStops = Worker.FreeNow;
    Worker.FreeAfterExpectedEnds = Worker.FreeNow;
    // The entry of an earlier incarnation may name another capacity.
    Worker.Usable = Link->Listed && Link->Synced && !Link->Entry.Draining &&
                    answersAs(*Link, Link->IncarnationStartMs);
    Worker.Evacuated =
        View.Evacuated && View.Evacuated->contains(Link->Entry.FailureDomain);
    Worker.Usable = Worker.Usable && !Worker.Evacuated;
    Worker.Suspended = isSuspended(Link->Trust, View.Now);
    Worker.Deprioritized = Link->AvoidedUntil > View.Now;
    Worker.ReservedForUrgent = Link->ReservedForUrgentUntil > View.Now;
    Worker.Verified = isVerified(Link->Trust, View.Now);
    Worker.OnProbation = isOnProbation(Link->Trust, View.Now);
    Worker.Occupied = !View.Table.membersOn(Id).empty();
    Worker.HostsSuspect = hostsSuspect(View, *Link);
    if (Worker.OnProbation)
      Worker.Usable = Worker.Usable && !hasNewRun(View, *Link);
    Workers.push_back(std::move(Worker));
  }
  return Workers;
}

std::vector<GuaranteeUse> guaranteeUses(const PlanningView &View,
                                        std::span<Unit *const> Active) {
  std::vector<GuaranteeUse> Uses;
  for (const WorkspaceConfig &Workspace : View.Desired.Workspaces)
    Uses.push_back({Workspace.Name, Workspace.GuaranteedAccelerators, 0});
  for (const Unit *Unit : Active) {
    if (termsOf(View.Desired, *Unit->ParentJob).Priority != 0 ||
        isStopping(*Unit))
      continue;
    const auto Use = std::ranges::find(
        Uses, Unit->ParentJob->Submission.Workspace, &GuaranteeUse::Workspace);
    if (Use != Uses.end())
      Use->InUse += Unit->spec().TaskResources.Accelerators * Unit->TaskCount;
  }
  return Uses;
}

std::vector<PlacedUnit> collectPlaced(const PlanningView &View,
                                      std::span<Unit *const> Active,
                                      std::vector<PlacementWorker> &Workers) {
  std::unordered_map<std::string_view, std::size_t> IndexOf;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index)
    IndexOf[Workers[Index].Id] = Index;
  std::vector<PlacedUnit> Placed;
  for (const Unit *Unit : Active) {
    PlacedUnit Entry;
    Entry.Workspace = Unit->ParentJob->Submission.Workspace;
    Entry.Priority = termsOf(View.Desired, *Unit->ParentJob).Priority;
    Entry.TaskResources = Unit->spec().TaskResources;
    if (Unit->spec().FillsIdleCpu)
      Entry.TaskResources.MilliCores = 0;
    Entry.LostWork = lostWork(*Unit, View.Now);
    const RemainingTime Left = remainingTime(View, *Unit);
    Entry.RemainingMs = Left.Span.Ms;
    Entry.Stopping = isStopping(*Unit);
    for (const Member &Peer : Unit->Members) {
      if (!Peer.occupiesCapacity())
        continue;
      const auto Worker = IndexOf.find(Peer.Worker);
      if (Worker != IndexOf.end())
        Entry.WorkerIndices.push_back(Worker->second);
    }
    // A stop would not free its resources any sooner.
    Entry.EndsSoon = Left.FromProgress && Left.Span <= View.StopTimeout;
    for (const std::size_t Worker : Entry.WorkerIndices) {
      if (Entry.Stopping)
        Workers[Worker].FreeAfterStops =
            Workers[Worker].FreeAfterStops + Entry.TaskResources;
      if (Entry.Stopping || Entry.EndsSoon)
        Workers[Worker].FreeAfterExpectedEnds =
            Workers[Worker].FreeAfterExpectedEnds + Entry.TaskResources;
    }
    Placed.push_back(std::move(Entry));
  }
  return Placed;
}

bool claimExpired(const PlanningView &View, const Unit &Waiting) {
  return !Waiting.Claim.Workers.empty() &&
         View.Now - Waiting.Claim.At > View.StopTimeout + ClaimMargin;
}

WaitingUnit describeWaiting(const PlanningView &View, const Unit &Waiting) {
  const Job &Job = *Waiting.ParentJob;
  const QueueTerms &Terms = termsOf(View.Desired, Job);
  WaitingUnit Entry;
  Entry.Service = Terms.Service;
  Entry.Workspace = Job.Submission.Workspace;
  Entry.Priority = Terms.Priority;
  Entry.Step = &Waiting.spec();
  Entry.TaskCount = Waiting.TaskCount;
  Entry.AvoidedWorkers = &Waiting.FailedWorkers;
  Entry.Suspect = Waiting.mayCrashWorker();
  // By then, stops would have ended instead.
  Entry.ClaimOverdue = !Waiting.Claim.Workers.empty() &&
                       View.Now - Waiting.Claim.At > View.StopTimeout;
  Entry.WaitsForExpectedEnds =
      View.Now - Waiting.ReadySince < View.ReclaimAfter && !Entry.ClaimOverdue;
  const std::int64_t Failures = Waiting.Attempts.failures();
  Entry.LastAttempt = Failures > 0 && !Waiting.spec().LongRunning &&
                      Failures + 1 >= Job.Submission.Terms.MaxAttempts;
  Entry.ReclaimDue =
      Terms.Priority == 0 && View.Now - Job.AcceptedAt >= View.ReclaimAfter;
  if (!claimExpired(View, Waiting))
    Entry.ClaimedWorkers = Waiting.Claim.Workers;
  Entry.ClaimedAt = Waiting.Claim.At;
  if (Waiting.spec().MaxPerWorker > 0) {
    const StepState &Step =
        Job.Occurrences.at(Waiting.Occurrence).Steps[Waiting.Step];
    for (const Unit &Sibling : Step.Units)
      for (const Member &Peer : Sibling.Members)
        if (Peer.occupiesCapacity())
          Entry.GroupWorkers.push_back(Peer.Worker);
  }
  return Entry;
}

void applyEarlierReservations(const PlanningView &View,
                              std::span<Unit *const> Units,
                              std::span<WaitingUnit> Waiting,
                              std::span<PlacementWorker> Workers) {
  for (std::size_t Index = 0; Index < Units.size(); ++Index) {
    const Unit &Unit = *Units[Index];
    if (Unit.ReservedWorkers.empty() ||
        View.Now - Unit.ReservedAt > ReservationLifetime)
      continue;
    Waiting[Index].ReservedWorkers = Unit.ReservedWorkers;
    for (PlacementWorker &Worker : Workers)
      if (std::ranges::find(Unit.ReservedWorkers, Worker.Id) !=
          Unit.ReservedWorkers.end())
        Worker.ReservedForGroup = Waiting[Index].Group;
  }
}

PaceInputs::PaceInputs(const PlanningView &View,
                       std::span<PlacementWorker> Workers)
    : View(View) {
  if (!View.Paces || View.PaceMode == PacePlacement::Off)
    return;
  this->Spread = paceSpread(*View.Paces, View.Now);
  const bool Decides =
      std::ranges::any_of(View.Desired.Queues, [&](const QueueConfig &Queue) {
        return paceDecides(View.PaceMode, View.Desired, Queue.Terms.Service,
                           this->Spread);
      });
  if (!Decides)
    return;
  for (PlacementWorker &Worker : Workers) {
    const std::int64_t Incarnation =
        View.Workers.find(Worker.Id)->second->IncarnationStartMs;
    Worker.LogPace = logPace(*View.Paces, Worker.Id, Incarnation, View.Now);
    Worker.KindsThere = taskKindsOn(View.Table, *View.Paces, Worker.Id);
  }
}

void PaceInputs::describe(const Unit &Waiting, WaitingUnit &Entry) {
  if (!this->View.Paces)
    return;
  const auto [Decides, NewService] =
      this->DecidesFor.try_emplace(Entry.Service);
  if (NewService)
    Decides->second = paceDecides(this->View.PaceMode, this->View.Desired,
                                  Entry.Service, this->Spread);
  if (!Decides->second)
    return;
  const bool NeedsPace = Entry.Priority == 0 || Entry.TaskCount > 1;
  Entry.Pace = NeedsPace ? PacePreference::Fastest : PacePreference::NotFastest;
  const std::size_t Kind = findKind(*this->View.Paces, taskKindOf(Waiting));
  const auto [Known, NewKind] = this->Slowdowns.try_emplace(Kind);
  if (NewKind)
    Known->second = slowdownsBeside(*this->View.Paces, Kind);
  Entry.SlowdownsBeside = Known->second;
}

void boundPreferences(const PlanningView &View, const Unit &Waiting,
                      const SpareCapacity &Spare, WaitingUnit &Entry) {
  const Duration InAll = heldBackInAll(Waiting.HeldBackTime, View.Now);
  if (InAll.Ms == 0)
    return;
  const StepSpec &Step = Waiting.spec();
  const std::int64_t ExpectedMs = View.Durations.expectedMs(
      Waiting.ParentJob->Submission.Queue, Step.EstimatedMs);
  const PreferenceInputs Inputs{ExpectedMs, View.RemotePenalty,
                                Step.LongRunning,
                                Spare.sparesFor(Step.TaskResources)};
  const bool AtOnce = Inputs.LongRunning || Inputs.SpareCapacity;
  const Duration Counted =
      AtOnce ? InAll : heldBackNow(Waiting.HeldBackTime, View.Now);
  Entry.AcceptsAnyWorker = Counted >= preferenceLimit(Inputs);
  Entry.IgnoresReservations = Counted >= reservationLimit(Inputs);
  Entry.AcceptsSuspended = AtOnce && Entry.AcceptsAnyWorker;
}

} // namespace pistachioflow
