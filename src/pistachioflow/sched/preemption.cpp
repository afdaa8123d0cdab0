#include "preemption.hpp"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace pistachioflow {

namespace {

/// Plans the preemptions for one unit.
class PreemptionPlanner {
public:
  explicit PreemptionPlanner(const PreemptionInputs &Inputs)
      : Inputs(Inputs), Workers(Inputs.Workers), Placed(Inputs.Placed),
        Unit(Inputs.Unit), PerTask(countedDemand(*Inputs.Unit.Step)),
        VictimsOn(Inputs.Workers.size()) {
    for (std::size_t Index = 0; Index < this->Placed.size(); ++Index) {
      if (Inputs.Stopping[Index] || !this->mayPreempt(this->Placed[Index]))
        continue;
      for (const std::size_t Worker : this->Placed[Index].WorkerIndices)
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
    const std::vector<std::size_t> Eligible = this->eligibleWorkers(Rack);
    std::vector<Resources> Available;
    for (const PlacementWorker &Worker : this->Workers)
      Available.push_back(this->Unit.WaitsForExpectedEnds
                              ? Worker.FreeAfterExpectedEnds
                              : Worker.FreeAfterStops);
    std::vector<std::int64_t> TasksOn(this->Workers.size(), 0);
    while (static_cast<std::int64_t>(Planned.Chosen.size()) <
           this->Unit.TaskCount)
      if (!this->placeTask(Eligible, Available, TasksOn, Planned))
        return std::nullopt;
    return Planned;
  }

private:
  struct Step {
    std::size_t Worker = 0;
    std::vector<Victim> Victims;
    double Cost = std::numeric_limits<double>::infinity();
    std::int64_t Leftover = 0;
  };

  bool mayPreempt(const PlacedUnit &Other) const {
    if (this->Unit.WaitsForExpectedEnds && Other.EndsSoon)
      return false;
    if (Other.Priority > this->Unit.Priority)
      return true;
    return Other.Priority == this->Unit.Priority && this->Inputs.MayReclaim &&
           Other.Workspace != this->Unit.Workspace &&
           this->Inputs.Guarantees.excess(Other.Workspace) > 0;
  }

  /// Whether the victim's workspace still exceeds its guarantee once the units
  /// planned before it are stopped. Work of lower priorities has no guarantee.
  bool exceedsGuarantee(std::size_t Index, const Preemption &Planned,
                        const Step &Partial) const {
    const PlacedUnit &Other = this->Placed[Index];
    if (Other.Priority > this->Unit.Priority)
      return true;
    std::int64_t Excess = this->Inputs.Guarantees.excess(Other.Workspace);
    for (const std::vector<Victim> *Earlier :
         {&Planned.Victims, &Partial.Victims})
      for (const Victim &Stopped : *Earlier) {
        const PlacedUnit &Before = this->Placed[Stopped.Placed];
        if (Before.Workspace == Other.Workspace &&
            Before.Priority == Other.Priority)
          Excess -= acceleratorsOf(Before);
      }
    return Excess > 0;
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

  Resources freedOn(const PlacedUnit &Stopped, std::size_t Worker) const {
    Resources Freed;
    for (const std::size_t Index : Stopped.WorkerIndices)
      if (Index == Worker)
        Freed = Freed + Stopped.TaskResources;
    return Freed;
  }

  Step cheapestOn(std::size_t Worker, Resources Available,
                  const Preemption &Planned) const {
    Step Result{Worker};
    double Cost = 0;
    for (const std::size_t Index : this->VictimsOn[Worker]) {
      if (fittingTasks(Available, this->PerTask) > 0)
        break;
      const bool AlreadyStopped =
          std::ranges::find(Planned.Victims, Index, &Victim::Placed) !=
          Planned.Victims.end();
      if (AlreadyStopped || !this->exceedsGuarantee(Index, Planned, Result))
        continue;
      Available = Available + this->freedOn(this->Placed[Index], Worker);
      Cost += this->cost(Index);
      Result.Victims.push_back({Index, Worker});
    }
    if (fittingTasks(Available, this->PerTask) <= 0)
      return Result;
    Result.Cost =
        Cost + (isAvoided(this->Workers[Worker], this->Unit) ? 1e6 : 0);
    Result.Leftover = Available.Accelerators - this->PerTask.Accelerators;
    return Result;
  }

  /// Returns the workers that the unit may use; an empty rack means all racks.
  std::vector<std::size_t> eligibleWorkers(std::string_view Rack) const {
    std::vector<std::size_t> Eligible;
    for (std::size_t Worker = 0; Worker < this->Workers.size(); ++Worker)
      if ((Rack.empty() || this->Workers[Worker].Rack == Rack) &&
          isEligible(this->Workers[Worker], this->Unit))
        Eligible.push_back(Worker);
    return Eligible;
  }

  bool placeTask(std::span<const std::size_t> Eligible,
                 std::vector<Resources> &Available,
                 std::vector<std::int64_t> &TasksOn,
                 Preemption &Planned) const {
    Step Best;
    for (const std::size_t Worker : Eligible) {
      if (TasksOn[Worker] >= spreadLimit(this->Workers[Worker], this->Unit))
        continue;
      Step Result = this->cheapestOn(Worker, Available[Worker], Planned);
      if (Result.Cost < Best.Cost ||
          (Result.Cost == Best.Cost && Result.Leftover < Best.Leftover))
        Best = std::move(Result);
    }
    if (Best.Cost == std::numeric_limits<double>::infinity())
      return false;
    for (const Victim &Stopped : Best.Victims) {
      Planned.Victims.push_back(Stopped);
      const PlacedUnit &Other = this->Placed[Stopped.Placed];
      for (const std::size_t Index : Other.WorkerIndices)
        Available[Index] = Available[Index] + Other.TaskResources;
    }
    Available[Best.Worker] = Available[Best.Worker] - this->PerTask;
    ++TasksOn[Best.Worker];
    Planned.Chosen.push_back(Best.Worker);
    Planned.Cost += Best.Cost;
    return true;
  }

  const PreemptionInputs &Inputs;
  std::span<const PlacementWorker> Workers;
  std::span<const PlacedUnit> Placed;
  const WaitingUnit &Unit;
  Resources PerTask;
  std::vector<std::vector<std::size_t>> VictimsOn;
};

} // namespace

std::int64_t acceleratorsOf(const PlacedUnit &Unit) {
  return Unit.TaskResources.Accelerators *
         static_cast<std::int64_t>(Unit.WorkerIndices.size());
}

std::optional<Preemption>
planPreemption(const PreemptionInputs &Inputs,
               std::span<const std::string_view> Racks) {
  const PreemptionPlanner Planner(Inputs);
  if (Racks.empty())
    return Planner.plan({});
  std::optional<Preemption> Best;
  for (const std::string_view Rack : Racks) {
    std::optional<Preemption> Planned = Planner.plan(Rack);
    if (Planned && (!Best || Planned->Cost < Best->Cost))
      Best = std::move(Planned);
  }
  return Best;
}

} // namespace pistachioflow
