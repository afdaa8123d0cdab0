#include "pistachioflow/entry/ownership.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("an instance claims only what is vacant or silent") {
  constexpr std::int64_t Ours = 500;
  struct Row {
    const char *Why;
    std::int64_t Epoch;
    bool Resigned;
    bool Readable;
    bool Leaving;
    std::int64_t HeardMs;   ///< Before now.
    std::int64_t HealthyMs; ///< Before now.
    std::int64_t OwnerMilliCores;
    bool Claims;
  };
  const auto Case = GENERATE(
      Row{"never owned", 0, false, true, false, 9'000, 9'000, 0, true},
      Row{"resigned", 3, true, true, false, 200, 9'000, Ours, true},
      Row{"alive", 3, false, true, false, 400, 9'000, Ours, false},
      Row{"silent", 3, false, true, false, 1'700, 9'000, Ours, true},
      Row{"silent, store just back", 3, false, true, false, 9'000, 300, Ours,
          false},
      Row{"store away", 3, false, false, false, 9'000, 9'000, Ours, false},
      Row{"leaving", 3, false, true, true, 9'000, 9'000, Ours, false},
      // A small instance owns 350 workers, and falls behind with its orders.
      Row{"owner is weak", 3, false, true, false, 400, 9'000, 120, true},
      Row{"owner is weak, we are new", 3, false, true, false, 400, 3'000, 120,
          false},
      Row{"owner is a little weaker", 3, false, true, false, 400, 9'000, 300,
          false});
  CAPTURE(Case.Why);
  const Instant Now{100'000};
  OwnershipView View;
  View.NewestRecord.Epoch = Case.Epoch;
  View.NewestRecord.Resigned = Case.Resigned;
  View.NewestRecord.MilliCores = Case.OwnerMilliCores;
  View.MilliCores = Ours;
  View.Readable = Case.Readable;
  View.ShuttingDown = Case.Leaving;
  View.LastRecordAt = Now - Duration{Case.HeardMs};
  View.ReadableSince = Now - Duration{Case.HealthyMs};
  REQUIRE(shouldClaim(View, {}, {100}, Now) == Case.Claims);
}

TEST_CASE("instances with more processor claim first") {
  const OwnershipTimes Times;
  REQUIRE(claimDelay(Times, 500) + Times.ClaimJitter < claimDelay(Times, 120));
}

} // namespace pistachioflow
