#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/sched/job_spec.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// Decodes the body with which a caller submits a job.
/// Errors: InvalidInput with every finding.
Result<JobSpec> decodeJobSpec(std::string_view Body);

/// Encodes the answer to a caller who asks for a job's state.
std::string encodeJobState(JobPhase Phase);

/// Encodes the answer to a caller who asks how many jobs of a queue wait.
std::string encodeWaitingJobs(std::int64_t Jobs);

/// Returns whether \p Text is an id that a caller may give a job: 16
/// hexadecimal digits.
bool isJobId(std::string_view Text);

/// Returns the key in an Authorization header, or an empty view.
std::string_view callerKey(std::string_view Authorization);

} // namespace pistachioflow
