#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// Workers for a unit by index, one for each task.
using WorkerChoice = std::vector<std::size_t>;

/// A worker and the number of the unit's tasks that fit on it.
struct CandidateWorker {
  std::size_t Worker = 0;
  std::int64_t Tasks = 0;
  std::int64_t Leftover = 0; ///< Free accelerators after one task.
  std::int64_t LeftoverCores = 0;
  bool Avoided = false;
  int PaceClass = 0; ///< See paceClass().
};

/// Resources that one task of the step takes from a worker's capacity.
Resources countedDemand(const StepSpec &Step);

/// Whether the unit may use the worker in this round.
bool isEligible(const PlacementWorker &Worker, const WaitingUnit &Unit);

/// Whether the unit should use the worker only where no other fits.
bool isAvoided(const PlacementWorker &Worker, const WaitingUnit &Unit);

/// Returns how slowly the worker would run the unit, in steps that are worth a
/// looser fit; lower is better.
///
/// Load pattern: urgent gangs among workers that differ in speed. A gang ends
/// with its slowest member, so that one slow worker makes all of it late.
int paceClass(const PlacementWorker &Worker, const WaitingUnit &Unit);

/// How many more tasks the step's limit allows on a worker.
std::int64_t spreadLimit(const PlacementWorker &Worker,
                         const WaitingUnit &Unit);

/// Returns the eligible workers where at least one task fits into \p Free, the
/// tightest fit first.
std::vector<CandidateWorker>
findCandidates(std::span<const PlacementWorker> Workers,
               const WaitingUnit &Unit, Resources PlacementWorker::*Free);

/// Returns the racks a unit may use, by name. Empty means any worker.
std::vector<std::string_view>
allowedRacks(std::span<const PlacementWorker> Workers, const WaitingUnit &Unit);

/// What a search among all workers found.
struct WorkerSearch {
  std::optional<WorkerChoice> Choice;
  /// How many tasks fit on all workers together, and on the best of the racks
  /// that were named. No more than the unit has are counted on a worker.
  std::int64_t Fitting = 0;
  std::int64_t OnOneRack = 0;
};

/// Looks for workers by one of their free amounts. Of several possible racks,
/// prefers the one whose slowest chosen worker is fastest, then the one with
/// room for the fewest of these tasks.
WorkerSearch searchWorkers(std::span<const PlacementWorker> Workers,
                           const WaitingUnit &Unit,
                           std::span<const std::string_view> Racks,
                           Resources PlacementWorker::*Free);

/// As searchWorkers(), but returns the choice only.
std::optional<WorkerChoice>
chooseWorkers(std::span<const PlacementWorker> Workers, const WaitingUnit &Unit,
              std::span<const std::string_view> Racks,
              Resources PlacementWorker::*Free);

} // namespace pistachioflow
