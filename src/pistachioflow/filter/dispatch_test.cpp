#include <catch2/catch.hpp>

#include "pistachioflow/filter/dispatch.hpp"

using namespace pistachioflow;

namespace {

std::vector<RunnerInfo> listed(std::size_t Count, std::uint32_t Slots = 2) {
  std::vector<RunnerInfo> Runners;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Runners.push_back({{"r" + std::to_string(Index)}, {"a"}, Slots, false});
  return Runners;
}

/// Runners hold no more than their slots.
DispatchSettings withoutBacklog() {
  DispatchSettings Settings;
  Settings.Routing.Backlog = 0;
  return Settings;
}

WaitingRequest waiting(std::uint64_t Ticket, Instant Deadline = {10'000}) {
  return {Ticket, RequestClass::RoundPairing, true, Deadline, {}};
}

std::vector<DispatchGrant> fill(Dispatch &Core, std::uint64_t Count) {
  std::vector<DispatchGrant> Grants;
  for (std::uint64_t Ticket = 1; Ticket <= Count; ++Ticket)
    for (const auto &Grant : Core.enqueue(waiting(Ticket), {0}).Grants)
      Grants.push_back(Grant);
  return Grants;
}

} // namespace

TEST_CASE("an instance fills its part, and more while others are free") {
  // 10 runners with 2 slots each.
  const auto [Instances, PeersBusy, Granted] =
      GENERATE(table<std::uint32_t, std::uint32_t, std::size_t>({
          {1, 0, 20},
          // Two: all free slots but the reserve of one.
          {2, 0, 19},
          // The peer holds its part; this one gets its own whole part.
          {2, 10, 10},
          // The peer holds more than its part; this one gets what is free.
          {2, 14, 6},
          // Above the part nothing is taken from the reserve.
          {4, 15, 5},
      }));
  Dispatch Core(withoutBacklog(), 1);
  const auto Runners = listed(10);
  Core.setRunners(Runners);
  Core.setInstances(Instances);
  std::vector<RunnerInFlight> Loads;
  for (std::uint32_t Busy = 0; Busy < PeersBusy; ++Busy)
    Loads.push_back({Runners[Busy % Runners.size()].Runner, 1});
  Core.setPeerLoads(Loads, {0});
  CHECK(fill(Core, 40).size() == Granted);
  CHECK(Core.waiting() == 40 - Granted);
}

TEST_CASE("a freed slot goes to the next in order") {
  Dispatch Core(withoutBacklog(), 1);
  Core.setRunners(listed(1, 1));
  const auto Grants = fill(Core, 3);
  REQUIRE(Grants.size() == 1);
  const auto Next = Core.finished(
      {Grants[0].Runner, RequestClass::RoundPairing, SendState::Answered, 10},
      {10});
  REQUIRE(Next.Grants.size() == 1);
  CHECK(Next.Grants[0].Ticket == 2);
}

TEST_CASE("a leaving or vanished runner gets nothing new and ends its work") {
  const bool Vanished = GENERATE(true, false);
  Dispatch Core(withoutBacklog(), 1);
  Core.setRunners(listed(2, 4));
  REQUIRE(fill(Core, 8).size() == 8);
  auto Left = listed(Vanished ? 1 : 2, 4);
  if (!Vanished)
    Left[1].Leaving = true;
  Core.setRunners(Left);
  const FinishedExchange End{
      {"r1"}, RequestClass::RoundPairing, SendState::Answered, 10};
  for (int Request = 0; Request < 4; ++Request)
    CHECK(Core.finished(End, {10}).Grants.empty());
  CHECK(Core.enqueue(waiting(9), {10}).Grants.empty());
  CHECK(Core.inFlight() == 4);
}

TEST_CASE("what cannot end in time is refused") {
  Dispatch Core(withoutBacklog(), 1);
  CHECK(Core.refuseEarly(RequestClass::RoundPairing, {100}, {0}) ==
        ReasonCode::RequestNoRunner);
  Core.setRunners(listed(1, 1));
  const auto First = fill(Core, 1);
  Core.finished(
      {First[0].Runner, RequestClass::RoundPairing, SendState::Answered, 200},
      {200});
  // Half of the usual 200 ms is the least that a request needs.
  CHECK_FALSE(Core.refuseEarly(RequestClass::RoundPairing, {300}, {200}));
  CHECK(Core.refuseEarly(RequestClass::RoundPairing, {299}, {200}));
  REQUIRE(fill(Core, 4).size() == 1);
  // Three wait before it, 200 ms each.
  CHECK_FALSE(Core.refuseEarly(RequestClass::RoundPairing, {900}, {200}));
  CHECK(Core.refuseEarly(RequestClass::RoundPairing, {850}, {200}));
}

TEST_CASE("an estimate that is too high heals by refusals") {
  Dispatch Core(withoutBacklog(), 1);
  Core.setRunners(listed(1, 1));
  const auto First = fill(Core, 1);
  Core.finished({First[0].Runner, RequestClass::RoundPairing,
                 SendState::Answered, 60'000},
                {60'000});
  int Refusals = 0;
  while (Core.refuseEarly(RequestClass::RoundPairing, {1'000}, {0}))
    ++Refusals;
  CHECK(Refusals < 100);
}

TEST_CASE("a waiting request whose time is over is refused, not granted") {
  Dispatch Core(withoutBacklog(), 1);
  Core.setRunners(listed(1, 1));
  const auto First = fill(Core, 1);
  Core.enqueue(waiting(2, {50}), {0});
  const auto Result = Core.finished(
      {First[0].Runner, RequestClass::RoundPairing, SendState::Answered, 60},
      {60});
  CHECK(Result.Grants.empty());
  REQUIRE(Result.Refusals.size() == 1);
  CHECK(Result.Refusals[0].Ticket == 2);
  CHECK(Result.Refusals[0].Why == ReasonCode::RequestRefusedDeadline);
}

TEST_CASE("a runner holds its backlog until it refuses one") {
  DispatchSettings Settings;
  Settings.Routing.Backlog = 2;
  Dispatch Core(Settings, 1);
  Core.setRunners(listed(1, 2));
  REQUIRE(fill(Core, 6).size() == 4);
  const auto Refused = Core.finished(
      {{"r0"}, RequestClass::RoundPairing, SendState::RefusedBusy, 1}, {1});
  CHECK(Refused.Grants.empty());
  CHECK(Core.inFlight() == 3);
  const FinishedExchange End{
      {"r0"}, RequestClass::RoundPairing, SendState::Answered, 10};
  CHECK(Core.finished(End, {100}).Grants.empty());
  CHECK(Core.finished(End, {100}).Grants.size() == 1);
}

TEST_CASE("old gossip says less of one runner and as much of all") {
  const auto [AgeMs, Busy, Idle] =
      GENERATE(table<std::int64_t, double, double>({
          {0, 8.0, 0.0},
          {10'000, 4.0, 4.0},
      }));
  std::vector<RunnerState> Runners(2);
  Runners[0].Gossiped = 8;
  estimatePeers(Runners, {AgeMs}, 100);
  CHECK(Runners[0].Peers == Approx(Busy));
  CHECK(Runners[1].Peers == Approx(Idle).margin(0.001));
}
