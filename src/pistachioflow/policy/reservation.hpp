#pragma once

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// The longest that a job waits for its reserved workers before the smaller
/// borrowers on them are reclaimed.
constexpr Duration MaxReservedWait{60 * 60 * 1'000};

/// Starts the jobs whose reserved workers, or others, are free; keeps the
/// workers of the other reservations for them, and ends those that have become
/// void.
void decideReserved(Plan &Draft);

/// Reserves workers for the blocked jobs that have waited longest for most
/// accelerators. Call it after every job that can start has been started.
void decideReservations(Plan &Draft);

} // namespace pistachioflow::policy
