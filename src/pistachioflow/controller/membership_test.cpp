#include <catch2/catch.hpp>

#include <functional>
#include <vector>

#include "pistachioflow/controller/membership.hpp"

using namespace pistachioflow;

namespace {

const MembershipSettings Settings;
const InstanceId Self{"a"};

ListedInstance listed(const char *Name, std::uint16_t Port,
                      bool Leaving = false) {
  return {{Name}, {"domain-1"}, "10.0.0.1", 80, Port, Leaving};
}

PeerSaid said(const char *Name, std::uint16_t Port, bool Leaving = false) {
  return {{Name}, {"domain-1"}, {"10.0.0.1", 80, Port}, Leaving};
}

void list(MembershipState &State, const std::vector<ListedInstance> &Entries,
          Instant Now) {
  mergeList(State, Entries, Settings, Now);
}

using Live = std::vector<InstanceId>;

} // namespace

TEST_CASE("peers correct the lagging list") {
  struct Case {
    const char *Name;
    std::function<void(MembershipState &)> Happen;
    Instant Now;
    Live Expected;
  };
  const auto Given = GENERATE(values<Case>({
      {"alone", [](MembershipState &) {}, {0}, {Self}},
      {"listed, not heard yet",
       [](MembershipState &State) { list(State, {listed("b", 2)}, {0}); },
       {5'999},
       {Self, {"b"}}},
      {"listed and never heard",
       [](MembershipState &State) { list(State, {listed("b", 2)}, {0}); },
       {6'000},
       {Self}},
      {"heard, not listed yet",
       [](MembershipState &State) { mergePeer(State, said("b", 2), {0}); },
       {2'999},
       {Self, {"b"}}},
      {"silent, still listed",
       [](MembershipState &State) {
         mergePeer(State, said("b", 2), {0});
         list(State, {listed("b", 2)}, {2'900});
       },
       {3'000},
       {Self}},
      {"heard again",
       [](MembershipState &State) {
         mergePeer(State, said("b", 2), {0});
         mergePeer(State, said("b", 2), {9'000});
       },
       {9'100},
       {Self, {"b"}}},
      {"says that it leaves",
       [](MembershipState &State) {
         mergePeer(State, said("b", 2, true), {0});
         list(State, {listed("b", 2)}, {50});
       },
       {100},
       {Self}},
      {"listed as leaving",
       [](MembershipState &State) {
         list(State, {listed("b", 2, true)}, {50});
         mergePeer(State, said("b", 2), {90});
       },
       {100},
       {Self}},
      {"replaced at the same address",
       [](MembershipState &State) {
         list(State, {listed("b", 2)}, {0});
         mergePeer(State, said("c", 2), {50});
       },
       {100},
       {Self, {"c"}}},
      {"another address is no replacement",
       [](MembershipState &State) {
         list(State, {listed("b", 2)}, {0});
         mergePeer(State, said("c", 3), {50});
       },
       {100},
       {Self, {"b"}, {"c"}}},
  }));
  INFO(Given.Name);
  MembershipState State;
  Given.Happen(State);
  CHECK(liveInstances(State, Self, false, Settings, Given.Now) ==
        Given.Expected);
}

TEST_CASE("an instance that leaves is no candidate for itself") {
  MembershipState State;
  mergePeer(State, said("b", 2), {0});
  CHECK(liveInstances(State, Self, true, Settings, {100}) == Live{{"b"}});
}

TEST_CASE("what an instance says of its address goes before the list") {
  MembershipState State;
  mergePeer(State, said("b", 7), {0});
  list(State, {listed("b", 2)}, {10});
  REQUIRE(State.Members.size() == 1);
  CHECK(State.Members.front().Address.PeerPort == 7);
}

TEST_CASE("gone instances are forgotten and listed ones are not") {
  MembershipState State;
  mergePeer(State, said("b", 2), {0});
  mergePeer(State, said("c", 3), {0});
  list(State, {listed("c", 3)}, {60'000});
  REQUIRE(State.Members.size() == 1);
  CHECK(State.Members.front().Instance == InstanceId{"c"});
}

TEST_CASE("gossip goes to all that may be alive") {
  MembershipState State;
  list(State, {listed("a", 1), listed("b", 2), listed("d", 0)}, {0});
  mergePeer(State, said("c", 2), {10});
  const std::vector<Member> Targets = gossipTargets(State, Self);
  REQUIRE(Targets.size() == 1);
  CHECK(Targets.front().Instance == InstanceId{"c"});
}
