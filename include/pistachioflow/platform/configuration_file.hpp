#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/sched/desired_state.hpp"

namespace pistachioflow {

/// A configuration with the fields that the daemon does not read.
struct ConfigurationFile {
  DesiredState State;
  /// Names of the defined services; absent if the file has no list of them.
  std::optional<std::vector<std::string>> Services;
  Findings IgnoredEntries; ///< Entries of lists that the daemon leaves out.
};

/// Decodes a configuration. Errors: those of decodeDesiredState(), where the
/// place of a finding about a tenant has the tenant's index. Thread safety: may
/// be called from any thread.
Result<ConfigurationFile> decodeConfigurationFile(std::string_view Text);

/// What a list of workers contributes to the check of a configuration.
struct WorkerList {
  std::int64_t Accelerators = 0; ///< Of all valid entries.
  Findings RejectedEntries;      ///< Entries that the daemon would reject.
};

/// Decodes a list of workers: an array of entries as workers write them, or an
/// object of such entries by the worker's id. Errors: InvalidInput if it is
/// neither. Thread safety: may be called from any thread.
Result<WorkerList> decodeWorkerList(std::string_view Text);

} // namespace pistachioflow
