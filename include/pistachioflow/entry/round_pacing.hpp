#pragma once

#include <algorithm>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Shortest time in which changes are gathered for one round.
inline constexpr Duration MinGatheringTime{1};
/// Longest one: a process that was paused during a round need not make up for
/// it. Well below the time without heartbeats after which an owner is replaced.
inline constexpr Duration MaxGatheringTime{250};

/// Returns how long an owner gathers changes before the next round: as long as
/// the latest round took, so that half of the processor is left to heartbeats,
/// starts, stops and polls.
///
/// Load pattern: a full queue on a slow instance, where each answer of a worker
/// asks for a round that takes longer than the next answer. Thread safety:
/// pure.
inline Duration gatheringTime(Duration LatestRound) {
  return std::clamp(LatestRound, MinGatheringTime, MaxGatheringTime);
}

} // namespace pistachioflow
