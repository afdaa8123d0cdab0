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
  bool SpareCapacity = false;  ///< Its service has spare capacity for it.
};

/// Returns how long preferences may keep a unit from free workers. Service,
/// label, capacity and the limit per worker are no preferences and bind always.
///
/// Load pattern: a rack that stays occupied, or workers reserved for others,
/// beside idle workers. In a full cluster a unit waits no longer than a run
/// elsewhere takes more time; with capacity to spare nothing else will use the
/// idle workers, so that it hardly waits. Thread safety: pure.
Duration preferenceLimit(const PreferenceInputs &Inputs);

/// Returns how long reservations for gangs ahead of a unit may keep it from
/// free workers, never less than preferenceLimit().
///
/// Load pattern: a wide gang in a cluster without free accelerators. The first
/// workers that drain for it stand idle until the last one has drained; if
/// smaller work took them meanwhile, the gang would never start. Thread safety:
/// pure.
Duration reservationLimit(const PreferenceInputs &Inputs);

/// Whether less than half of a service's resource is in use.
struct SpareCapacity {
  bool Cores = false;
  bool Memory = false;
  bool Accelerators = false;

  /// Whether there is spare capacity for tasks like \p PerTask: accelerators
  /// are what tasks that need them wait for.
  bool sparesFor(const Resources &PerTask) const {
    return PerTask.Accelerators > 0 ? this->Accelerators
                                    : this->Cores || this->Memory;
  }
};

/// Counts the service with and without evacuated domains and returns what is
/// spare by either count: callers expect a start while most of a service is
/// idle, wherever that is. Thread safety: pure.
SpareCapacity spareCapacity(std::span<const PlacementWorker> Workers,
                            std::string_view Service);

} // namespace pistachioflow
