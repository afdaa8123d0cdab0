#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

/// What the platform tells an instance about itself and its surroundings.
struct InstanceSettings {
  std::string Instance;
  std::string FailureDomain;
  std::string CallerAddress;  ///< Callers' requests arrive here.
  std::string ReadyAddress;   ///< The balancer's readiness checks arrive here.
  std::string MetricsAddress; ///< IP of the instance with the first inner port.
  std::string StoreAddress;
  std::int64_t MilliCores = 1'000; ///< Its share of processors.
  std::string AdviceAddress;       ///< Empty where no queue needs advice.
  Duration WorkerHeartbeat{1'500};
  Duration MaxLease{6'000};      ///< Longest lease that a worker grants.
  Duration StopTimeout{900};     ///< A worker ends a stopped run within this.
  Duration GangTimeout{3'000};   ///< A gang member waits this long for others.
  Duration ShutdownGrace{6'000}; ///< From SIGTERM to SIGKILL.
  Duration StatusRetention{120'000}; ///< An ended job is shown this long.
  Duration ReclaimTimeout{3'400};    ///< To start guaranteed work.
  Duration CheckpointInterval{2'000};
  double RemotePenalty = 3.0; ///< Slow-down of work away from its rack.
  std::int64_t MaxStoreRecordBytes = 262'144;
  std::int64_t MaxStoreRequestBytes = 2'097'152;
};

/// Reads the settings that deploy/settings.json.tmpl renders. Unknown fields
/// are ignored. Errors: InvalidInput with every finding.
Result<InstanceSettings> decodeInstanceSettings(std::string_view Text);

/// Reads the file \p Path. Errors: NotFound, or as decodeInstanceSettings().
Result<InstanceSettings> loadInstanceSettings(const std::string &Path);

} // namespace pistachioflow
