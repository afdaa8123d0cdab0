#pragma once

#include <span>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// Why a waiting unit was not placed.
enum class WaitReason {
  Capacity,    ///< It fits nowhere, even on workers that may not be used now.
  Evacuation,  ///< It fits only in evacuated failure domains.
  Workers,     ///< It fits only on workers that may not be used now.
  Withheld,    ///< What it needs is held for work ahead of it, or for itself.
  Rack,        ///< It fits on other racks than it prefers.
  Reservation, ///< It fits on workers reserved for urgent work or for gangs.
};

/// Returns the name used in logs.
std::string_view toString(WaitReason Reason);

/// Explains why \p Unit was not placed, from the workers before and after the
/// decisions of a round. Thread safety: pure.
WaitReason explainWait(std::span<const PlacementWorker> Before,
                       std::span<const PlacementWorker> After,
                       const WaitingUnit &Unit);

/// Whether a unit that waits since \p Since is due for a line in the log; \p
/// NotedAt is when it had its latest line. Lines come at doubling intervals.
/// Thread safety: pure.
bool isWaitNoticeDue(Instant Since, Instant NotedAt, Instant Now);

} // namespace pistachioflow
