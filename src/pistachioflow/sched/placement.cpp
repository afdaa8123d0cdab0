#include "pistachioflow/sched/placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "pistachioflow/sched/reservation.hpp"

namespace pistachioflow {

namespace {

/// Share of the workers that may be reserved for waiting gangs.
constexpr std::size_t MaxReservedPercent = 40;
constexpr std::size_t WholePercent = 100;

using WorkerSpan = std::span<PlacementWorker>;
using Choice = std::vector<std::size_t>;

Resources countedDemand(const StepSpec &Step) {
  Resources PerTask = Step.TaskResources;
  if (Step.FillsIdleCpu)
    PerTask.MilliCores = 0;
  return PerTask;
}

bool eligible(const PlacementWorker &Worker, const WaitingUnit &Unit) {
  const bool NonUrgentSingleTask = Unit.Priority > 0 && Unit.TaskCount == 1;
  if (Worker.ReservedForUrgent && NonUrgentSingleTask)
    return false;
  return !Worker.ReservedThisRound && mayHost(Worker, Unit);
}

bool avoided(const PlacementWorker &Worker, const WaitingUnit &Unit) {
  if (Unit.LastAttempt && !Worker.Verified)
    return true;
  if (Worker.ReservedForGroup != NoGroup &&
      Worker.ReservedForGroup != Unit.Group)
    return true;
  return Worker.Deprioritized ||
         (Unit.AvoidedWorkers && Unit.AvoidedWorkers->contains(Worker.Id));
}

/// How many more tasks the step's limit allows on a worker.
std::int64_t spreadLimit(const PlacementWorker &Worker,
                         const WaitingUnit &Unit) {
  if (Unit.Step->MaxPerWorker <= 0)
    return UnlimitedTasks;
  const auto Running = std::ranges::count(Unit.GroupWorkers, Worker.Id);
  return std::max<std::int64_t>(Unit.Step->MaxPerWorker - Running, 0);
}

std::int64_t tasksFor(const PlacementWorker &Worker, const WaitingUnit &Unit,
                      const Resources &Available) {
  const std::int64_t Fitting =
      std::min(fittingTasks(Available, countedDemand(*Unit.Step)),
               spreadLimit(Worker, Unit));
  return Worker.OnProbation ? std::min<std::int64_t>(Fitting, 1) : Fitting;
}

/// A worker and the number of the unit's tasks that fit on it.
struct Candidate {
  std::size_t Worker = 0;
  std::int64_t Tasks = 0;
  std::int64_t Leftover = 0; ///< Free accelerators after one task.
  std::int64_t LeftoverCores = 0;
  bool Avoided = false;
};

bool betterCandidate(const Candidate &Left, const Candidate &Right) {
  if (Left.Avoided != Right.Avoided)
    return !Left.Avoided;
  if (Left.Leftover != Right.Leftover)
    return Left.Leftover < Right.Leftover;
  return Left.LeftoverCores < Right.LeftoverCores;
}

std::vector<Candidate> candidates(WorkerSpan Workers, const WaitingUnit &Unit,
                                  Resources PlacementWorker::*Free) {
  std::vector<Candidate> Result;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
    const PlacementWorker &Worker = Workers[Index];
    if (!eligible(Worker, Unit))
      continue;
    const Resources &Available = Worker.*Free;
    const std::int64_t Tasks = tasksFor(Worker, Unit, Available);
    if (Tasks <= 0)
      continue;
    const Resources &PerTask = Unit.Step->TaskResources;
    Result.push_back(
        {Index, Tasks, Available.Accelerators - PerTask.Accelerators,
         Available.MilliCores - PerTask.MilliCores, avoided(Worker, Unit)});
  }
  std::ranges::stable_sort(Result, betterCandidate);
  return Result;
}

/// Assigns tasks to the candidates in order until every task has a worker.
std::optional<Choice> fill(std::span<const Candidate> Candidates,
                           std::int64_t Tasks) {
  Choice Chosen;
  for (const Candidate &Entry : Candidates) {
    const std::int64_t Missing =
        Tasks - static_cast<std::int64_t>(Chosen.size());
    const std::int64_t Added = std::min(Missing, Entry.Tasks);
    Chosen.insert(Chosen.end(), static_cast<std::size_t>(Added), Entry.Worker);
    if (static_cast<std::int64_t>(Chosen.size()) == Tasks)
      return Chosen;
  }
  return std::nullopt;
}

/// Returns the racks a unit may use, by name. Empty means any worker.
std::vector<std::string> allowedRacks(WorkerSpan Workers,
                                      const WaitingUnit &Unit) {
  std::map<std::string, std::int64_t> TasksByRack;
  for (const PlacementWorker &Worker : Workers)
    if (eligible(Worker, Unit))
      TasksByRack[Worker.Rack] += tasksFor(Worker, Unit, Worker.Capacity);
  const std::string &DataRack = Unit.Step->DataRack;
  const auto Data = TasksByRack.find(DataRack);
  const bool DataRackExists =
      !DataRack.empty() && Data != TasksByRack.end() && Data->second > 0;
  if (DataRackExists && (!Unit.Step->Gang || Data->second >= Unit.TaskCount))
    return {DataRack};
  const bool OneRack =
      Unit.Step->Gang && Unit.Step->TightlyCoupled && Unit.TaskCount > 1;
  if (!OneRack)
    return {};
  std::vector<std::string> Racks;
  for (const auto &[Rack, Tasks] : TasksByRack)
    if (Tasks >= Unit.TaskCount)
      Racks.push_back(Rack);
  return Racks;
}

/// Chooses workers by one of their free amounts. Of several possible racks,
/// prefers the one with room for the fewest of these tasks.
std::optional<Choice> choose(WorkerSpan Workers, const WaitingUnit &Unit,
                             std::span<const std::string> Racks,
                             Resources PlacementWorker::*Free) {
  const std::vector<Candidate> All = candidates(Workers, Unit, Free);
  if (Racks.empty())
    return fill(All, Unit.TaskCount);
  std::optional<Choice> Best;
  std::int64_t LeastFreeTasks = UnlimitedTasks;
  for (const std::string &Rack : Racks) {
    std::vector<Candidate> Inside;
    std::int64_t FreeTasks = 0;
    for (const Candidate &Entry : All) {
      if (Workers[Entry.Worker].Rack != Rack)
        continue;
      Inside.push_back(Entry);
      FreeTasks += Entry.Tasks + (Entry.Avoided ? Unit.TaskCount : 0);
    }
    std::optional<Choice> Chosen = fill(Inside, Unit.TaskCount);
    if (!Chosen || FreeTasks >= LeastFreeTasks)
      continue;
    Best = std::move(Chosen);
    LeastFreeTasks = FreeTasks;
  }
  return Best;
}

void occupy(WorkerSpan Workers, const Choice &Chosen,
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

/// Units to preempt for one unit, the workers it would use, and the cost.
struct Preemption {
  Choice Chosen;
  std::vector<std::size_t> Victims;
  double Cost = 0;
};

/// Plans the preemptions for one unit.
class PreemptionPlanner {
public:
  PreemptionPlanner(WorkerSpan Workers, std::span<const PlacedUnit> Placed,
                    std::span<const bool> Stopping, const WaitingUnit &Unit)
      : Workers(Workers), Placed(Placed), Unit(Unit),
        PerTask(countedDemand(*Unit.Step)), VictimsOn(Workers.size()) {
    for (std::size_t Index = 0; Index < Placed.size(); ++Index) {
      if (Stopping[Index] || !this->mayPreempt(Placed[Index]))
        continue;
      for (const std::size_t Worker : Placed[Index].WorkerIndices)
        if (this->VictimsOn[Worker].empty() ||
            this->VictimsOn[Worker].back() != Index)
          this->VictimsOn[Worker].push_back(Index);
    }
    for (auto &Victims : this->VictimsOn)
      std::ranges::stable_sort(
          Victims, {}, [this](std::size_t Index) { return this->cost(Index); });
  }

  /// Finds a cheap set of preemptions on workers of \p Rack, task by task;
  /// empty means any rack.
  std::optional<Preemption> plan(std::string_view Rack) const {
    Preemption Planned;
    std::vector<Resources> Available;
    for (const PlacementWorker &Worker : this->Workers)
      Available.push_back(this->Unit.WaitsForExpectedEnds
                              ? Worker.FreeAfterExpectedEnds
                              : Worker.FreeAfterStops);
    std::vector<std::int64_t> TasksOn(this->Workers.size(), 0);
    while (static_cast<std::int64_t>(Planned.Chosen.size()) <
           this->Unit.TaskCount)
      if (!this->placeTask(Rack, Available, TasksOn, Planned))
        return std::nullopt;
    return Planned;
  }

private:
  struct Step {
    std::size_t Worker = 0;
    std::vector<std::size_t> Victims;
    double Cost = std::numeric_limits<double>::infinity();
    std::int64_t Leftover = 0;
  };

  bool mayPreempt(const PlacedUnit &Other) const {
    if (this->Unit.WaitsForExpectedEnds && Other.EndsSoon)
      return false;
    if (Other.Priority > this->Unit.Priority)
      return true;
    return Other.Priority == this->Unit.Priority && this->Unit.MayReclaim &&
           Other.BeyondGuarantee && Other.Workspace != this->Unit.Workspace;
  }

  /// Cost of preempting a unit. Each task adds to it, even before work would be
  /// lost.
  double cost(std::size_t Index) const {
    constexpr double CostPerTask = 1.0;
    // Units of the same priority are preempted only as a last resort.
    constexpr double SamePriorityCost = 1e6;
    const PlacedUnit &Other = this->Placed[Index];
    const bool Same = Other.Priority == this->Unit.Priority;
    return (Same ? SamePriorityCost : 0) + Other.LostWork +
           CostPerTask * static_cast<double>(Other.WorkerIndices.size());
  }

  Resources freedOn(std::size_t Victim, std::size_t Worker) const {
    Resources Freed;
    for (const std::size_t Index : this->Placed[Victim].WorkerIndices)
      if (Index == Worker)
        Freed = Freed + this->Placed[Victim].TaskResources;
    return Freed;
  }

  Step cheapestOn(std::size_t Worker, Resources Available,
                  const Preemption &Planned) const {
    Step Result{Worker};
    double Cost = 0;
    for (const std::size_t Victim : this->VictimsOn[Worker]) {
      if (fittingTasks(Available, this->PerTask) > 0)
        break;
      if (std::ranges::find(Planned.Victims, Victim) != Planned.Victims.end())
        continue;
      Available = Available + this->freedOn(Victim, Worker);
      Cost += this->cost(Victim);
      Result.Victims.push_back(Victim);
    }
    if (fittingTasks(Available, this->PerTask) <= 0)
      return Result;
    Result.Cost = Cost + (avoided(this->Workers[Worker], this->Unit) ? 1e6 : 0);
    Result.Leftover = Available.Accelerators - this->PerTask.Accelerators;
    return Result;
  }

  bool placeTask(std::string_view Rack, std::vector<Resources> &Available,
                 std::vector<std::int64_t> &TasksOn,
                 Preemption &Planned) const {
    Step Best;
    for (std::size_t Worker = 0; Worker < this->Workers.size(); ++Worker) {
      const bool Allowed =
          eligible(this->Workers[Worker], this->Unit) &&
          (Rack.empty() || this->Workers[Worker].Rack == Rack) &&
          TasksOn[Worker] < spreadLimit(this->Workers[Worker], this->Unit);
      if (!Allowed)
        continue;
      Step Result = this->cheapestOn(Worker, Available[Worker], Planned);
      if (Result.Cost < Best.Cost ||
          (Result.Cost == Best.Cost && Result.Leftover < Best.Leftover))
        Best = std::move(Result);
    }
    if (Best.Cost == std::numeric_limits<double>::infinity())
      return false;
    for (const std::size_t Victim : Best.Victims) {
      Planned.Victims.push_back(Victim);
      for (const std::size_t Index : this->Placed[Victim].WorkerIndices)
        Available[Index] =
            Available[Index] + this->Placed[Victim].TaskResources;
    }
    Available[Best.Worker] = Available[Best.Worker] - this->PerTask;
    ++TasksOn[Best.Worker];
    Planned.Chosen.push_back(Best.Worker);
    Planned.Cost += Best.Cost;
    return true;
  }

  WorkerSpan Workers;
  std::span<const PlacedUnit> Placed;
  const WaitingUnit &Unit;
  Resources PerTask;
  std::vector<std::vector<std::size_t>> VictimsOn;
};

std::optional<Preemption>
cheapestPreemption(const PreemptionPlanner &Planner,
                   std::span<const std::string> Racks) {
  if (Racks.empty())
    return Planner.plan({});
  std::optional<Preemption> Best;
  for (const std::string &Rack : Racks) {
    std::optional<Preemption> Planned = Planner.plan(Rack);
    if (Planned && (!Best || Planned->Cost < Best->Cost))
      Best = std::move(Planned);
  }
  return Best;
}

/// One placement round. Updates the free amounts of the workers as it goes.
class Round {
public:
  Round(WorkerSpan Workers, std::span<const WaitingUnit> Waiting,
        std::span<const PlacedUnit> Placed)
      : Workers(Workers), Waiting(Waiting.begin(), Waiting.end()),
        Placed(Placed), Stopping(std::make_unique<bool[]>(Placed.size())) {
    for (std::size_t Index = 0; Index < Placed.size(); ++Index)
      this->Stopping[Index] = Placed[Index].Stopping;
  }

  PlacementPlan run() {
    for (std::size_t Index = 0; Index < this->Waiting.size(); ++Index) {
      const WaitingUnit &Unit = this->Waiting[Index];
      // Tasks of a group are identical: if one is blocked, all are.
      if (Unit.Group == this->BlockedGroup)
        continue;
      if (!this->tryPlace(Index)) {
        this->Plan.Blocked.push_back(Index);
        if (!Unit.Step->Gang && Unit.Priority > 0)
          this->BlockedGroup = Unit.Group;
      }
    }
    return std::move(this->Plan);
  }

private:
  /// Returns whether the unit starts now.
  bool tryPlace(std::size_t Index) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const Resources PerTask = countedDemand(*Unit.Step);
    const std::vector<std::string> Racks = allowedRacks(this->Workers, Unit);
    if (auto Chosen =
            choose(this->Workers, Unit, Racks, &PlacementWorker::FreeNow)) {
      occupy(this->Workers, *Chosen, PerTask);
      this->addToGroup(Index, *Chosen);
      this->Plan.Starts.push_back({Index, std::move(*Chosen)});
      return true;
    }
    if (auto Later = choose(this->Workers, Unit, Racks,
                            &PlacementWorker::FreeAfterStops)) {
      occupy(this->Workers, *Later, PerTask);
      return false;
    }
    if (Unit.WaitsForExpectedEnds) {
      const auto Wait = choose(this->Workers, Unit, Racks,
                               &PlacementWorker::FreeAfterExpectedEnds);
      if (Wait) {
        occupy(this->Workers, *Wait, PerTask);
        return false;
      }
    }
    if (Unit.Priority == 0)
      this->preemptFor(Index, Racks);
    else if (Unit.TaskCount > 1)
      this->reserveFor(Index, Racks);
    return false;
  }

  void reserveFor(std::size_t Index, std::span<const std::string> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    std::optional<Choice> Chosen = this->earlierReservation(Unit);
    if (!Chosen)
      Chosen = planReservation(this->Workers, Unit, this->Placed, Racks);
    if (!Chosen)
      return;
    std::vector<std::size_t> Indices = *Chosen;
    std::ranges::sort(Indices);
    Indices.erase(std::unique(Indices.begin(), Indices.end()), Indices.end());
    const std::size_t Limit =
        this->Workers.size() * MaxReservedPercent / WholePercent;
    if (this->ReservedCount + Indices.size() > Limit)
      return;
    this->ReservedCount += Indices.size();
    for (const std::size_t Worker : Indices)
      this->Workers[Worker].ReservedThisRound = true;
    this->Plan.Reservations.push_back({Index, std::move(Indices)});
  }

  /// Returns the workers reserved by earlier rounds, if all of them are still
  /// eligible.
  std::optional<Choice> earlierReservation(const WaitingUnit &Unit) const {
    Choice Chosen;
    for (const std::string &Id : Unit.ReservedWorkers) {
      const auto Worker =
          std::ranges::find(this->Workers, Id, &PlacementWorker::Id);
      if (Worker == this->Workers.end() || !eligible(*Worker, Unit))
        return std::nullopt;
      Chosen.push_back(
          static_cast<std::size_t>(Worker - this->Workers.begin()));
    }
    return Chosen.empty() ? std::nullopt : std::optional(Chosen);
  }

  /// Counts the chosen workers for later units of the same group.
  void addToGroup(std::size_t Index, const Choice &Chosen) {
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

  void preemptFor(std::size_t Index, std::span<const std::string> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const PreemptionPlanner Planner(
        this->Workers, this->Placed,
        std::span<const bool>(this->Stopping.get(), this->Placed.size()), Unit);
    const std::optional<Preemption> Planned =
        cheapestPreemption(Planner, Racks);
    if (!Planned)
      return;
    for (const std::size_t Victim : Planned->Victims) {
      this->Stopping[Victim] = true;
      this->Plan.Preemptions.push_back({Victim, Index});
      for (const std::size_t Worker : this->Placed[Victim].WorkerIndices)
        this->addExpectedCapacity(this->Workers[Worker],
                                  this->Placed[Victim].TaskResources);
    }
    occupy(this->Workers, Planned->Chosen, countedDemand(*Unit.Step));
  }

  WorkerSpan Workers;
  std::vector<WaitingUnit> Waiting;
  std::span<const PlacedUnit> Placed;
  std::unique_ptr<bool[]> Stopping;
  std::size_t BlockedGroup = NoGroup;
  std::size_t ReservedCount = 0;
  PlacementPlan Plan;
};

} // namespace

std::optional<std::size_t>
planReplacement(std::span<PlacementWorker> Workers, const WaitingUnit &Gang,
                std::span<const std::string> OtherRacks) {
  const bool OneRack = Gang.Step->TightlyCoupled && !OtherRacks.empty();
  const bool NearData =
      !Gang.Step->DataRack.empty() &&
      std::ranges::find(OtherRacks, Gang.Step->DataRack) != OtherRacks.end();
  for (const Candidate &Entry :
       candidates(Workers, Gang, &PlacementWorker::FreeNow)) {
    const std::string &Rack = Workers[Entry.Worker].Rack;
    const bool Allowed = (!OneRack || Rack == OtherRacks.front()) &&
                         (!NearData || Rack == Gang.Step->DataRack);
    if (Allowed && !Entry.Avoided)
      return Entry.Worker;
  }
  return std::nullopt;
}

namespace {

/// Drops the reservations for urgent work if more than half of the workers have
/// one.
void limitUrgentReservations(WorkerSpan Workers) {
  const auto Reserved =
      std::ranges::count_if(Workers, &PlacementWorker::ReservedForUrgent);
  if (static_cast<std::size_t>(Reserved) * 2 <= Workers.size())
    return;
  for (PlacementWorker &Worker : Workers)
    Worker.ReservedForUrgent = false;
}

} // namespace

PlacementPlan planPlacement(std::span<PlacementWorker> Workers,
                            std::span<const WaitingUnit> Waiting,
                            std::span<const PlacedUnit> Placed) {
  limitUrgentReservations(Workers);
  return Round(Workers, Waiting, Placed).run();
}

} // namespace pistachioflow
