#include "candidate_workers.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace pistachioflow {

namespace {

using WorkerSpan = std::span<const PlacementWorker>;

/// No more tasks than these count on one worker where workers are added up.
/// Tasks that ask for nothing fit any number of times.
constexpr std::int64_t MaxCountedTasks = 1'000'000;

std::int64_t tasksFor(const PlacementWorker &Worker, const WaitingUnit &Unit,
                      const Resources &Available) {
  const std::int64_t Fitting =
      std::min(fittingTasks(Available, countedDemand(*Unit.Step)),
               spreadLimit(Worker, Unit));
  const bool OneByOne = Worker.OnProbation && !Unit.AcceptsSuspended;
  return OneByOne ? std::min<std::int64_t>(Fitting, 1) : Fitting;
}

bool betterCandidate(const CandidateWorker &Left,
                     const CandidateWorker &Right) {
  if (Left.Avoided != Right.Avoided)
    return !Left.Avoided;
  if (Left.PaceClass != Right.PaceClass)
    return Left.PaceClass < Right.PaceClass;
  if (Left.Leftover != Right.Leftover)
    return Left.Leftover < Right.Leftover;
  return Left.LeftoverCores < Right.LeftoverCores;
}

/// Returns the eligible workers where at least one task fits, in the order of
/// the workers.
std::vector<CandidateWorker>
collectCandidates(WorkerSpan Workers, const WaitingUnit &Unit,
                  Resources PlacementWorker::*Free) {
  std::vector<CandidateWorker> Result;
  for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
    const PlacementWorker &Worker = Workers[Index];
    if (!isEligible(Worker, Unit))
      continue;
    const Resources &Available = Worker.*Free;
    const std::int64_t Tasks = tasksFor(Worker, Unit, Available);
    if (Tasks <= 0)
      continue;
    const Resources &PerTask = Unit.Step->TaskResources;
    Result.push_back({Index, Tasks,
                      Available.Accelerators - PerTask.Accelerators,
                      Available.MilliCores - PerTask.MilliCores,
                      isAvoided(Worker, Unit), paceClass(Worker, Unit)});
  }
  return Result;
}

/// Whether a task of the unit would fit on an empty worker of the rack.
bool hasEligibleWorker(WorkerSpan Workers, const WaitingUnit &Unit,
                       std::string_view Rack) {
  return std::ranges::any_of(Workers, [&](const PlacementWorker &Worker) {
    return Worker.Rack == Rack && isEligible(Worker, Unit) &&
           tasksFor(Worker, Unit, Worker.Capacity) > 0;
  });
}

/// Returns how many of \p Tasks tasks fit, counted up to that many on each
/// worker.
std::int64_t countFitting(std::span<const CandidateWorker> Candidates,
                          std::int64_t Tasks) {
  std::int64_t Fitting = 0;
  for (const CandidateWorker &Entry : Candidates)
    Fitting += std::min(Entry.Tasks, Tasks);
  return Fitting;
}

/// Assigns tasks to the best candidates until every task has a worker. Sorts
/// only where it has to: most units of a full queue don't fit.
std::optional<WorkerChoice> fill(std::vector<CandidateWorker> Candidates,
                                 std::int64_t Tasks) {
  if (countFitting(Candidates, Tasks) < Tasks)
    return std::nullopt;
  if (Tasks == 1)
    return WorkerChoice{
        std::ranges::min_element(Candidates, betterCandidate)->Worker};
  std::ranges::stable_sort(Candidates, betterCandidate);
  WorkerChoice Chosen;
  for (const CandidateWorker &Entry : Candidates) {
    const std::int64_t Missing =
        Tasks - static_cast<std::int64_t>(Chosen.size());
    const std::int64_t Added = std::min(Missing, Entry.Tasks);
    Chosen.insert(Chosen.end(), static_cast<std::size_t>(Added), Entry.Worker);
  }
  return Chosen;
}

/// Returns the pace class of the slowest chosen worker.
int slowestClass(WorkerSpan Workers, const WaitingUnit &Unit,
                 const WorkerChoice &Chosen) {
  int Slowest = std::numeric_limits<int>::min();
  for (const std::size_t Worker : Chosen)
    Slowest = std::max(Slowest, paceClass(Workers[Worker], Unit));
  return Slowest;
}

} // namespace

int paceClass(const PlacementWorker &Worker, const WaitingUnit &Unit) {
  /// Smaller differences in speed are worth less than a tight fit.
  constexpr double Step = 0.15;
  if (Unit.Pace == PacePreference::None)
    return 0;
  double Slowdown = 0;
  for (std::size_t Kind = 0; Kind < Unit.SlowdownsBeside.size(); ++Kind)
    if ((Worker.KindsThere & bitOfKind(Kind)) != 0)
      Slowdown += Unit.SlowdownsBeside[Kind];
  const int Beside = static_cast<int>(std::lround(Slowdown / Step));
  const int Pace = static_cast<int>(std::lround(Worker.LogPace / Step));
  return Unit.Pace == PacePreference::Fastest ? Beside - Pace
                                              : Beside + std::max(Pace, 0);
}

Resources countedDemand(const StepSpec &Step) {
  Resources PerTask = Step.TaskResources;
  if (Step.FillsIdleCpu)
    PerTask.MilliCores = 0;
  return PerTask;
}

bool isEligible(const PlacementWorker &Worker, const WaitingUnit &Unit) {
  if (Worker.ReservedThisRound && !Unit.IgnoresReservations)
    return false;
  const bool NonUrgentSingleTask = Unit.Priority > 0 && Unit.TaskCount == 1;
  if (Worker.ReservedForUrgent && NonUrgentSingleTask && !Unit.AcceptsAnyWorker)
    return false;
  return mayHost(Worker, Unit);
}

bool isAvoided(const PlacementWorker &Worker, const WaitingUnit &Unit) {
  if (Unit.LastAttempt && !Worker.Verified)
    return true;
  if (Worker.ReservedForGroup != NoGroup &&
      Worker.ReservedForGroup != Unit.Group)
    return true;
  if (Worker.Suspended || Worker.HostsSuspect ||
      (Unit.Suspect && Worker.Occupied))
    return true;
  return Worker.Deprioritized ||
         (Unit.AvoidedWorkers && Unit.AvoidedWorkers->contains(Worker.Id));
}

std::int64_t spreadLimit(const PlacementWorker &Worker,
                         const WaitingUnit &Unit) {
  if (Unit.Step->MaxPerWorker <= 0)
    return UnlimitedTasks;
  const auto Running = std::ranges::count(Unit.GroupWorkers, Worker.Id);
  return std::max<std::int64_t>(Unit.Step->MaxPerWorker - Running, 0);
}

std::vector<CandidateWorker> findCandidates(WorkerSpan Workers,
                                            const WaitingUnit &Unit,
                                            Resources PlacementWorker::*Free) {
  std::vector<CandidateWorker> Result = collectCandidates(Workers, Unit, Free);
  std::ranges::stable_sort(Result, betterCandidate);
  return Result;
}

std::vector<std::string_view> allowedRacks(WorkerSpan Workers,
                                           const WaitingUnit &Unit) {
  const bool OneRack =
      Unit.Step->Gang && Unit.Step->TightlyCoupled && Unit.TaskCount > 1;
  if (!OneRack && Unit.Step->DataRack.empty())
    return {};
  if (!Unit.Step->Gang)
    return hasEligibleWorker(Workers, Unit, Unit.Step->DataRack)
               ? std::vector<std::string_view>{Unit.Step->DataRack}
               : std::vector<std::string_view>{};
  std::map<std::string_view, std::int64_t> TasksByRack;
  for (const PlacementWorker &Worker : Workers)
    if (isEligible(Worker, Unit))
      TasksByRack[Worker.Rack] +=
          std::min(tasksFor(Worker, Unit, Worker.Capacity), Unit.TaskCount);
  const std::string &DataRack = Unit.Step->DataRack;
  const auto Data = TasksByRack.find(DataRack);
  const bool DataRackFits = !DataRack.empty() && Data != TasksByRack.end() &&
                            Data->second >= Unit.TaskCount;
  if (DataRackFits)
    return {DataRack};
  if (!OneRack)
    return {};
  std::vector<std::string_view> Racks;
  for (const auto &[Rack, Tasks] : TasksByRack)
    if (Tasks >= Unit.TaskCount)
      Racks.push_back(Rack);
  return Racks;
}

WorkerSearch searchWorkers(WorkerSpan Workers, const WaitingUnit &Unit,
                           std::span<const std::string_view> Racks,
                           Resources PlacementWorker::*Free) {
  std::vector<CandidateWorker> All = collectCandidates(Workers, Unit, Free);
  WorkerSearch Found;
  Found.Fitting = countFitting(All, Unit.TaskCount);
  if (Racks.empty()) {
    Found.Choice = fill(std::move(All), Unit.TaskCount);
    return Found;
  }
  std::map<std::string_view, std::vector<CandidateWorker>> ByRack;
  for (const CandidateWorker &Entry : All)
    ByRack[Workers[Entry.Worker].Rack].push_back(Entry);
  std::int64_t LeastFreeTasks = UnlimitedTasks;
  int BestPace = std::numeric_limits<int>::max();
  std::int64_t FewestAvoided = UnlimitedTasks;
  for (const std::string_view Rack : Racks) {
    std::vector<CandidateWorker> &Inside = ByRack[Rack];
    const std::int64_t Fitting = countFitting(Inside, Unit.TaskCount);
    Found.OnOneRack = std::max(Found.OnOneRack, Fitting);
    std::int64_t FreeTasks = 0;
    for (const CandidateWorker &Entry : Inside)
      FreeTasks += std::min(Entry.Tasks, MaxCountedTasks) +
                   (Entry.Avoided ? Unit.TaskCount : 0);
    if (Fitting < Unit.TaskCount)
      continue;
    const bool ByPace = Unit.Pace != PacePreference::None;
    if (!ByPace && FreeTasks >= LeastFreeTasks)
      continue;
    WorkerChoice Chosen = *fill(std::move(Inside), Unit.TaskCount);
    const int Pace = slowestClass(Workers, Unit, Chosen);
    const auto Avoided = std::ranges::count_if(Chosen, [&](std::size_t Worker) {
      return isAvoided(Workers[Worker], Unit);
    });
    if (ByPace && std::make_tuple(Avoided, Pace, FreeTasks) >=
                      std::make_tuple(FewestAvoided, BestPace, LeastFreeTasks))
      continue;
    Found.Choice = std::move(Chosen);
    BestPace = Pace;
    FewestAvoided = Avoided;
    LeastFreeTasks = FreeTasks;
  }
  return Found;
}

std::optional<WorkerChoice>
chooseWorkers(WorkerSpan Workers, const WaitingUnit &Unit,
              std::span<const std::string_view> Racks,
              Resources PlacementWorker::*Free) {
  return searchWorkers(Workers, Unit, Racks, Free).Choice;
}

} // namespace pistachioflow
