#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// The longest that a job waits for its reserved workers before the smaller
/// borrowers on them are reclaimed.
constexpr Duration MaxReservedWait{60LL * 60 * 1'000};

/// Holds the workers of every reservation for its job.
void holdReservedCapacity(DecisionDraft &Draft);

/// Starts the jobs whose reserved workers, or others, are free; renews overdue
/// reservations, and ends invalid ones.
void decideReservedStarts(DecisionDraft &Draft);

/// Reserves workers for the blocked jobs that have waited longest for most
/// accelerators. Call it after every job that can start has been started.
void decideReservations(DecisionDraft &Draft);

} // namespace pistachioflow::policy
