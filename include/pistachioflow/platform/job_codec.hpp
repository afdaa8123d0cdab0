#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/sched/job_spec.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// Tasks of all steps and occurrences of a job. The owner holds each of them in
/// memory, and so does its successor: a larger job could end one after another.
inline constexpr std::int64_t MaxTasksPerJob = 20'000;

/// Tasks of one gang. The record of its places must fit into one of the store.
inline constexpr std::int64_t MaxGangSize = 2'000;

/// Decodes the body of a caller's submit request.
/// Errors: InvalidInput with every finding.
Result<JobSpec> decodeJobSpec(std::string_view Body);

/// Encodes the response to a request for a job's state.
std::string encodeJobState(JobPhase Phase);

/// Encodes the response to a request for the number of waiting jobs of a queue.
std::string encodeWaitingJobs(std::int64_t Jobs);

/// Returns whether \p Text is a valid job id: 16 hexadecimal digits.
bool isJobId(std::string_view Text);

/// Returns the bearer key in an Authorization header, or an empty view if there
/// is none. Borrows from \p Authorization.
std::string_view callerKey(std::string_view Authorization);

} // namespace pistachioflow
