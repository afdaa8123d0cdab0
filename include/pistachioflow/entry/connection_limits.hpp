#pragma once

#include <cstddef>

#include "pistachioflow/platform/instance_settings.hpp"

namespace pistachioflow {

/// What connections of a process may take of its machine. 0: no limit.
struct ConnectionLimits {
  std::size_t CallerBytes = 0; ///< Memory of all connections of our servers.
  std::size_t PeerBytes = 0;   ///< Memory of answers of the store and workers.
  std::size_t MaxCallers = 0;  ///< Connections of callers.
};

/// Divides the memory and the descriptors that the settings name.
///
/// Load pattern: more connections than the process can hold, by clients that
/// send without end. Calls to the store and to workers, checks of readiness and
/// metrics go on. Thread safety: pure.
ConnectionLimits connectionLimits(const InstanceSettings &Settings);

} // namespace pistachioflow
