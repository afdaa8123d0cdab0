#include "pistachioflow/filter/limits.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

constexpr double MsPerSecond = 1'000.0;
constexpr double SmallestBurst = 1.0;

} // namespace

std::uint32_t shareOfConcurrency(std::uint32_t Limit, const FleetShare &Share) {
  const std::uint32_t Whole = Limit / Share.Instances;
  const std::uint32_t Rest = Limit % Share.Instances;
  const std::uint32_t Part = Whole + (Share.Rank < Rest ? 1 : 0);
  return Limit == 0 ? 0 : std::max(Part, 1U);
}

double shareOfRate(std::uint32_t PerSecond, const FleetShare &Share) {
  return static_cast<double>(PerSecond) / static_cast<double>(Share.Instances);
}

bool takeToken(TokenBucket &Bucket, double PerSecond, Instant Now) {
  const double Burst = PerSecond > 0 ? std::max(PerSecond, SmallestBurst) : 0;
  if (!Bucket.Started) {
    Bucket = {Burst, Now, true};
  }
  const double Elapsed =
      static_cast<double>((Now - Bucket.FilledAt).Ms) / MsPerSecond;
  Bucket.Tokens = std::min(Burst, Bucket.Tokens + Elapsed * PerSecond);
  Bucket.FilledAt = Now;
  if (Bucket.Tokens < 1.0)
    return false;
  Bucket.Tokens -= 1.0;
  return true;
}

LimitAnswer WorkspaceLimits::acquire(const WorkspaceId &Workspace,
                                     const LimitsEntry &Limits,
                                     const FleetShare &Share, Instant Now) {
  Shard &Place = this->shardOf(Workspace);
  const std::lock_guard Guard(Place.Lock);
  Usage &Used = Place.Used[Workspace];
  if (Used.InFlight >= shareOfConcurrency(Limits.ConcurrentRequests, Share))
    return LimitAnswer::InFlightReached;
  if (!takeToken(Used.Rate, shareOfRate(Limits.RequestsPerSecond, Share), Now))
    return LimitAnswer::RateReached;
  ++Used.InFlight;
  return LimitAnswer::Granted;
}

void WorkspaceLimits::release(const WorkspaceId &Workspace) {
  Shard &Place = this->shardOf(Workspace);
  const std::lock_guard Guard(Place.Lock);
  const auto Found = Place.Used.find(Workspace);
  if (Found != Place.Used.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

std::uint32_t WorkspaceLimits::inFlight(const WorkspaceId &Workspace) {
  Shard &Place = this->shardOf(Workspace);
  const std::lock_guard Guard(Place.Lock);
  const auto Found = Place.Used.find(Workspace);
  return Found == Place.Used.end() ? 0 : Found->second.InFlight;
}

WorkspaceLimits::Shard &WorkspaceLimits::shardOf(const WorkspaceId &Workspace) {
  return this->Held[std::hash<WorkspaceId>{}(Workspace) % Shards];
}

} // namespace pistachioflow
