#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// A run that fails within this time of its placement is attributed to its
/// worker; faulty tasks fail at any point of their work.
inline constexpr Duration EarlyFailureWindow{600};

/// Recent failures and successes of runs on a worker.
///
/// Load pattern: full queues while some workers fail or refuse everything they
/// are given. Such workers are free again at once, so that without a suspension
/// they attract the whole queue and use up its attempts.
struct WorkerReliability {
  /// Consecutive early failures.
  std::set<std::string, std::less<>> FailedJobs;
  std::int64_t Refusals = 0; ///< Consecutive.
  Instant LastFailureAt;     ///< Latest early failure, stuck run or refusal.
  Instant SuspendedUntil;
  Instant VerifiedAt; ///< Latest success.
};

/// Records that a run of \p JobId failed early. Thread safety: like the other
/// functions here, changes nothing but \p Worker.
void recordEarlyFailure(WorkerReliability &Worker, std::string_view JobId,
                        Instant Now);

/// Records that a run made no progress although its worker answers.
void recordStuckRun(WorkerReliability &Worker, Instant Now);

/// Records that the worker refused a start.
void recordRefusal(WorkerReliability &Worker, Instant Now);

/// Records that a run placed at \p PlacedAt is done, or outlasted
/// EarlyFailureWindow.
void recordSuccess(WorkerReliability &Worker, Instant PlacedAt, Instant Now);

/// Whether nothing may be started on the worker.
bool isSuspended(const WorkerReliability &Worker, Instant Now);

/// Whether the worker was suspended lately and no run has succeeded since: it
/// gets one start at a time, and no gang. Ends after a while even without a
/// success, since only gangs may be waiting.
bool isOnProbation(const WorkerReliability &Worker, Instant Now);

/// Whether a run has lately succeeded on the worker.
bool isVerified(const WorkerReliability &Worker, Instant Now);

} // namespace pistachioflow
