#pragma once

#include <atomic>
#include <mutex>
#include <span>
#include <vector>

#include "pistachioflow/codec/settings.hpp"
#include "pistachioflow/controller/membership.hpp"
#include "pistachioflow/filter/limits.hpp"
#include "pistachioflow/peer/peer_exchange.hpp"

namespace pistachioflow {

/// Keeps what the platform's list and the peers say of the instances.
///
/// Thread safety: every method may be called from any thread.
class MemberBoard {
public:
  /// Precondition: \p Time outlives the board.
  MemberBoard(InstanceId Self, const Clock &Time)
      : Self(std::move(Self)), Time(Time) {}

  void takeList(std::span<const ListedInstance> List);
  void takePeer(const PeerView &View);

  /// Makes this instance no candidate for ownership any more.
  void leave() { this->Leaving = true; }
  bool leaving() const { return this->Leaving; }

  std::vector<Member> members() const;

  /// Returns the candidates for ownership.
  std::vector<InstanceId> live() const;

  /// Returns where to send gossip.
  std::vector<PeerAddress> targets() const;

  /// Returns this instance's place among the live ones.
  FleetShare share() const;

private:
  const InstanceId Self;
  const Clock &Time;
  const MembershipSettings Settings;
  std::atomic<bool> Leaving{false};
  mutable std::mutex Lock;
  MembershipState State;
};

} // namespace pistachioflow
