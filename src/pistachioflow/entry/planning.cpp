#include "pistachioflow/entry/planning.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "pistachioflow/sched/preference.hpp"
#include "pistachioflow/sched/queue_order.hpp"

namespace pistachioflow {

namespace {

/// Weight of an accelerator in lost work, in cores, by its price to operators.
constexpr std::int64_t CoresPerAccelerator = 8;
constexpr double MilliPerUnit = 1'000.0;
/// Running members wait only a few seconds for the rest of their gang.
constexpr Duration MoveTimeout{1'000};
/// After this long, other workers may become free sooner.
constexpr Duration ReservationLifetime{3'000};
/// Workers that ran urgent work stay reserved for it this long: about the time
/// between two urgent gangs under load. A longer reservation leaves workers
/// idle; without one, the next gang has to preempt smaller work first.
constexpr Duration UrgentReservationTime{1'000};
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

PlaceRecord placeOn(const PlanningView &View, std::string_view Worker) {
  return {std::string(Worker),
          View.Workers.find(Worker)->second->IncarnationStartMs};
}

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

/// Expected time of the longest chain of steps that begins with step \p First,
/// or of the longest chain of the job if \p First is 0.
std::int64_t criticalPathMs(const PlanningView &View, const Job &Job,
                            std::size_t First) {
  const auto &Steps = Job.Submission.Job.Steps;
  std::vector<std::int64_t> ToEnd(Steps.size(), 0);
  for (std::size_t Index = Steps.size(); Index-- > First;) {
    ToEnd[Index] += View.Durations.expectedMs(Job.Submission.Queue,
                                              Steps[Index].EstimatedMs);
    for (const std::int64_t Earlier : Steps[Index].After) {
      auto &Before = ToEnd[static_cast<std::size_t>(Earlier)];
      Before = std::max(Before, ToEnd[Index]);
    }
  }
  if (First < ToEnd.size() && First > 0)
    return ToEnd[First];
  return ToEnd.empty() ? 0 : *std::ranges::max_element(ToEnd);
}

QueueRank rankOf(const PlanningView &View, const Unit &Unit) {
  const Job &Job = *Unit.ParentJob;
  const QueueTerms &Terms = termsOf(View.Desired, Job);
  RankInputs Inputs;
  Inputs.Priority = Terms.Priority;
  Inputs.ReleasedAt = Job.AcceptedAt;
  if (Job.Submission.Job.Occurrences > 0)
    Inputs.ReleasedAt = Unit.ReadySince;
  Inputs.CriticalPathMs = criticalPathMs(View, Job, 0);
  Inputs.RemainingMs = criticalPathMs(View, Job, Unit.Step);
  Inputs.Stretch = Terms.Stretch;
  Inputs.AllowanceMs = Terms.AllowanceMs;
  return rankUnit(Inputs, View.Now);
}

/// Whether the unit's capacity is being released: it has ended or was stopped.
bool isStopping(const Unit &Placed) {
  const bool StopRequested =
      std::ranges::any_of(Placed.Members, [](const Member &Peer) {
        return Peer.occupiesCapacity() && Peer.StopRequested;
      });
  return StopRequested || Placed.Done || hasEnded(Placed.ParentJob->Phase);
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

/// Whether the stops that a unit waits for should have ended by now.
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

/// Applies recent reservations of earlier rounds to the inputs of this one.
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

/// Notes whether preferences, and reservations for gangs, have kept a unit from
/// free workers for long enough. With capacity to spare all of that time
/// counts; in a full cluster a unit that fitted nowhere for a moment waits
/// anew, as a run off its rack costs capacity.
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
  Entry.AcceptsSuspended =
      AtOnce && Entry.AcceptsAnyWorker && !Entry.LastAttempt;
}

/// Explains the waits that are due for a log line. \p After are the workers
/// after the decisions of \p Plan.
std::vector<LongWait> explainLongWaits(const PlanningView &View,
                                       const PlacementPlan &Plan,
                                       std::span<Unit *const> Units,
                                       std::span<const WaitingUnit> Waiting,
                                       std::span<const PlacementWorker> After) {
  std::vector<LongWait> Result;
  std::vector<PlacementWorker> Before;
  for (const std::size_t Index : Plan.Blocked) {
    Unit *Entry = Units[Index];
    if (!isWaitNoticeDue(Entry->ReadySince, Entry->WaitNotedAt, View.Now))
      continue;
    if (Before.empty())
      Before = collectWorkers(View);
    Result.push_back({Entry, explainWait(Before, After, Waiting[Index])});
  }
  return Result;
}

std::vector<Unit *> rankedWaiting(const PlanningView &View) {
  struct Ranked {
    QueueRank Rank;
    Unit *Waiting;
  };
  std::vector<Ranked> List;
  // The tasks of a step share their rank.
  std::map<std::pair<const Job *, std::pair<std::int64_t, std::size_t>>,
           QueueRank>
      Ranks;
  for (Unit *Unit : View.Table.placeable(View.Now)) {
    const auto [Entry, Added] =
        Ranks.try_emplace({Unit->ParentJob, {Unit->Occurrence, Unit->Step}});
    if (Added)
      Entry->second = rankOf(View, *Unit);
    List.push_back({Entry->second, Unit});
  }
  std::ranges::sort(List, [](const Ranked &Left, const Ranked &Right) {
    if (Left.Rank != Right.Rank)
      return Left.Rank < Right.Rank;
    if (Left.Waiting->ParentJob != Right.Waiting->ParentJob)
      return Left.Waiting->ParentJob->Id < Right.Waiting->ParentJob->Id;
    return Left.Waiting < Right.Waiting;
  });
  std::vector<Unit *> Units;
  for (const Ranked &Entry : List)
    Units.push_back(Entry.Waiting);
  return Units;
}

} // namespace

const QueueTerms &termsOf(const DesiredState &Desired, const Job &Job) {
  const QueueConfig *Queue = findQueueByName(Desired, Job.Submission.Queue);
  return Queue ? Queue->Terms : Job.Submission.Terms;
}

Resources freeCapacity(const JobTable &Table, const WorkerLink &Worker) {
  return Worker.Entry.Capacity - Table.occupiedCapacity(Worker.Id) -
         Worker.UnwantedUse;
}

RemainingTime remainingTime(const PlanningView &View, const Unit &Unit) {
  constexpr std::int64_t MinReliablePercent = 5;
  constexpr std::int64_t WholePercent = 100;
  constexpr std::int64_t MinRemainingMs = 100;
  /// Later than this, the run has slowed down.
  constexpr std::int64_t MaxOverdueMs = 300;
  if (Unit.spec().LongRunning)
    return {NeverEnds, false};
  const std::int64_t RunMs = (View.Now - Unit.PlacedAt).Ms;
  std::int64_t ByProgress = 0;
  for (const Member &Peer : Unit.Members) {
    if (Peer.ProgressPercent < MinReliablePercent) {
      const std::int64_t Expected = View.Durations.expectedMs(
          Unit.ParentJob->Submission.Queue, Unit.spec().EstimatedMs);
      return {{std::max(Expected - RunMs, MinRemainingMs)}, false};
    }
    const std::int64_t TookMs = (Peer.ReportedAt - Unit.PlacedAt).Ms;
    const std::int64_t AtReport =
        TookMs * (WholePercent - Peer.ProgressPercent) / Peer.ProgressPercent;
    ByProgress =
        std::max(ByProgress, AtReport - (View.Now - Peer.ReportedAt).Ms);
  }
  return {{std::max(ByProgress, MinRemainingMs)}, ByProgress > -MaxOverdueMs};
}

namespace {

/// Counts the moves of this plan for the limit of \p Moving's step.
void addPlannedMoves(const MovePlan &Plan, const Unit &Moving,
                     WaitingUnit &Gang) {
  if (Moving.spec().MaxPerWorker <= 0)
    return;
  for (const MovePlan::Move &Move : Plan.Moves) {
    const Unit &Other = *Move.Ref.ParentUnit;
    const bool SameStep = Other.ParentJob == Moving.ParentJob &&
                          Other.Occurrence == Moving.Occurrence &&
                          Other.Step == Moving.Step;
    if (SameStep)
      Gang.GroupWorkers.push_back(Move.Place.Worker);
  }
}

} // namespace

MovePlan planMoves(const PlanningView &View) {
  MovePlan Plan;
  std::vector<PlacementWorker> Workers;
  for (Unit *Unit : View.Table.active())
    for (std::size_t Index = 0; Index < Unit->Members.size(); ++Index) {
      if (Unit->Members[Index].Phase != MemberPhase::Refused)
        continue;
      if (Workers.empty())
        Workers = collectWorkers(View);
      WaitingUnit Gang = describeWaiting(View, *Unit);
      addPlannedMoves(Plan, *Unit, Gang);
      std::vector<std::string_view> Racks;
      for (const Member &Other : Unit->Members)
        if (const auto Link = View.Workers.find(Other.Worker);
            Link != View.Workers.end())
          Racks.push_back(rackOf(Link->second->Entry));
      const bool InTime = View.Now - Unit->PlacedAt <= MoveTimeout;
      const auto Worker =
          InTime ? planReplacement(Workers, Gang, Racks) : std::nullopt;
      if (!Worker) {
        Plan.Unplaceable.push_back(Unit);
        break;
      }
      PlacementWorker &Target = Workers[*Worker];
      Target.FreeNow = Target.FreeNow - Unit->spec().TaskResources;
      Plan.Moves.push_back({{Unit, Index}, placeOn(View, Target.Id)});
    }
  return Plan;
}

void reserveForUrgent(const PlanningView &View) {
  const Instant Until = View.Now + UrgentReservationTime;
  for (const Unit *Entry : View.Table.active()) {
    if (termsOf(View.Desired, *Entry->ParentJob).Priority != 0)
      continue;
    for (const Member &PlacedMember : Entry->Members)
      if (const auto Worker = View.Workers.find(PlacedMember.Worker);
          PlacedMember.occupiesCapacity() && Worker != View.Workers.end())
        Worker->second->ReservedForUrgentUntil = Until;
  }
}

PlanningResult planRound(const PlanningView &View) {
  PlanningResult Result;
  const std::vector<Unit *> Units = rankedWaiting(View);
  Result.Waiting = Units.size();
  if (Units.empty())
    return Result;
  std::vector<PlacementWorker> Workers = collectWorkers(View);
  const std::vector<Unit *> Active = View.Table.active();
  const std::vector<PlacedUnit> Placed = collectPlaced(View, Active, Workers);
  std::vector<WaitingUnit> Waiting;
  std::map<const StepState *, std::size_t> Groups;
  std::map<std::string_view, SpareCapacity> SpareOf;
  for (const Unit *Unit : Units) {
    Waiting.push_back(describeWaiting(View, *Unit));
    const std::string_view Service = Waiting.back().Service;
    const auto [Spare, Added] = SpareOf.try_emplace(Service);
    if (Added)
      Spare->second = spareCapacity(Workers, Service);
    boundPreferences(View, *Unit, Spare->second, Waiting.back());
    const StepState *Step =
        &Unit->ParentJob->Occurrences.at(Unit->Occurrence).Steps[Unit->Step];
    Waiting.back().Group =
        Groups.try_emplace(Step, Groups.size()).first->second;
  }
  applyEarlierReservations(View, Units, Waiting, Workers);
  const PlacementPlan Plan =
      planPlacement(Workers, Waiting, Placed, guaranteeUses(View, Active));
  Result.Incomplete = Plan.Incomplete;
  for (const std::size_t Index : Plan.HeldBack)
    Result.HeldBack.push_back(Units[Index]);
  Result.LongWaits = explainLongWaits(View, Plan, Units, Waiting, Workers);
  const auto ClaimsAgain = [&](const Unit *Waiting) {
    return std::ranges::any_of(Plan.Claims, [&](const PlannedClaim &Entry) {
      return Units[Entry.WaitingIndex] == Waiting;
    });
  };
  for (Unit *Unit : Units)
    if (claimExpired(View, *Unit) && !ClaimsAgain(Unit))
      Result.DroppedClaims.push_back(Unit);
  for (const std::size_t Index : Plan.DroppedClaims)
    if (!ClaimsAgain(Units[Index]))
      Result.DroppedClaims.push_back(Units[Index]);
  for (const PlannedClaim &Entry : Plan.Claims) {
    CapacityClaim Claim{{}, {}, View.Now};
    for (const std::size_t Worker : Entry.WorkerIndices)
      Claim.Workers.emplace_back(Workers[Worker].Id);
    for (const PlannedPreemption &Stop : Plan.Preemptions)
      if (Stop.WaitingIndex == Entry.WaitingIndex)
        Claim.VictimWorkers.emplace_back(Workers[Stop.WorkerIndex].Id);
    // What was preempted for an earlier claim of the unit serves this one.
    const CapacityClaim &Earlier = Units[Entry.WaitingIndex]->Claim;
    Claim.VictimWorkers.insert(Claim.VictimWorkers.end(),
                               Earlier.VictimWorkers.begin(),
                               Earlier.VictimWorkers.end());
    Result.Claims.push_back({Units[Entry.WaitingIndex], std::move(Claim)});
  }
  for (const PlannedReservation &Entry : Plan.Reservations) {
    Result.Reservations.push_back({Units[Entry.WaitingIndex], {}});
    for (const std::size_t Worker : Entry.WorkerIndices)
      Result.Reservations.back().Workers.emplace_back(Workers[Worker].Id);
  }
  for (const PlannedStart &Start : Plan.Starts) {
    UnitPlacement Entry{Units[Start.WaitingIndex], {}};
    for (const std::size_t Worker : Start.WorkerIndices)
      Entry.Places.push_back(placeOn(View, Workers[Worker].Id));
    Result.Starts.push_back(std::move(Entry));
  }
  for (const PlannedPreemption &Entry : Plan.Preemptions)
    Result.Preemptions.push_back(
        {Active[Entry.PlacedIndex], Units[Entry.WaitingIndex]});
  return Result;
}

void applyPlan(JobTable &Table, const PlanningResult &Plan, Instant Now) {
  for (Unit *Entry : Plan.DroppedClaims)
    Table.dropClaim(*Entry, Now, "not_released");
  for (const UnitClaim &Entry : Plan.Claims)
    JobTable::claim(*Entry.Beneficiary, Entry.Claim);
  for (const UnitPlacement &Start : Plan.Starts)
    Table.place(*Start.Placed, Start.Places, Now);
  for (const UnitReservation &Entry : Plan.Reservations)
    Table.reserve(*Entry.Beneficiary, Entry.Workers, Now);
  // Of undecided units it is not known what holds them back.
  if (!Plan.Incomplete)
    Table.noteHeldBack(Plan.HeldBack, Now);
  for (const LongWait &Entry : Plan.LongWaits)
    Table.noteWait(*Entry.Waiting, toString(Entry.Reason), Now);
  for (const UnitPreemption &Entry : Plan.Preemptions)
    Table.preempt(*Entry.Victim, Now, "for " + Entry.Beneficiary->name());
}

} // namespace pistachioflow
