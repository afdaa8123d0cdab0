#include "pistachioflow/sched/placement.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "candidate_workers.hpp"
#include "pistachioflow/sched/reservation.hpp"
#include "preemption.hpp"
#include "worker_finder.hpp"

namespace pistachioflow {

namespace {

/// Share of the workers that may be reserved for waiting gangs.
constexpr std::size_t MaxReservedPercent = 40;
constexpr std::size_t WholePercent = 100;

using WorkerSpan = std::span<PlacementWorker>;

std::int64_t acceleratorsOf(const WaitingUnit &Unit) {
  return Unit.Step->TaskResources.Accelerators * Unit.TaskCount;
}

std::size_t countInService(WorkerSpan Workers) {
  return static_cast<std::size_t>(
      std::ranges::count(Workers, false, &PlacementWorker::Evacuated));
}

void occupy(WorkerSpan Workers, const WorkerChoice &Chosen,
            const Resources &PerTask) {
  for (const std::size_t Index : Chosen) {
    Workers[Index].FreeNow = Workers[Index].FreeNow - PerTask;
    Workers[Index].FreeAfterStops = Workers[Index].FreeAfterStops - PerTask;
    Workers[Index].FreeAfterExpectedEnds =
        Workers[Index].FreeAfterExpectedEnds - PerTask;
    // A worker on probation gets one start at a time.
    Workers[Index].Usable =
        Workers[Index].Usable && !Workers[Index].OnProbation;
  }
}

/// Undoes occupy().
void release(WorkerSpan Workers, const WorkerChoice &Chosen,
             const Resources &PerTask) {
  for (const std::size_t Index : Chosen) {
    Workers[Index].FreeNow = Workers[Index].FreeNow + PerTask;
    Workers[Index].FreeAfterStops = Workers[Index].FreeAfterStops + PerTask;
    Workers[Index].FreeAfterExpectedEnds =
        Workers[Index].FreeAfterExpectedEnds + PerTask;
    Workers[Index].Usable = true;
  }
}

bool fitsAfterStops(std::span<const PlacementWorker> Workers,
                    const WorkerChoice &Chosen, const Resources &PerTask) {
  return std::ranges::all_of(Chosen, [&](std::size_t Index) {
    return fittingTasks(Workers[Index].FreeAfterStops, PerTask) >=
           std::ranges::count(Chosen, Index);
  });
}

/// One placement round. Updates the free amounts of the workers as it goes.
class Round {
public:
  Round(WorkerSpan Workers, std::span<const WaitingUnit> Waiting,
        std::span<const PlacedUnit> Placed, GuaranteeLedger Guarantees)
      : Workers(Workers), Waiting(Waiting.begin(), Waiting.end()),
        Placed(Placed), Stopping(std::make_unique<bool[]>(Placed.size())),
        Held(Waiting.size()), Guarantees(std::move(Guarantees)),
        InService(countInService(Workers)), Finder(Workers) {
    for (std::size_t Index = 0; Index < Placed.size(); ++Index)
      this->Stopping[Index] = Placed[Index].Stopping;
    this->MayHoldBack =
        std::ranges::any_of(Workers, [](const PlacementWorker &Worker) {
          return Worker.ReservedForUrgent || Worker.Suspended ||
                 Worker.OnProbation;
        });
  }

  PlacementPlan run() {
    this->holdClaims();
    for (const std::size_t Index : this->order()) {
      if (this->StartedTasks >= MaxStartsPerRound) {
        this->Plan.Incomplete = true;
        break;
      }
      const WaitingUnit &Unit = this->Waiting[Index];
      if (this->isBlockedWithGroup(Unit)) {
        if (this->LastBlocked.HeldBack)
          this->Plan.HeldBack.push_back(Index);
        continue;
      }
      if (this->tryPlace(Index))
        continue;
      this->Plan.Blocked.push_back(Index);
      if (!Unit.Step->Gang && Unit.Priority > 0)
        this->LastBlocked = {Unit.Group, Unit.AcceptsAnyWorker,
                             Unit.IgnoresReservations, Unit.LastAttempt,
                             this->isHeldBack(Index)};
    }
    this->Plan.Searches += this->Finder.searches();
    return std::move(this->Plan);
  }

private:
  /// A step whose single tasks are blocked.
  struct BlockedStep {
    std::size_t Group = NoGroup;
    bool AcceptsAnyWorker = false;
    bool IgnoresReservations = false;
    bool LastAttempt = false;
    bool HeldBack = false;
  };

  /// Tasks of a group are identical: if one is blocked, all are that accept the
  /// same workers.
  bool isBlockedWithGroup(const WaitingUnit &Unit) const {
    return Unit.Group == this->LastBlocked.Group &&
           Unit.AcceptsAnyWorker == this->LastBlocked.AcceptsAnyWorker &&
           Unit.IgnoresReservations == this->LastBlocked.IgnoresReservations &&
           Unit.LastAttempt == this->LastBlocked.LastAttempt;
  }

  bool isHeldBack(std::size_t Index) const {
    return !this->Plan.HeldBack.empty() && this->Plan.HeldBack.back() == Index;
  }

  /// Withholds the capacity of valid claims from all other units, so that what
  /// was preempted for a unit serves no other.
  void holdClaims() {
    std::vector<std::size_t> ByAge;
    for (std::size_t Index = 0; Index < this->Waiting.size(); ++Index)
      if (!this->Waiting[Index].ClaimedWorkers.empty())
        ByAge.push_back(Index);
    std::ranges::stable_sort(ByAge, {}, [this](std::size_t Index) {
      return this->Waiting[Index].ClaimedAt;
    });
    for (const std::size_t Index : ByAge) {
      const WaitingUnit &Unit = this->Waiting[Index];
      this->Held[Index] = this->findWorkers(Unit, Unit.ClaimedWorkers);
      const bool ReliesOnOverdueEnds =
          this->Held[Index] && Unit.ClaimOverdue &&
          !fitsAfterStops(this->Workers, *this->Held[Index],
                          countedDemand(*Unit.Step));
      if (ReliesOnOverdueEnds)
        this->Held[Index].reset();
      if (!this->Held[Index]) {
        this->Plan.DroppedClaims.push_back(Index);
        continue;
      }
      occupy(this->Workers, *this->Held[Index], countedDemand(*Unit.Step));
      this->Guarantees.claim(Unit.Workspace, acceleratorsOf(Unit));
    }
  }

  /// Returns the waiting units in the order of their decisions: overdue work
  /// that a guarantee covers comes first. It would preempt work that was placed
  /// before it.
  std::vector<std::size_t> order() const {
    GuaranteeLedger Counted = this->Guarantees;
    std::vector<std::size_t> Overdue;
    std::vector<std::size_t> Others;
    for (std::size_t Index = 0; Index < this->Waiting.size(); ++Index) {
      const WaitingUnit &Unit = this->Waiting[Index];
      const std::int64_t Needed = acceleratorsOf(Unit);
      const bool First = Unit.ReclaimDue && !this->Held[Index] &&
                         Counted.covers(Unit.Workspace, Needed);
      if (First)
        Counted.use(Unit.Workspace, Needed);
      (First ? Overdue : Others).push_back(Index);
    }
    Overdue.insert(Overdue.end(), Others.begin(), Others.end());
    return Overdue;
  }

  /// Chooses free workers for a unit: those that it prefers, or else any that
  /// it fits on if it accepts them. Notes a unit that preferences or
  /// reservations hold back.
  std::optional<WorkerChoice>
  chooseNow(std::size_t Index, std::span<const std::string_view> Racks) {
    WaitingUnit Unit = this->Waiting[Index];
    Unit.AcceptsAnyWorker = Unit.IgnoresReservations = false;
    Unit.AcceptsSuspended = false;
    auto Preferred = this->Finder.find(Unit, Racks, &PlacementWorker::FreeNow);
    if (Preferred || (Racks.empty() && !this->MayHoldBack))
      return Preferred;
    if (this->Waiting[Index].AcceptsAnyWorker)
      if (auto Accepted = this->Finder.find(this->Waiting[Index], {},
                                            &PlacementWorker::FreeNow))
        return Accepted;
    Unit.AcceptsAnyWorker = Unit.IgnoresReservations = true;
    Unit.AcceptsSuspended = true;
    if (this->Finder.find(Unit, {}, &PlacementWorker::FreeNow))
      this->Plan.HeldBack.push_back(Index);
    return std::nullopt;
  }

  /// Returns whether the unit starts now.
  bool tryPlace(std::size_t Index) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const Resources PerTask = countedDemand(*Unit.Step);
    if (this->Held[Index])
      return this->tryHeld(Index);
    const std::vector<std::string_view> Racks =
        allowedRacks(this->Workers, Unit);
    if (auto Chosen = this->chooseNow(Index, Racks)) {
      this->start(Index, std::move(*Chosen));
      return true;
    }
    if (auto Later =
            this->Finder.find(Unit, Racks, &PlacementWorker::FreeAfterStops)) {
      occupy(this->Workers, *Later, PerTask);
      return false;
    }
    if (Unit.WaitsForExpectedEnds) {
      const auto Wait = this->Finder.find(
          Unit, Racks, &PlacementWorker::FreeAfterExpectedEnds);
      if (Wait) {
        occupy(this->Workers, *Wait, PerTask);
        return false;
      }
    }
    if (Unit.Priority == 0)
      return this->tryUrgent(Index, Racks);
    if (Unit.TaskCount > 1)
      this->reserveFor(Index, Racks);
    return false;
  }

  bool mayReclaim(const WaitingUnit &Unit) const {
    return Unit.ReclaimDue &&
           this->Guarantees.covers(Unit.Workspace, acceleratorsOf(Unit));
  }

  /// Preempts for a unit of the highest priority. Guaranteed work has a limit
  /// in time and its racks are a preference: where they yield nothing, it takes
  /// workers of any rack. Returns whether the unit starts now.
  bool tryUrgent(std::size_t Index, std::span<const std::string_view> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const bool Planned = this->preemptFor(Index, Racks);
    if (Planned || Racks.empty() || !this->mayReclaim(Unit))
      return false;
    if (auto Chosen = this->Finder.find(Unit, {}, &PlacementWorker::FreeNow)) {
      this->start(Index, std::move(*Chosen));
      return true;
    }
    this->preemptFor(Index, {});
    return false;
  }

  /// Starts a unit with a claim on its claimed workers, or on others in place
  /// of those that are not released yet. Otherwise the claim stays held.
  bool tryHeld(std::size_t Index) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const Resources PerTask = countedDemand(*Unit.Step);
    const WorkerChoice Claimed = *this->Held[Index];
    release(this->Workers, Claimed, PerTask);
    this->Finder.forgetAll();
    std::optional<WorkerChoice> Chosen = this->completeClaim(Unit, Claimed);
    if (!Chosen)
      Chosen = this->chooseNow(Index, allowedRacks(this->Workers, Unit));
    if (!Chosen) {
      occupy(this->Workers, Claimed, PerTask);
      return false;
    }
    this->Guarantees.claim(Unit.Workspace, -acceleratorsOf(Unit));
    this->Held[Index].reset();
    this->start(Index, std::move(*Chosen));
    return true;
  }

  /// Whether a claim is newer than that of another unit.
  bool isNewer(std::size_t Index, const WaitingUnit &Other) const {
    return this->Held[Index] &&
           this->Waiting[Index].ClaimedAt > Other.ClaimedAt;
  }

  /// Returns the claimed workers that are free now, and other free workers for
  /// the rest of the tasks; nothing if there are none. What is free on a worker
  /// with several claims goes to the oldest first: stops for newer claims would
  /// delay it otherwise.
  std::optional<WorkerChoice> completeClaim(const WaitingUnit &Unit,
                                            const WorkerChoice &Claimed) const {
    std::vector<PlacementWorker> Left(this->Workers.begin(),
                                      this->Workers.end());
    const auto ForNewerClaims = [&](const auto &Change) {
      for (std::size_t Index = 0; Index < this->Waiting.size(); ++Index)
        if (this->isNewer(Index, Unit))
          Change(Left, *this->Held[Index],
                 countedDemand(*this->Waiting[Index].Step));
    };
    const Resources PerTask = countedDemand(*Unit.Step);
    ForNewerClaims(release);
    WaitingUnit Rest = Unit;
    WorkerChoice Chosen;
    for (const std::size_t Worker : Claimed) {
      if (fittingTasks(Left[Worker].FreeNow, PerTask) == 0)
        continue;
      occupy(Left, {Worker}, PerTask);
      Rest.GroupWorkers.push_back(Left[Worker].Id);
      Chosen.push_back(Worker);
    }
    ForNewerClaims(occupy);
    Rest.TaskCount -= static_cast<std::int64_t>(Chosen.size());
    if (Rest.TaskCount == 0)
      return Chosen;
    std::vector<std::string_view> Racks = allowedRacks(this->Workers, Unit);
    if (!Racks.empty())
      Racks = {Left[Claimed.front()].Rack};
    const auto Others =
        chooseWorkers(Left, Rest, Racks, &PlacementWorker::FreeNow);
    if (!Others)
      return std::nullopt;
    Chosen.insert(Chosen.end(), Others->begin(), Others->end());
    return Chosen;
  }

  void start(std::size_t Index, WorkerChoice Chosen) {
    const WaitingUnit &Unit = this->Waiting[Index];
    if (this->isHeldBack(Index))
      this->Plan.HeldBack.pop_back();
    occupy(this->Workers, Chosen, countedDemand(*Unit.Step));
    for (const std::size_t Worker : Chosen) {
      this->Workers[Worker].Occupied = true;
      this->Workers[Worker].HostsSuspect =
          this->Workers[Worker].HostsSuspect || Unit.Suspect;
    }
    if (Unit.Priority == 0)
      this->Guarantees.use(Unit.Workspace, acceleratorsOf(Unit));
    this->addToGroup(Index, Chosen);
    this->StartedTasks += Chosen.size();
    this->Plan.Starts.push_back({Index, std::move(Chosen)});
  }

  void reserveFor(std::size_t Index, std::span<const std::string_view> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const std::size_t Limit =
        this->InService * MaxReservedPercent / WholePercent;
    if (this->ReservedCount >= Limit)
      return;
    std::optional<WorkerChoice> Chosen =
        this->findWorkers(Unit, Unit.ReservedWorkers);
    if (!Chosen)
      Chosen = this->planReservationFor(Unit, Racks);
    if (!Chosen)
      return;
    std::vector<std::size_t> Indices = *Chosen;
    std::ranges::sort(Indices);
    Indices.erase(std::unique(Indices.begin(), Indices.end()), Indices.end());
    if (this->ReservedCount + Indices.size() > Limit)
      return;
    this->ReservedCount += Indices.size();
    for (const std::size_t Worker : Indices)
      this->Workers[Worker].ReservedThisRound = true;
    this->MayHoldBack = true;
    this->Plan.Reservations.push_back({Index, std::move(Indices)});
  }

  std::optional<WorkerChoice>
  planReservationFor(const WaitingUnit &Unit,
                     std::span<const std::string_view> Racks) {
    if (!this->Releases)
      this->Releases = expectedReleases(this->Workers.size(), this->Placed);
    ++this->Plan.Searches;
    return planReservation(this->Workers, Unit, *this->Releases, Racks);
  }

  /// Returns the workers of earlier rounds by index, or nothing unless the unit
  /// may still use all of them.
  std::optional<WorkerChoice>
  findWorkers(const WaitingUnit &Unit, std::span<const std::string> Ids) const {
    WorkerChoice Chosen;
    for (const std::string &Id : Ids) {
      const auto Worker =
          std::ranges::find(this->Workers, Id, &PlacementWorker::Id);
      if (Worker == this->Workers.end() || !isEligible(*Worker, Unit))
        return std::nullopt;
      Chosen.push_back(
          static_cast<std::size_t>(Worker - this->Workers.begin()));
    }
    return Chosen.empty() ? std::nullopt : std::optional(Chosen);
  }

  /// Counts the chosen workers for later units of the same group.
  void addToGroup(std::size_t Index, const WorkerChoice &Chosen) {
    const WaitingUnit &Unit = this->Waiting[Index];
    if (Unit.Step->MaxPerWorker <= 0)
      return;
    for (std::size_t Next = Index + 1; Next < this->Waiting.size(); ++Next)
      if (this->Waiting[Next].Group == Unit.Group)
        for (const std::size_t Worker : Chosen)
          this->Waiting[Next].GroupWorkers.push_back(this->Workers[Worker].Id);
  }

  static void addExpectedCapacity(PlacementWorker &Worker,
                                  const Resources &PerTask) {
    Worker.FreeAfterStops = Worker.FreeAfterStops + PerTask;
    Worker.FreeAfterExpectedEnds = Worker.FreeAfterExpectedEnds + PerTask;
  }

  /// Returns whether preemptions make room for the unit.
  bool preemptFor(std::size_t Index, std::span<const std::string_view> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const std::span<const bool> StoppingNow(this->Stopping.get(),
                                            this->Placed.size());
    const std::optional<Preemption> Planned =
        planPreemption({this->Workers, this->Placed, StoppingNow, Unit,
                        this->mayReclaim(Unit), this->Guarantees},
                       Racks);
    if (!Planned)
      return false;
    for (const Victim &Stopped : Planned->Victims)
      this->stop(Stopped, Index);
    occupy(this->Workers, Planned->Chosen, countedDemand(*Unit.Step));
    this->Guarantees.claim(Unit.Workspace, acceleratorsOf(Unit));
    if (!Planned->Victims.empty())
      this->Plan.Claims.push_back({Index, Planned->Chosen});
    return true;
  }

  void stop(const Victim &Stopped, std::size_t Beneficiary) {
    const PlacedUnit &Other = this->Placed[Stopped.Placed];
    this->Stopping[Stopped.Placed] = true;
    this->Plan.Preemptions.push_back(
        {Stopped.Placed, Beneficiary, Stopped.Worker});
    if (Other.Priority == 0)
      this->Guarantees.use(Other.Workspace, -acceleratorsOf(Other));
    for (const std::size_t Worker : Other.WorkerIndices)
      this->addExpectedCapacity(this->Workers[Worker], Other.TaskResources);
    this->Finder.forgetLater();
  }

  WorkerSpan Workers;
  std::vector<WaitingUnit> Waiting;
  std::span<const PlacedUnit> Placed;
  std::unique_ptr<bool[]> Stopping;
  /// The claim of each waiting unit that has a valid one.
  std::vector<std::optional<WorkerChoice>> Held;
  GuaranteeLedger Guarantees;
  BlockedStep LastBlocked;
  std::size_t InService; ///< Workers outside evacuated domains.
  std::size_t ReservedCount = 0;
  std::size_t StartedTasks = 0;
  /// Some workers are reserved for other work, suspended or on probation.
  bool MayHoldBack = false;
  WorkerFinder Finder;
  /// What the placed units release; listed once it is asked for.
  std::optional<ReleasesByWorker> Releases;
  PlacementPlan Plan;
};

/// Drops the reservations for urgent work if more than half of the workers have
/// one.
void limitUrgentReservations(WorkerSpan Workers) {
  const auto Reserved =
      std::ranges::count_if(Workers, [](const PlacementWorker &Worker) {
        return Worker.ReservedForUrgent && !Worker.Evacuated;
      });
  if (static_cast<std::size_t>(Reserved) * 2 <= countInService(Workers))
    return;
  for (PlacementWorker &Worker : Workers)
    Worker.ReservedForUrgent = false;
}

} // namespace

PlacementPlan planPlacement(std::span<PlacementWorker> Workers,
                            std::span<const WaitingUnit> Waiting,
                            std::span<const PlacedUnit> Placed,
                            std::span<const GuaranteeUse> Guarantees) {
  limitUrgentReservations(Workers);
  return Round(Workers, Waiting, Placed, GuaranteeLedger(Guarantees)).run();
}

} // namespace pistachioflow
