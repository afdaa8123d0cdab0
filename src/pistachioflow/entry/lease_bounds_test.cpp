#include "pistachioflow/entry/lease_bounds.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr Duration MaxLease{6'000};

} // namespace

TEST_CASE("leases reach as far as the newest sign of the epoch allows") {
  // Times are in milliseconds after an acknowledged append.
  struct Row {
    std::string Name;
    std::vector<Instant> Occupied;
    std::vector<Instant> GivenUp;
    std::int64_t EndMs;
  };
  const auto Case = GENERATE(
      Row{"no worker has runs", {}, {}, 7'000},
      Row{"all answer", {{3'000}, {3'500}}, {}, 10'000},
      Row{"all answer for long", {{9'000}, {9'500}}, {}, 12'000},
      Row{"one of two is silent", {{3'000}, {-50}}, {}, 7'000},
      Row{"one of four is silent",
          {{3'000}, {0}, {3'200}, {3'100}},
          {},
          10'000},
      Row{"two of four are silent", {{3'000}, {0}, {3'200}, {90}}, {}, 7'090},
      Row{"one of four is silent, one given up",
          {{3'000}, {0}, {3'200}, {3'100}},
          {{100}},
          7'100},
      Row{"the only one was given up", {}, {{2'000}}, 9'000});
  CAPTURE(Case.Name);
  constexpr Instant StoredAt{100'000};
  const auto Shift = [&](std::vector<Instant> Times) {
    for (Instant &Time : Times)
      Time = StoredAt + Duration{Time.Ms};
    return Times;
  };
  const RenewalEvidence Evidence{StoredAt, Shift(Case.Occupied),
                                 Shift(Case.GivenUp)};
  REQUIRE(latestLeaseEnd(MaxLease, Evidence) ==
          StoredAt + Duration{Case.EndMs});
}

TEST_CASE("an owner waits for as long as earlier owners may renew") {
  struct Row {
    std::string Name;
    std::int64_t FencedMs;        ///< After the claim was read; -1: never.
    std::int64_t PreviousEpochMs; ///< Before the claim was read.
    std::int64_t EndMs;
  };
  const auto Case =
      GENERATE(Row{"no worker has answered", -1, 60'000, 12'540},
               Row{"workers answer at once", 100, 60'000, 7'540},
               Row{"workers answer late", 9'000, 60'000, 12'540},
               Row{"two new owners in a row", 100, 2'000, 10'540});
  CAPTURE(Case.Name);
  constexpr Instant GainedAt{100'000};
  EarlierLeases Earlier{
      GainedAt, GainedAt - Duration{Case.PreviousEpochMs}, {}};
  if (Case.FencedMs >= 0)
    Earlier.FencedAt = GainedAt + Duration{Case.FencedMs};
  REQUIRE(earlierLeasesEnd(MaxLease, Earlier) ==
          GainedAt + Duration{Case.EndMs});
}

TEST_CASE("a lease outlives holds that fail") {
  const auto [LeaseMs, WaitMs] = GENERATE(table<std::int64_t, std::int64_t>(
      {{60'000, 1'500}, {6'000, 1'500}, {3'000, 750}, {400, 250}, {-5, 250}}));
  REQUIRE(holdWait({LeaseMs}) == Duration{WaitMs});
}

// Guards against a task that runs twice at once, by bounds that don't fit.
TEST_CASE("a successor never waits less than an owner may grant") {
  const auto LeaseMs = GENERATE(3'000, 6'000, 60'000, 600'000);
  REQUIRE(shortReach({LeaseMs}) <= longReach({LeaseMs}));
  REQUIRE(longReach({LeaseMs}) >= OutageRideThrough);
  // As many workers as an owner disregards can't fence it.
  const auto Occupied = GENERATE(range<std::size_t>(1, 50));
  RenewalEvidence Evidence{{1'000}, {}, {}};
  std::size_t Shown = 0;
  while (!fencesEarlierOwners(Shown, Occupied))
    ++Shown;
  REQUIRE(Shown <= Occupied);
  for (std::size_t Index = 0; Index < Occupied; ++Index)
    Evidence.Occupied.push_back({Index < Shown ? 1'000 : 9'000});
  REQUIRE(latestLeaseEnd({LeaseMs}, Evidence) ==
          Instant{1'000} + shortReach({LeaseMs}));
}

} // namespace pistachioflow
