#include "pistachioflow/controller/membership.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// Returns the member \p Instance, added at \p Now where it is new.
Member &memberOf(MembershipState &State, const InstanceId &Instance,
                 Instant Now) {
  const auto At =
      std::lower_bound(State.Members.begin(), State.Members.end(), Instance,
                       [](const Member &Item, const InstanceId &Name) {
                         return Item.Instance < Name;
                       });
  if (At != State.Members.end() && At->Instance == Instance)
    return *At;
  Member Added;
  Added.Instance = Instance;
  Added.FirstSeen = Now;
  return *State.Members.insert(At, std::move(Added));
}

bool isForgotten(const Member &Item, const MembershipSettings &Settings,
                 Instant Now) {
  const Instant LastSign = Item.HeardAt.value_or(Item.FirstSeen);
  return !Item.Listed && Now - LastSign >= Settings.ForgetAfter;
}

/// Tells whether both listen at one place, so that one replaced the other.
bool sharePlace(const InstanceAddress &Left, const InstanceAddress &Right) {
  return Left.PeerPort != 0 && Left.PeerPort == Right.PeerPort &&
         Left.Host == Right.Host;
}

} // namespace

void mergeList(MembershipState &State, std::span<const ListedInstance> List,
               const MembershipSettings &Settings, Instant Now) {
  for (Member &Item : State.Members)
    Item.Listed = false;
  for (const ListedInstance &Entry : List) {
    Member &Item = memberOf(State, Entry.Instance, Now);
    Item.Listed = true;
    Item.Leaving |= Entry.Leaving;
    // What the instance said of itself is newer than the list.
    if (Item.HeardAt)
      continue;
    Item.Domain = Entry.Domain;
    Item.Address = {Entry.Host, Entry.HttpPort, Entry.PeerPort};
  }
  std::erase_if(State.Members, [&](const Member &Item) {
    return isForgotten(Item, Settings, Now);
  });
}

void mergePeer(MembershipState &State, const PeerSaid &Said, Instant Now) {
  Member &Item = memberOf(State, Said.Instance, Now);
  Item.Domain = Said.Domain;
  Item.Address = Said.Address;
  Item.Leaving |= Said.Leaving;
  Item.Replaced = false;
  Item.HeardAt = Now;
  for (Member &Other : State.Members) {
    if (Other.Instance != Said.Instance &&
        sharePlace(Other.Address, Said.Address))
      Other.Replaced = true;
  }
}

bool isAlive(const Member &Item, const MembershipSettings &Settings,
             Instant Now) {
  if (Item.Replaced)
    return false;
  if (Item.HeardAt)
    return Now - *Item.HeardAt < Settings.SuspectAfter;
  return Item.Listed && Now - Item.FirstSeen < Settings.JoinGrace;
}

std::vector<InstanceId> liveInstances(const MembershipState &State,
                                      const InstanceId &Self, bool SelfLeaving,
                                      const MembershipSettings &Settings,
                                      Instant Now) {
  std::vector<InstanceId> Live;
  if (!SelfLeaving)
    Live.push_back(Self);
  for (const Member &Item : State.Members) {
    if (Item.Instance != Self && !Item.Leaving && isAlive(Item, Settings, Now))
      Live.push_back(Item.Instance);
  }
  std::sort(Live.begin(), Live.end());
  return Live;
}

std::vector<Member> gossipTargets(const MembershipState &State,
                                  const InstanceId &Self) {
  std::vector<Member> Targets;
  for (const Member &Item : State.Members) {
    if (Item.Instance != Self && !Item.Replaced && Item.Address.PeerPort != 0)
      Targets.push_back(Item);
  }
  return Targets;
}

} // namespace pistachioflow
