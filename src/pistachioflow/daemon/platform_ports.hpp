#pragma once

#include "pistachioflow/base/metrics.hpp"
#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/codec/settings.hpp"

namespace pistachioflow {

/// The clients of the platform and their connections.
/// Thread safety: as the clients.
struct PlatformPorts {
  /// Preconditions: \p Time and \p Metrics outlive the object.
  PlatformPorts(const DaemonSettings &Settings, const Clock &Time,
                MetricRegistry &Metrics);

  HttpPool Control; ///< To the log, the instance list and the workers.
  HttpPool Targets; ///< To the runners.
  HttpLogService Log;
  HttpInstanceList Instances;
  HttpWorkerGateway Workers;
  HttpRunnerGateway Runners;
};

} // namespace pistachioflow
