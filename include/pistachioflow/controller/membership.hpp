#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/port/instance_list.hpp"

namespace pistachioflow {

struct MembershipSettings {
  /// An instance that was heard once and then not for this time is suspect.
  Duration SuspectAfter{3'000};
  /// A listed instance that was never heard counts as live for this time.
  Duration JoinGrace{6'000};
  /// An instance that is neither listed nor heard for this time is forgotten.
  Duration ForgetAfter{60'000};
};

/// Where an instance listens.
struct InstanceAddress {
  std::string Host;
  std::uint16_t HttpPort = 0;
  std::uint16_t PeerPort = 0;

  bool operator==(const InstanceAddress &) const = default;
};

/// What this process knows of one instance, on its own monotonic clock.
struct Member {
  InstanceId Instance;
  DomainId Domain;
  InstanceAddress Address;
  bool Listed = false;   ///< On the platform's list as it was read last.
  bool Leaving = false;  ///< Said so itself or on the list; never unsaid.
  bool Replaced = false; ///< Another instance was heard at its address since.
  Instant FirstSeen;
  std::optional<Instant> HeardAt;
};

/// Every instance that this process knows of. Not thread safe.
struct MembershipState {
  std::vector<Member> Members; ///< In the order of their ids.
};

/// What a peer said of itself.
struct PeerSaid {
  InstanceId Instance;
  DomainId Domain;
  InstanceAddress Address;
  bool Leaving = false;
};

// Pure functions; they read no clock.

/// Takes over the list as it was read at \p Now.
void mergeList(MembershipState &State, std::span<const ListedInstance> List,
               const MembershipSettings &Settings, Instant Now);

/// Takes over what a peer said; it was received at \p Now. An instance that is
/// heard at the address of another one has replaced it.
void mergePeer(MembershipState &State, const PeerSaid &Said, Instant Now);

/// Tells whether \p Item is thought to be alive. A wrong answer costs time and
/// never safety.
bool isAlive(const Member &Item, const MembershipSettings &Settings,
             Instant Now);

/// Returns the live instances that are not leaving, \p Self always among them
/// unless it is leaving itself: the candidates for ownership.
std::vector<InstanceId> liveInstances(const MembershipState &State,
                                      const InstanceId &Self, bool SelfLeaving,
                                      const MembershipSettings &Settings,
                                      Instant Now);

/// Returns whom to send gossip: everyone but \p Self that may be alive.
std::vector<Member> gossipTargets(const MembershipState &State,
                                  const InstanceId &Self);

} // namespace pistachioflow
