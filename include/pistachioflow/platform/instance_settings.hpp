#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

/// Shortest setting of the longest lease. A lease has to outlive a hold that
/// renews it and its repetition; docs/design/leases.md.
constexpr Duration MinMaxLease{3'000};

/// Settings that the platform gives an instance. Defaults apply to fields that
/// are left out.
struct InstanceSettings {
  std::string Instance; ///< Name of the node that the instance runs on.
  std::string FailureDomain;
  std::vector<std::string> KnownDomains; ///< Every domain of the deployment.
  std::string CallerAddress;             ///< Listens here for callers.
  std::string ReadyAddress;              ///< Listens for the balancer's checks.
  std::string MetricsAddress; ///< Own IP, first port of the internal range.
  std::string StoreAddress;
  std::int64_t MilliCores = 1'000; ///< Processor share of the instance.
  /// \name Limits of the process; 0: not known
  /// @{
  std::int64_t MemoryMb = 0;
  std::int64_t FileDescriptors = 0;
  /// @}
  std::string AdviceAddress; ///< Empty if no queue needs advice.
  Duration WorkerHeartbeat{1'500};
  Duration MaxLease{6'000};          ///< Longest lease that a worker grants.
  Duration StopTimeout{900};         ///< A worker ends a stopped run within it.
  Duration GangTimeout{3'000};       ///< For a gang member to wait for others.
  Duration ShutdownGrace{6'000};     ///< From SIGTERM to SIGKILL.
  Duration StatusRetention{120'000}; ///< Of an ended job.
  Duration ReclaimTimeout{3'400};    ///< For guaranteed work to start.
  Duration CheckpointInterval{2'000};
  /// For an evacuation of a domain to be in force; 0: there are none.
  Duration EvacuationTimeout{0};
  double RemotePenalty = 3.0; ///< Slowdown factor off the data rack.
  std::int64_t MaxStoreRecordBytes = 262'144;
  std::int64_t MaxStoreRequestBytes = 2'097'152;
};

/// Decodes settings rendered from deploy/settings.json.tmpl. Ignores unknown
/// fields. Errors: InvalidInput with every finding.
Result<InstanceSettings> decodeInstanceSettings(std::string_view Text);

/// Loads the settings file \p Path. Errors: NotFound, or as
/// decodeInstanceSettings().
Result<InstanceSettings> loadInstanceSettings(const std::string &Path);

} // namespace pistachioflow
