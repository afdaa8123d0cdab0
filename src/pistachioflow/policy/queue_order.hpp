#pragma once

#include <cstdint>

#include "pistachioflow/policy/job_state.hpp"

namespace pistachioflow::policy {

/// The longest that later submissions can go ahead of a job of the same
/// workspace because they are shorter.
constexpr Duration MaxOvertaking{2LL * 60 * 60 * 1'000};

/// Returns the sort key of a queued job in its workspace, lowest first. Short
/// jobs go ahead of long ones, by at most MaxOvertaking. The key is constant
/// while a job waits, so later submissions cannot starve it.
std::int64_t queueOrder(const JobState &Job);

/// Returns how long the job will still run if it starts now.
Duration remainingRuntime(const JobState &Job);

/// Returns when the active job is expected to end. A job that has overrun its
/// expected run time is expected to take half of its run time more.
Instant expectedEnd(const JobState &Job, Instant Now);

} // namespace pistachioflow::policy
