#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/job_spec.hpp"

namespace pistachioflow {

/// A queue that callers reach under a host and a path.
struct QueueConfig {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  bool Public = false; ///< Requests need no API key.
  QueueTerms Terms;
  /// Its steps run only on workers that the advice service allows.
  bool NeedsAdvice = false;
};

/// A workspace with its API keys and its guarantee.
struct WorkspaceConfig {
  std::string Name;
  std::vector<std::string> Keys;
  std::int64_t GuaranteedAccelerators = 0;
};

/// One version of the configuration set by operators.
struct DesiredState {
  std::int64_t Version = 0;
  std::vector<QueueConfig> Queues;
  std::vector<WorkspaceConfig> Workspaces;
  std::map<std::string, std::string, std::less<>> WorkspaceByKey;
  std::int64_t MaxHeaderBytes = 16'384;
  std::int64_t MaxBodyBytes = 262'144;
  std::int64_t HeaderTimeoutMs = 3'000;
  std::int64_t IdleTimeoutMs = 15'000;
};

/// Returns the queue whose host matches and whose path prefix is the longest
/// match of \p Path, or null. The result points into \p State.
const QueueConfig *findQueue(const DesiredState &State, std::string_view Host,
                             std::string_view Path);

/// Returns the queue of that name, or null. The result points into \p State.
const QueueConfig *findQueueByName(const DesiredState &State,
                                   std::string_view Name);

/// Returns the workspace of that name, or null. The result points into \p
/// State.
const WorkspaceConfig *findWorkspace(const DesiredState &State,
                                     std::string_view Name);

} // namespace pistachioflow
