#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// A run that fails within this time of its placement speaks against its worker
/// rather than against its task, which fails anywhere in its work.
inline constexpr Duration EarlyFailureWindow{600};

/// What runs on a worker have shown about it.
///
/// Answers full queues while some workers fail or refuse all that they start:
/// such workers are empty again at once, so that without a bar they draw the
/// whole queue and use up its attempts.
struct WorkerReliability {
  std::set<std::string, std::less<>> FailedJobs; ///< In a row, early.
  std::int64_t Refusals = 0;                     ///< In a row.
  Instant LastFailureAt; ///< Newest early failure or refusal.
  Instant SuspendedUntil;
  Instant VerifiedAt; ///< When a run last lived on it beyond EarlyFailure.
};

/// A run of \p JobId failed early. Thread safety: pure but for \p Trust, as are
/// the other functions here.
void recordEarlyFailure(WorkerReliability &Trust, std::string_view JobId,
                        Instant Now);

/// A run stood still though its worker answers.
void recordStuckRun(WorkerReliability &Trust, Instant Now);

/// The worker declined a start.
void recordRefusal(WorkerReliability &Trust, Instant Now);

/// A run that was placed at \p PlacedAt has outlived EarlyFailure, or is done.
void recordSuccess(WorkerReliability &Trust, Instant PlacedAt, Instant Now);

/// Whether nothing may be started on the worker now.
bool isSuspended(const WorkerReliability &Trust, Instant Now);

/// Whether the worker was barred until lately and is not proven since: it gets
/// one start at a time, and no gang. Ends by itself, as nothing but gangs may
/// be waiting.
bool isOnProbation(const WorkerReliability &Trust, Instant Now);

/// Whether a run has lately shown that the worker runs what it starts.
bool isVerified(const WorkerReliability &Trust, Instant Now);

} // namespace pistachioflow
