#pragma once

#include <cstddef>
#include <cstdint>

#include "pistachioflow/policy/job_state.hpp"

namespace pistachioflow::policy {

/// A job that failed on this many different workers is considered faulty.
constexpr std::size_t MaxWorkersTried = 3;

/// A job whose starts were refused this often is given up.
constexpr std::uint32_t MaxRefusals = 8;

constexpr Duration RetryDelay{1'000};
constexpr Duration LongestRetryDelay{60'000};

/// Tells whether the queued job has used up its attempts.
inline bool canNeverRun(const JobState &Job) {
  return Job.FailedOn.size() >= MaxWorkersTried || Job.Refusals >= MaxRefusals;
}

} // namespace pistachioflow::policy
