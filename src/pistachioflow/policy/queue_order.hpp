#pragma once

#include <cstdint>

#include "pistachioflow/policy/job_state.hpp"

namespace pistachioflow::policy {

/// The longest that later submissions can go ahead of a job of the same
/// workspace because they are shorter.
constexpr Duration MaxOvertaking{2LL * 60 * 60 * 1'000};

/// Returns the place of a queued job among those of its workspace; the lower
/// goes first. Short jobs go ahead of long ones, by at most MaxOvertaking. The
/// place of a job never changes while it waits, so waiting raises it.
std::int64_t queueOrder(const JobState &Job);

/// Returns how long the job will still run if it starts now.
Duration remainingRuntime(const JobState &Job);

/// Returns when the active job is expected to end. A job that has overrun its
/// expected run time is expected to take half of its run time more.
Instant expectedEnd(const JobState &Job, Instant Now);

} // namespace pistachioflow::policy
