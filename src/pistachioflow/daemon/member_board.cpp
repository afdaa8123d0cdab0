#include "pistachioflow/daemon/member_board.hpp"

#include <algorithm>

namespace pistachioflow {

void MemberBoard::takeList(std::span<const ListedInstance> List) {
  const std::lock_guard Guard(this->Lock);
  mergeList(this->State, List, this->Settings, this->Time.monotonic());
}

void MemberBoard::takePeer(const PeerView &View) {
  PeerSaid Said;
  Said.Instance = View.Instance;
  Said.Domain = View.Status.Domain;
  Said.Address = {View.Status.Host, View.Status.HttpPort, View.Status.PeerPort};
  Said.Leaving = View.Status.Leaving;
  const std::lock_guard Guard(this->Lock);
  mergePeer(this->State, Said, View.HeardAt);
}

std::vector<Member> MemberBoard::members() const {
  const std::lock_guard Guard(this->Lock);
  return this->State.Members;
}

std::vector<InstanceId> MemberBoard::live() const {
  const std::lock_guard Guard(this->Lock);
  return liveInstances(this->State, this->Self, this->Leaving, this->Settings,
                       this->Time.monotonic());
}

std::vector<PeerAddress> MemberBoard::targets() const {
  const std::lock_guard Guard(this->Lock);
  std::vector<PeerAddress> Found;
  for (const Member &Item : gossipTargets(this->State, this->Self))
    Found.push_back({Item.Instance, Item.Address.Host, Item.Address.PeerPort});
  return Found;
}

FleetShare MemberBoard::share() const {
  const std::vector<InstanceId> Live = this->live();
  FleetShare Share;
  Share.Instances = std::max<std::uint32_t>(1, Live.size());
  Share.Rank = static_cast<std::uint32_t>(
      std::count_if(Live.begin(), Live.end(), [this](const InstanceId &Other) {
        return Other < this->Self;
      }));
  Share.Rank = std::min(Share.Rank, Share.Instances - 1);
  return Share;
}

} // namespace pistachioflow
