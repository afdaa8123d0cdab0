#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// Resources that a placed unit is expected to release on a worker.
struct ExpectedRelease {
  std::int64_t AfterMs = 0;
  Resources Freed;
};

/// The expected releases of each worker by its index, the earliest first.
using ReleasesByWorker = std::vector<std::vector<ExpectedRelease>>;

/// Lists what the placed units release. Thread safety: pure.
ReleasesByWorker expectedReleases(std::size_t WorkerCount,
                                  std::span<const PlacedUnit> Placed);

/// Chooses the workers on which a gang that fits nowhere now could start
/// soonest, by the expected ends of the work there. Lower ranks then leave them
/// to the gang.
///
/// Load pattern: a steady stream of small low-priority tasks takes each freed
/// accelerator, so that whole workers never become free for a large gang.
///
/// \p Racks are the racks that can hold the whole gang; empty means any worker.
/// Returns a worker index for each task, or nothing where the gang does not fit
/// even on empty workers. Thread safety: pure.
std::optional<std::vector<std::size_t>>
planReservation(std::span<const PlacementWorker> Workers,
                const WaitingUnit &Gang, const ReleasesByWorker &Releases,
                std::span<const std::string_view> Racks);

} // namespace pistachioflow
