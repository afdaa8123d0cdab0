#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// Chooses the workers on which a gang that fits nowhere could start first, by
/// when the work there will probably have ended. Lower priorities then leave
/// them alone.
///
/// Answers a steady stream of small tasks of low priority that take each freed
/// accelerator, so that whole workers never become free for a large gang.
///
/// \p Racks holds the racks that may take the gang whole; empty means any
/// workers. Returns one room for each task, or nothing where the gang does not
/// fit even on empty workers. Thread safety: pure.
std::optional<std::vector<std::size_t>>
planReservation(std::span<const PlacementWorker> Rooms, const WaitingUnit &Gang,
                std::span<const PlacedUnit> Placed,
                std::span<const std::string> Racks);

} // namespace pistachioflow
