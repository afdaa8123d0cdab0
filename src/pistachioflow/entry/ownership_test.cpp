#include "pistachioflow/entry/ownership.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE(
    "an instance claims from no owner, a lost one or a much smaller one") {
  constexpr std::int64_t OurMilliCores = 500;
  struct Row {
    const char *Description;
    std::int64_t Epoch;
    bool Resigned;
    bool Readable;
    bool ShuttingDown;
    std::int64_t LastRecordMs; ///< Before now.
    std::int64_t ReadableMs;   ///< Before now.
    std::int64_t OwnerMilliCores;
    bool ShouldClaim;
    std::int64_t VacantMs = 9'000; ///< Where vacant; before now.
    std::int64_t PausedMs = -1;    ///< A rejected claim's pause; from now.
  };
  const auto Case = GENERATE(
      Row{"never owned", 0, false, true, false, 9'000, 9'000, 0, true},
      Row{"resigned", 3, true, true, false, 200, 9'000, OurMilliCores, true},
      // It continues until it has a successor, and writes heartbeats.
      Row{"resigned, still working", 3, true, true, false, 10, 9'000,
          OurMilliCores, true, 200},
      Row{"resigned a moment ago", 3, true, true, false, 10, 9'000,
          OurMilliCores, false, 100},
      // Many instances claim at once; the rejected ones must pause.
      Row{"resigned, claim just rejected", 3, true, true, false, 10, 9'000,
          OurMilliCores, false, 200, 100},
      Row{"lost, claim just rejected", 3, false, true, false, 1'700, 9'000,
          OurMilliCores, false, 0, 100},
      Row{"responsive", 3, false, true, false, 400, 9'000, OurMilliCores,
          false},
      Row{"lost", 3, false, true, false, 1'700, 9'000, OurMilliCores, true},
      Row{"lost, store just back", 3, false, true, false, 9'000, 300,
          OurMilliCores, false},
      Row{"store unreachable", 3, false, false, false, 9'000, 9'000,
          OurMilliCores, false},
      Row{"shutting down", 3, false, true, true, 9'000, 9'000, OurMilliCores,
          false},
      // A small instance that owns 350 workers falls behind with its starts and
      // stops.
      Row{"owner is much smaller", 3, false, true, false, 400, 9'000, 120,
          true},
      Row{"owner is much smaller, we are new", 3, false, true, false, 400,
          3'000, 120, false},
      Row{"owner is a little smaller", 3, false, true, false, 400, 9'000, 300,
          false});
  CAPTURE(Case.Description);
  const Instant Now{100'000};
  OwnershipView View;
  View.NewestRecord.Epoch = Case.Epoch;
  View.NewestRecord.Resigned = Case.Resigned;
  View.NewestRecord.MilliCores = Case.OwnerMilliCores;
  View.MilliCores = OurMilliCores;
  View.Readable = Case.Readable;
  View.ShuttingDown = Case.ShuttingDown;
  View.LastRecordAt = Now - Duration{Case.LastRecordMs};
  View.NoClaimBefore = Now + Duration{Case.PausedMs};
  if (needsSuccessor(View.NewestRecord, "us/2"))
    View.VacantSince = Now - Duration{Case.VacantMs};
  View.ReadableSince = Now - Duration{Case.ReadableMs};
  REQUIRE(shouldClaim(View, {}, {100}, Now) == Case.ShouldClaim);
}

TEST_CASE("instances with more processors claim first") {
  const OwnershipTimes Times;
  REQUIRE(claimDelay(Times, 500) + Times.ClaimJitter < claimDelay(Times, 120));
}

TEST_CASE("an instance succeeds its own earlier process without delay") {
  // All processes are killed at once: nobody else can tell a dead owner from a
  // slow one before its heartbeats are overdue.
  const auto [Owner, Epoch, Resigned, Needed] =
      GENERATE(table<std::string, std::int64_t, bool, bool>({
          {"", 0, false, true},
          {"us/2", 3, false, false},
          {"us/1", 3, false, true},
          {"us-too/1", 3, false, false},
          {"them/1", 3, false, false},
          {"them/1", 3, true, true},
      }));
  CAPTURE(Owner, Resigned);
  OwnershipRecord Record;
  Record.Epoch = Epoch;
  Record.Instance = Owner;
  Record.Resigned = Resigned;
  REQUIRE(needsSuccessor(Record, "us/2") == Needed);
}

} // namespace pistachioflow
