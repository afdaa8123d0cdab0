#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/log.hpp"
#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

/// A host and a TCP port. Port 0 lets the system choose a free port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
};

/// The scheduling goals of the cluster that the instance serves.
enum class PolicyPreset : std::uint8_t {
  Chess,  ///< Favours short completion times.
  Curing, ///< Favours low fragmentation.
};

/// Returns the preset's weight of fragmentation, from 0 to 1.
double fragmentationWeightOf(PolicyPreset Preset);

/// Times of the leases by which instances own streams.
struct LeaseTimes {
  Duration Lease{3'000};
  Duration Margin{500}; ///< The owner stops acting this long before the end.
  Duration RenewEvery{800};
};

struct PolicyChoice {
  PolicyPreset Preset = PolicyPreset::Chess;
  double FragmentationWeight = 0.0; ///< Defaults to the preset's weight.
  Duration ReclaimDeadline{4'000};
};

/// How often each controller runs.
struct TickPeriods {
  Duration Cell{100};
  Duration Config{500};
  Duration Keys{20};
  Duration Instances{1'000};
  Duration Gossip{250};
};

struct ThreadCounts {
  std::uint32_t Http = 16;
  std::uint32_t Cells = 2;
  std::uint32_t Workers = 4; ///< Concurrent calls to workers.
  std::uint32_t Logs = 4;    ///< Concurrent calls to the log.
};

/// Timeouts of one call to the platform.
struct PlatformTimeouts {
  Duration Connect{500};
  Duration Log{2'000};
  Duration Workers{2'000};
  Duration Instances{1'000};
};

/// Limits on what one instance accepts and retains.
struct InstanceLimits {
  std::size_t BodyBytes = std::size_t{1} << 20;
  std::uint32_t JsonDepth = 16;
  std::uint32_t QueuedRequests = 1'000;
  std::uint32_t JournalEvents = 2'000;
  std::uint32_t RunnerConnections = 60;
  std::uint32_t KeyStreams = 4;
  std::uint32_t SnapshotEvery = 500; ///< Records between two snapshots.
};

/// The contents of the settings file of pistachiod.
struct DaemonSettings {
  InstanceId Instance;
  DomainId Domain;
  CellId Cell; ///< The domain's cell unless the log maps it to another.
  Endpoint Http;
  Endpoint Peer;
  Endpoint Platform;
  LeaseTimes Leases;
  PolicyChoice Policy;
  TickPeriods Ticks;
  ThreadCounts Threads;
  PlatformTimeouts Timeouts;
  InstanceLimits Limits;
  /// How long requests are accepted after SIGTERM.
  Duration LeaveWithin{3'000};
  LogLevel Log = LogLevel::Info;
};

/// Parses settings: JSON with comments. \p Source names the text in findings.
/// Errors: InvalidInput with all findings.
/// Thread safety: may be called from any thread.
Result<DaemonSettings> parseSettings(std::string_view Text,
                                     std::string_view Source);

/// Reads and parses a settings file.
/// Errors: NotFound if it cannot be read; otherwise as parseSettings().
Result<DaemonSettings> loadSettings(const std::string &Path);

} // namespace pistachioflow
