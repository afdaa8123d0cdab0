#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "candidate_workers.hpp"
#include "pistachioflow/sched/guarantee_ledger.hpp"
#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// A placed unit to preempt, and the worker it is preempted for, by index.
struct Victim {
  std::size_t Placed = 0;
  std::size_t Worker = 0;
};

/// Units to preempt for one unit, the workers it would use, and the cost.
struct Preemption {
  WorkerChoice Chosen;
  std::vector<Victim> Victims;
  double Cost = 0;
};

/// What a preemption is planned from. The referred objects must outlive the
/// call.
struct PreemptionInputs {
  std::span<const PlacementWorker> Workers;
  std::span<const PlacedUnit> Placed;
  std::span<const bool> Stopping; ///< For each placed unit.
  const WaitingUnit &Unit;
  /// The unit may preempt work of its own priority.
  bool MayReclaim = false;
  const GuaranteeLedger &Guarantees;
};

/// Returns the accelerators of all tasks of a unit.
std::int64_t acceleratorsOf(const PlacedUnit &Unit);

/// Finds a cheap set of units whose stop makes room for the whole waiting unit,
/// on one of \p Racks or on any worker if empty. Returns nothing if there is
/// none: a unit that does not fit as a whole preempts nothing. Thread safety:
/// pure.
std::optional<Preemption>
planPreemption(const PreemptionInputs &Inputs,
               std::span<const std::string_view> Racks);

} // namespace pistachioflow
