#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/lists.hpp"

namespace pistachioflow {

/// The place of this instance among the live ones, by the order of their names.
struct FleetShare {
  std::uint32_t Rank = 0;
  std::uint32_t Instances = 1; ///< At least 1.
};

/// Returns this instance's part of a limit on concurrent requests. The parts of
/// all instances add up to \p Limit, or to one each where there are more
/// instances than that.
std::uint32_t shareOfConcurrency(std::uint32_t Limit, const FleetShare &Share);

/// Returns this instance's part of a rate, in requests per second.
double shareOfRate(std::uint32_t PerSecond, const FleetShare &Share);

/// Permits up to one second's worth of requests at once, and PerSecond on
/// average. A plain value: callers pass the time.
struct TokenBucket {
  double Tokens = 0;
  Instant FilledAt;
  bool Started = false;
};

/// Takes one token. Returns whether there was one.
bool takeToken(TokenBucket &Bucket, double PerSecond, Instant Now);

enum class LimitAnswer : std::uint8_t { Granted, RateReached, InFlightReached };

/// Counts each workspace's requests against this instance's part of its plan.
///
/// Thread safety: every method may be called from any thread.
class WorkspaceLimits {
public:
  /// Takes a place for one request. Granted must be followed by release().
  LimitAnswer acquire(const WorkspaceId &Workspace, const LimitsEntry &Limits,
                      const FleetShare &Share, Instant Now);

  void release(const WorkspaceId &Workspace);

  /// Returns the requests in flight of \p Workspace.
  std::uint32_t inFlight(const WorkspaceId &Workspace);

private:
  struct Usage {
    TokenBucket Rate;
    std::uint32_t InFlight = 0;
  };
  struct Shard {
    std::mutex Lock;
    std::unordered_map<WorkspaceId, Usage> Used;
  };
  static constexpr std::size_t Shards = 16;

  Shard &shardOf(const WorkspaceId &Workspace);

  std::array<Shard, Shards> Held;
};

} // namespace pistachioflow
