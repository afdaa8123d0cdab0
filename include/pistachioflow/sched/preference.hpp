#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// What decides how long a unit may wait for the workers that it prefers while
/// it fits on others.
struct PreferenceInputs {
  std::int64_t ExpectedMs = 0; ///< Of a run on preferred workers.
  double RemotePenalty = 1.0;  ///< Slowdown factor on other racks.
  bool LongRunning = false;    ///< Each moment without a run is lost.
  bool SpareCapacity = false;  ///< Its service has workers to spare.
};

/// Returns how long preferences may keep a unit from free workers. Service,
/// label, capacity and the limit per worker are no preferences and bind always.
///
/// Load pattern: a rack that stays occupied, or workers reserved for others,
/// beside idle workers. In a full cluster a unit waits no longer than a run
/// elsewhere takes more time; with capacity to spare nothing else will use the
/// idle workers, so that it hardly waits. Thread safety: pure.
Duration preferenceLimit(const PreferenceInputs &Inputs);

/// Whether less than half of a service's accelerators is in use, or of its
/// cores if it has no accelerators. Thread safety: pure.
bool hasSpareCapacity(std::span<const PlacementWorker> Workers,
                      std::string_view Service);

} // namespace pistachioflow
