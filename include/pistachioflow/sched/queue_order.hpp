#pragma once

#include <cstdint>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// What decides a unit's turn among those that wait.
struct QueueRank {
  std::int64_t Priority = 0;
  /// 0: can still meet its objective; 1: only a late answer; 2: neither.
  int Tardiness = 0;
  Instant LatestStart; ///< To meet the objective of its tardiness.

  auto operator<=>(const QueueRank &) const = default;
};

/// What is known of a waiting unit when it is ranked.
struct RankInputs {
  std::int64_t Priority = 0;
  Instant ReleasedAt;              ///< When its job was accepted or became due.
  std::int64_t CriticalPathMs = 0; ///< Work of the job's longest chain.
  std::int64_t RemainingMs = 0;    ///< Work from this unit to the chain's end.
  double Stretch = 1.0;
  std::int64_t AllowanceMs = 0;
};

/// Ranks a waiting unit at \p Now.
///
/// Load pattern: more work waits than can end in time. Within a priority, work
/// that can still meet its objective goes first, the one that must start
/// soonest before the others; work that is late already must not make more
/// work late. Thread safety: pure.
QueueRank rankUnit(const RankInputs &Inputs, Instant Now);

} // namespace pistachioflow
