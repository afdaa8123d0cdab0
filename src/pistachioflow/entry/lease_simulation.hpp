#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/entry/lease_bounds.hpp"
#include "pistachioflow/entry/worker_leases.hpp"

// Parts of the simulated days of lease_simulation_test.cpp.

namespace pistachioflow {

constexpr Duration MaxLease{6'000};

/// The rules that a simulated day is played by.
struct Rules {
  std::string Name;
  Instant (*LeaseEnd)(const RenewalEvidence &, Instant Now);
  Instant (*EarlierLeasesEnd)(const EarlierLeases &);
  /// Whether an owner considers that a worker may have restarted.
  bool ExpectsRestarts = true;
};

struct SimulatedWorker {
  double Rate = 1;
  std::int64_t Incarnation = 1;
  std::int64_t Epoch = 0;
  Instant StartedAt; ///< Of its clock.
  Instant LeaseEnds; ///< On its clock.
  std::set<int> Running;

  Instant clock(Instant Now) const {
    const auto Elapsed = static_cast<double>((Now - this->StartedAt).Ms);
    return {static_cast<std::int64_t>(Elapsed * this->Rate)};
  }

  /// Returns false where the caller is fenced.
  bool accept(std::int64_t CallerEpoch, Instant Lease, Instant Now) {
    if (CallerEpoch < this->Epoch)
      return false;
    this->Epoch = CallerEpoch;
    const Instant Longest = this->clock(Now) + MaxLease;
    this->LeaseEnds = std::max(this->LeaseEnds, std::min(Lease, Longest));
    return true;
  }
};

/// What a simulated owner knows of a worker.
struct Link {
  std::int64_t Incarnation = 0;
  std::int64_t OffsetMs = 0;
  Instant LastAcceptedAt;
  WorkerLeases Leases;
  Instant NextHoldAt;
  /// The worker crashed while a hold waited there: no answer until then.
  Instant HoldLostUntil;
  Instant HoldSentAt;
  bool HoldRenewed = false;
  bool Responsive = false;
  bool Synced = false; ///< Its clock is the one that the owner knows.
  std::set<int> Tasks;
};

struct SimulatedOwner {
  bool Active = false;
  std::int64_t Epoch = 0;
  Instant StoredAt;
  Instant NextHeartbeatAt;
  Instant EpochSeenAt; ///< Read from the store, also while not the owner.
  std::int64_t SeenEpoch = 0;
  EarlierLeases Earlier;
  std::size_t OccupiedAtStart = 0;
  std::size_t Shown = 0;
  std::vector<Link> Links;
  /// Last accepted holds and times of giving up, by worker.
  std::map<std::size_t, std::pair<Instant, Instant>> GivenUp;
  std::set<int> Waiting; ///< Tasks to be started.
};

struct LateHold {
  Instant At;
  std::size_t Worker;
  std::int64_t Epoch;
  Instant Lease;
};

} // namespace pistachioflow
