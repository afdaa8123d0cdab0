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

/// A host and a TCP port. Port 0 lets the system choose one.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
};

/// Which of the two clusters the instance serves.
enum class PolicyPreset : std::uint8_t {
  Chess,  ///< Completion time first.
  Curing, ///< Fragmentation first.
};

/// Returns the weight of fragmentation, 0 to 1, of a preset.
double fragmentationWeightOf(PolicyPreset Preset);

/// Ownership of streams.
struct LeaseTimes {
  Duration Lease{3'000};
  Duration Margin{500}; ///< The owner stops this long before its lease ends.
  Duration RenewEvery{800};
};

struct PolicyChoice {
  PolicyPreset Preset = PolicyPreset::Chess;
  double FragmentationWeight = 0.0; ///< The preset's, where none is given.
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
  std::uint32_t Workers = 4; ///< Calls to workers at the same time.
  std::uint32_t Logs = 4;    ///< Calls to the log at the same time.
};

/// Timeouts of one call to the platform.
struct PlatformTimeouts {
  Duration Connect{500};
  Duration Log{2'000};
  Duration Workers{2'000};
  Duration Instances{1'000};
};

/// What one instance takes and keeps at most.
struct InstanceLimits {
  std::size_t BodyBytes = std::size_t{1} << 20;
  std::uint32_t JsonDepth = 16;
  std::uint32_t QueuedRequests = 1'000;
  std::uint32_t JournalEvents = 2'000;
  std::uint32_t RunnerConnections = 60;
  std::uint32_t KeyStreams = 4;
  std::uint32_t SnapshotEvery = 500; ///< Records between two snapshots.
};

/// Everything that one pistachiod learns from its settings file.
struct DaemonSettings {
  InstanceId Instance;
  DomainId Domain;
  CellId Cell; ///< The cell of the domain until the log maps it otherwise.
  Endpoint Http;
  Endpoint Peer;
  Endpoint Platform;
  LeaseTimes Leases;
  PolicyChoice Policy;
  TickPeriods Ticks;
  ThreadCounts Threads;
  PlatformTimeouts Timeouts;
  InstanceLimits Limits;
  Duration LeaveWithin{3'000}; ///< No new work this long after SIGTERM.
  LogLevel Log = LogLevel::Info;
};

/// Parses settings: JSON with comments. \p Source names the text in findings.
/// Errors: InvalidInput with every finding.
/// Thread safety: may be called from any thread.
Result<DaemonSettings> parseSettings(std::string_view Text,
                                     std::string_view Source);

/// Reads and parses a settings file.
/// Errors: NotFound where it cannot be read; InvalidInput.
Result<DaemonSettings> loadSettings(const std::string &Path);

} // namespace pistachioflow
