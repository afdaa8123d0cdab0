#pragma once

#include <cstddef>

#include "pistachioflow/platform/instance_settings.hpp"

namespace pistachioflow {

/// What connections of a process may take of its machine.
struct ConnectionLimits {
  std::size_t CallerBytes = 0; ///< Memory of callers' connections; 0: no limit.
  /// Memory of answers of the store and of workers; 0: no limit.
  std::size_t PeerBytes = 0;
  std::size_t MaxCallerBodyBytes = 0; ///< Of one request; 0: no limit.
  std::size_t MaxCallers = 0;         ///< Connections of callers.
  /// Connections of the balancer's checks, and as many of readers of metrics.
  std::size_t MaxChecks = 0;
};

/// Divides the memory and the descriptors that the settings name.
///
/// Load pattern: more connections than the process can hold, by clients that
/// send without end. Calls to the store and to workers, checks of readiness and
/// metrics go on. Thread safety: pure.
ConnectionLimits connectionLimits(const InstanceSettings &Settings);

} // namespace pistachioflow
