#pragma once

#include <cstdint>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Sort key of a waiting unit: the least comes first.
struct QueueRank {
  std::int64_t Priority = 0;
  /// 0: can still meet its objective; 1: can only end late; 2: too late to be
  /// of use.
  int Tardiness = 0;
  Instant LatestStart; ///< Latest start within its tardiness class.

  auto operator<=>(const QueueRank &) const = default;
};

/// Inputs for the rank of a waiting unit.
struct RankInputs {
  std::int64_t Priority = 0;
  /// When its job was accepted or its occurrence became due.
  Instant ReleasedAt;
  /// Expected time of the job's longest chain of steps.
  std::int64_t CriticalPathMs = 0;
  /// Expected time from this unit to the end of its chain.
  std::int64_t RemainingMs = 0;
  double Stretch = 1.0;
  std::int64_t AllowanceMs = 0;
};

/// Ranks a waiting unit at \p Now.
///
/// Load pattern: more work waits than can end in time. Within a priority, units
/// that can still meet their objective come first, ordered by latest start, so
/// that late work does not delay more work beyond its objective. Thread safety:
/// pure.
QueueRank rankUnit(const RankInputs &Inputs, Instant Now);

} // namespace pistachioflow
