#include "pistachioflow/sched/held_back.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

// Guards against a job that waits beside idle workers, by a wait that starts
// anew.
TEST_CASE("time held back is kept while a unit fits nowhere for a moment") {
  struct Row {
    std::int64_t HeldMs;
    std::int64_t GapMs;
    std::int64_t HeldAgainMs;
    Duration Now;
    Duration InAll;
  };
  const auto Case = GENERATE(
      Row{0, 0, 0, {0}, {0}}, Row{1'900, 0, 0, {0}, {1'900}},
      Row{1'900, 100, 0, {0}, {1'900}}, Row{1'900, 100, 100, {100}, {2'000}},
      Row{500, 60'000, 700, {700}, {1'200}});
  Instant Now{1'000};
  HeldBack Held;
  holdBack(Held, Now);
  Now = Now + Duration{Case.HeldMs};
  holdBack(Held, Now);
  pauseHeldBack(Held, Now);
  Now = Now + Duration{Case.GapMs};
  pauseHeldBack(Held, Now);
  holdBack(Held, Now);
  Now = Now + Duration{Case.HeldAgainMs};
  REQUIRE(heldBackNow(Held, Now) == Case.Now);
  REQUIRE(heldBackInAll(Held, Now) == Case.InAll);
}

} // namespace pistachioflow
