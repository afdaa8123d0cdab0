#include "pistachioflow/entry/planning.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

#include "pistachioflow/sched/queue_order.hpp"
#include "planning_inputs.hpp"

namespace pistachioflow {

namespace {

/// Running members wait only a few seconds for the rest of their gang.
constexpr Duration MoveTimeout{1'000};
/// Workers that ran urgent work stay reserved for it this long: about the time
/// between two urgent gangs under load. A longer reservation leaves workers
/// idle; without one, the next gang has to preempt smaller work first.
constexpr Duration UrgentReservationTime{1'000};

PlaceRecord placeOn(const PlanningView &View, std::string_view Worker) {
  return {std::string(Worker),
          View.Workers.find(Worker)->second->IncarnationStartMs};
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

/// Describes the pace of the slowest chosen worker, in percent of a usual one.
std::string describePace(std::span<const PlacementWorker> Workers,
                         std::span<const std::size_t> Chosen) {
  constexpr double WholePercent = 100;
  double Slowest = std::numeric_limits<double>::max();
  for (const std::size_t Worker : Chosen)
    Slowest = std::min(Slowest, Workers[Worker].LogPace);
  return "slowest_pace " +
         std::to_string(std::lround(WholePercent * std::exp(Slowest)));
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
  struct StepKey {
    const Job *ParentJob;
    std::int64_t Occurrence;
    std::size_t Step;
    auto operator<=>(const StepKey &) const = default;
  };
  std::vector<Ranked> List;
  // The tasks of a step share their rank.
  std::map<StepKey, QueueRank> Ranks;
  for (Unit *Unit : View.Table.placeable(View.Now)) {
    const auto [Entry, Added] =
        Ranks.try_emplace({Unit->ParentJob, Unit->Occurrence, Unit->Step});
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
  PaceInputs Paces(View, Workers);
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
    Paces.describe(*Unit, Waiting.back());
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
    UnitPlacement Entry{Units[Start.WaitingIndex], {}, {}};
    for (const std::size_t Worker : Start.WorkerIndices)
      Entry.Places.push_back(placeOn(View, Workers[Worker].Id));
    if (Waiting[Start.WaitingIndex].Pace == PacePreference::Fastest)
      Entry.Detail = describePace(Workers, Start.WorkerIndices);
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
    Table.place(*Start.Placed, Start.Places, Now, Start.Detail);
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
