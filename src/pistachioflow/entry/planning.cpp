#include "pistachioflow/entry/planning.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "pistachioflow/sched/queue_order.hpp"

namespace pistachioflow {

namespace {

/// Weight of an accelerator in lost work, in cores, as operators price it.
constexpr std::int64_t CoresPerAccelerator = 8;
constexpr double MilliPerUnit = 1'000.0;
/// The members that are there wait for the others for a few seconds only.
constexpr Duration MoveWithin{1'000};
/// Other workers may drain sooner after this long.
constexpr Duration ReservationLasts{3'000};

using AcceleratorUse = std::map<std::string, std::int64_t>;

/// Whether a run that was placed after the worker's last failure has yet to
/// show how it fares.
bool hasNewRun(const PlanningView &View, const WorkerLink &Link) {
  const auto Members = View.Table.membersOn(Link.Id);
  return std::ranges::any_of(Members, [&Link](const MemberRef &Ref) {
    return Ref.ParentUnit->PlacedAt > Link.Trust.LastFailureAt;
  });
}

std::vector<PlacementWorker> collectRooms(const PlanningView &View) {
  std::vector<PlacementWorker> Rooms;
  for (const auto &[Id, Link] : View.Workers) {
    PlacementWorker Room;
    Room.Id = Id;
    Room.Service = Link->Entry.Service;
    Room.Rack = rackOf(Link->Entry);
    Room.Labels = Link->Entry.Labels;
    Room.Capacity = Link->Entry.Capacity;
    Room.FreeNow = Room.Capacity - View.Table.occupiedCapacity(Id);
    Room.FreeAfterStops = Room.FreeNow;
    Room.FreeAfterExpectedEnds = Room.FreeNow;
    Room.Usable = Link->Listed && Link->Synced && !Link->Entry.Draining &&
                  Link->SilentSince.Ms == 0 &&
                  !isSuspended(Link->Trust, View.Now);
    Room.Deprioritized = Link->DoubtedUntil > View.Now;
    Room.ReservedForUrgent = Link->UrgentUntil > View.Now;
    Room.Verified = isVerified(Link->Trust, View.Now);
    Room.OnProbation = isOnProbation(Link->Trust, View.Now);
    if (Room.OnProbation)
      Room.Usable = Room.Usable && !hasNewRun(View, *Link);
    Rooms.push_back(std::move(Room));
  }
  return Rooms;
}

/// Milliseconds of the longest chain of steps from \p First on.
std::int64_t chainFrom(const PlanningView &View, const Job &Of,
                       std::size_t First) {
  const auto &Steps = Of.Submission.Job.Steps;
  std::vector<std::int64_t> ToEnd(Steps.size(), 0);
  for (std::size_t Index = Steps.size(); Index-- > First;) {
    ToEnd[Index] += View.Durations.expectedMs(Of.Submission.Queue,
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

QueueRank rankOf(const PlanningView &View, const Unit &Of) {
  const Job &Owner = *Of.ParentJob;
  const QueueTerms &Terms = termsOf(View.Desired, Owner);
  RankInputs Inputs;
  Inputs.Priority = Terms.Priority;
  Inputs.ReleasedAt = Owner.AcceptedAt;
  if (Owner.Submission.Job.Occurrences > 0)
    Inputs.ReleasedAt = Of.ReadySince;
  Inputs.CriticalPathMs = chainFrom(View, Owner, 0);
  Inputs.RemainingMs = chainFrom(View, Owner, Of.Step);
  Inputs.Stretch = Terms.Stretch;
  Inputs.AllowanceMs = Terms.AllowanceMs;
  return rankUnit(Inputs, View.Now);
}

/// Accelerators in use by work of the highest priority, for each workspace.
AcceleratorUse guaranteedUse(const PlanningView &View) {
  AcceleratorUse Use;
  for (const Unit *Of : View.Table.active())
    if (termsOf(View.Desired, *Of->ParentJob).Priority == 0)
      Use[Of->ParentJob->Submission.Workspace] +=
          Of->spec().TaskResources.Accelerators * Of->TaskCount;
  return Use;
}

std::int64_t guaranteeOf(const PlanningView &View,
                         const std::string &Workspace) {
  const WorkspaceConfig *Found = findWorkspace(View.Desired, Workspace);
  return Found ? Found->GuaranteedAccelerators : 0;
}

double lostWork(const Unit &Of, Instant Now) {
  if (Of.spec().Checkpointing)
    return 0;
  const Resources &Each = Of.spec().TaskResources;
  const double Cores =
      static_cast<double>(Each.MilliCores) / MilliPerUnit +
      static_cast<double>(Each.Accelerators * CoresPerAccelerator);
  const double Seconds =
      static_cast<double>((Now - Of.PlacedAt).Ms) / MilliPerUnit;
  return Cores * Seconds * static_cast<double>(Of.TaskCount);
}

std::vector<PlacedUnit> collectPlaced(const PlanningView &View,
                                      std::span<Unit *const> Active,
                                      std::vector<PlacementWorker> &Rooms,
                                      const AcceleratorUse &Use) {
  std::unordered_map<std::string, std::size_t> IndexOf;
  for (std::size_t Index = 0; Index < Rooms.size(); ++Index)
    IndexOf[Rooms[Index].Id] = Index;
  std::vector<PlacedUnit> Placed;
  for (const Unit *Of : Active) {
    PlacedUnit Entry;
    Entry.Workspace = Of->ParentJob->Submission.Workspace;
    Entry.Priority = termsOf(View.Desired, *Of->ParentJob).Priority;
    Entry.TaskResources = Of->spec().TaskResources;
    if (Of->spec().FillsIdleCpu)
      Entry.TaskResources.MilliCores = 0;
    const auto Used = Use.find(Entry.Workspace);
    Entry.BeyondGuarantee =
        Used != Use.end() && Used->second > guaranteeOf(View, Entry.Workspace);
    Entry.LostWork = lostWork(*Of, View.Now);
    const RemainingTime Left = remainingTime(View, *Of);
    Entry.RemainingMs = Left.Span.Ms;
    Entry.Stopping = Of->Done || hasEnded(Of->ParentJob->Phase);
    for (const Member &At : Of->Members) {
      if (!At.occupiesCapacity())
        continue;
      Entry.Stopping = Entry.Stopping || At.StopRequested;
      const auto Room = IndexOf.find(At.Worker);
      if (Room != IndexOf.end())
        Entry.WorkerIndices.push_back(Room->second);
    }
    // A stop would not free its room any sooner.
    Entry.EndsSoon = Left.FromProgress && Left.Span <= View.StopTimeout;
    for (const std::size_t Room : Entry.WorkerIndices) {
      if (Entry.Stopping)
        Rooms[Room].FreeAfterStops =
            Rooms[Room].FreeAfterStops + Entry.TaskResources;
      if (Entry.Stopping || Entry.EndsSoon)
        Rooms[Room].FreeAfterExpectedEnds =
            Rooms[Room].FreeAfterExpectedEnds + Entry.TaskResources;
    }
    Placed.push_back(std::move(Entry));
  }
  return Placed;
}

WaitingUnit describe(const PlanningView &View, const Unit &Of,
                     const AcceleratorUse &Use) {
  const Job &Owner = *Of.ParentJob;
  const QueueTerms &Terms = termsOf(View.Desired, Owner);
  WaitingUnit Entry;
  Entry.Service = Terms.Service;
  Entry.Workspace = Owner.Submission.Workspace;
  Entry.Priority = Terms.Priority;
  Entry.Step = &Of.spec();
  Entry.TaskCount = Of.TaskCount;
  Entry.AvoidedWorkers = &Of.FailedWorkers;
  Entry.WaitsForExpectedEnds = View.Now - Of.ReadySince < View.ReclaimAfter;
  Entry.LastAttempt = Of.Failures > 0 && !Of.spec().LongRunning &&
                      Of.Failures + 1 >= Owner.Submission.Terms.MaxAttempts;
  const auto Used = Use.find(Entry.Workspace);
  const std::int64_t Held = Used == Use.end() ? 0 : Used->second;
  const bool Guaranteed =
      Held + Of.spec().TaskResources.Accelerators * Of.TaskCount <=
      guaranteeOf(View, Entry.Workspace);
  Entry.MayReclaim =
      Guaranteed && View.Now - Owner.AcceptedAt >= View.ReclaimAfter;
  if (Of.spec().MaxPerWorker > 0) {
    const StepState &Step = Owner.Occurrences.at(Of.Occurrence).Steps[Of.Step];
    for (const Unit &Sibling : Step.Units)
      for (const Member &At : Sibling.Members)
        if (At.occupiesCapacity())
          Entry.GroupWorkers.push_back(At.Worker);
  }
  return Entry;
}

/// Tells the placement what earlier rounds reserved, as long as that is recent.
void keepReserved(const PlanningView &View, std::span<Unit *const> Units,
                  std::span<WaitingUnit> Waiting,
                  std::span<PlacementWorker> Rooms) {
  for (std::size_t Index = 0; Index < Units.size(); ++Index) {
    const Unit &Of = *Units[Index];
    if (Of.ReservedWorkers.empty() ||
        View.Now - Of.ReservedAt > ReservationLasts)
      continue;
    Waiting[Index].ReservedWorkers = Of.ReservedWorkers;
    for (PlacementWorker &Room : Rooms)
      if (std::ranges::find(Of.ReservedWorkers, Room.Id) !=
          Of.ReservedWorkers.end())
        Room.ReservedForGroup = Waiting[Index].Group;
  }
}

std::vector<Unit *> rankedWaiting(const PlanningView &View) {
  struct Ranked {
    QueueRank Rank;
    Unit *Of;
  };
  std::vector<Ranked> List;
  for (Unit *Of : View.Table.placeable(View.Now))
    List.push_back({rankOf(View, *Of), Of});
  std::ranges::sort(List, [](const Ranked &Left, const Ranked &Right) {
    if (Left.Rank != Right.Rank)
      return Left.Rank < Right.Rank;
    if (Left.Of->ParentJob != Right.Of->ParentJob)
      return Left.Of->ParentJob->Id < Right.Of->ParentJob->Id;
    return Left.Of < Right.Of;
  });
  std::vector<Unit *> Units;
  for (const Ranked &Entry : List)
    Units.push_back(Entry.Of);
  return Units;
}

} // namespace

void DurationModel::LogStatistics::add(double Value) {
  this->Count += 1;
  const double Before = Value - this->Mean;
  this->Mean += Before / this->Count;
  this->SquaredDeviations += Before * (Value - this->Mean);
}

double DurationModel::LogStatistics::variance() const {
  // Few samples say little: a wide spread is mixed in.
  constexpr double PriorVariance = 1.0;
  return (this->SquaredDeviations + PriorVariance) / (this->Count + 1.0);
}

void DurationModel::learn(const std::string &Queue, std::int64_t EstimatedMs,
                          std::int64_t ActualMs) {
  if (EstimatedMs <= 0 || ActualMs <= 0)
    return;
  QueueStatistics &Entry = this->Queues[Queue];
  const double Actual = std::log(static_cast<double>(ActualMs));
  Entry.Actual.add(Actual);
  Entry.Ratio.add(Actual - std::log(static_cast<double>(EstimatedMs)));
}

std::int64_t DurationModel::expectedMs(const std::string &Queue,
                                       std::int64_t EstimatedMs) const {
  const auto Found = this->Queues.find(Queue);
  if (Found == this->Queues.end() || EstimatedMs <= 0)
    return EstimatedMs;
  const QueueStatistics &Entry = Found->second;
  const double ByEstimate =
      std::log(static_cast<double>(EstimatedMs)) + Entry.Ratio.Mean;
  const double OwnWeight = Entry.Ratio.variance();
  const double EstimateWeight = Entry.Actual.variance();
  const double Blend =
      (OwnWeight * Entry.Actual.Mean + EstimateWeight * ByEstimate) /
      (OwnWeight + EstimateWeight);
  return static_cast<std::int64_t>(std::exp(Blend));
}

const QueueTerms &termsOf(const DesiredState &Desired, const Job &Of) {
  const QueueConfig *Queue = findQueueByName(Desired, Of.Submission.Queue);
  return Queue ? Queue->Terms : Of.Submission.Terms;
}

RemainingTime remainingTime(const PlanningView &View, const Unit &Of) {
  constexpr std::int64_t TellingPercent = 5;
  constexpr std::int64_t Whole = 100;
  constexpr std::int64_t ShortestMs = 100;
  constexpr std::int64_t OverdueMs = 300; ///< It has slowed down since.
  const std::int64_t RunMs = (View.Now - Of.PlacedAt).Ms;
  const std::int64_t Expected = View.Durations.expectedMs(
      Of.ParentJob->Submission.Queue, Of.spec().EstimatedMs);
  std::int64_t ByProgress = 0;
  for (const Member &At : Of.Members) {
    if (At.ProgressPercent < TellingPercent)
      return {{std::max(Expected - RunMs, ShortestMs)}, false};
    const std::int64_t TookMs = (At.ReportedAt - Of.PlacedAt).Ms;
    const std::int64_t AtReport =
        TookMs * (Whole - At.ProgressPercent) / At.ProgressPercent;
    ByProgress = std::max(ByProgress, AtReport - (View.Now - At.ReportedAt).Ms);
  }
  return {{std::max(ByProgress, ShortestMs)}, ByProgress > -OverdueMs};
}

MovePlan planMoves(const PlanningView &View) {
  MovePlan Plan;
  std::vector<PlacementWorker> Rooms;
  for (Unit *Of : View.Table.active())
    for (std::size_t Index = 0; Index < Of->Members.size(); ++Index) {
      if (Of->Members[Index].Phase != MemberPhase::Refused)
        continue;
      if (Rooms.empty())
        Rooms = collectRooms(View);
      const WaitingUnit Gang = describe(View, *Of, guaranteedUse(View));
      std::vector<std::string> Racks;
      for (const Member &Other : Of->Members)
        if (const auto Link = View.Workers.find(Other.Worker);
            Other.occupiesCapacity() && Link != View.Workers.end())
          Racks.push_back(rackOf(Link->second->Entry));
      const bool InTime = View.Now - Of->PlacedAt <= MoveWithin;
      const auto Room =
          InTime ? planReplacement(Rooms, Gang, Racks) : std::nullopt;
      if (!Room) {
        Plan.Unplaceable.push_back(Of);
        break;
      }
      PlacementWorker &Taken = Rooms[*Room];
      Taken.FreeNow = Taken.FreeNow - Of->spec().TaskResources;
      Plan.Moves.push_back(
          {{Of, Index}, {Taken.Id, View.Workers.at(Taken.Id)->BornWallMs}});
    }
  return Plan;
}

PlanningResult planRound(const PlanningView &View) {
  PlanningResult Result;
  const std::vector<Unit *> Units = rankedWaiting(View);
  Result.Waiting = Units.size();
  if (Units.empty())
    return Result;
  std::vector<PlacementWorker> Rooms = collectRooms(View);
  const std::vector<Unit *> Active = View.Table.active();
  const AcceleratorUse Use = guaranteedUse(View);
  const std::vector<PlacedUnit> Placed =
      collectPlaced(View, Active, Rooms, Use);
  std::vector<WaitingUnit> Waiting;
  std::map<const StepState *, std::size_t> Groups;
  for (const Unit *Of : Units) {
    Waiting.push_back(describe(View, *Of, Use));
    const StepState *Step =
        &Of->ParentJob->Occurrences.at(Of->Occurrence).Steps[Of->Step];
    Waiting.back().Group =
        Groups.try_emplace(Step, Groups.size()).first->second;
  }
  keepReserved(View, Units, Waiting, Rooms);
  const PlacementPlan Plan = planPlacement(Rooms, Waiting, Placed);
  for (const PlannedReservation &Entry : Plan.Reservations) {
    Result.Reservations.push_back({Units[Entry.WaitingIndex], {}});
    for (const std::size_t Room : Entry.WorkerIndices)
      Result.Reservations.back().Workers.push_back(Rooms[Room].Id);
  }
  for (const PlannedStart &Start : Plan.Starts) {
    UnitPlacement Entry{Units[Start.WaitingIndex], {}};
    for (const std::size_t Room : Start.WorkerIndices)
      Entry.Places.push_back(
          {Rooms[Room].Id, View.Workers.at(Rooms[Room].Id)->BornWallMs});
    Result.Starts.push_back(std::move(Entry));
  }
  for (const PlannedPreemption &Entry : Plan.Preemptions)
    Result.Preemptions.push_back(
        {Active[Entry.PlacedIndex], Units[Entry.WaitingIndex]});
  return Result;
}

} // namespace pistachioflow
