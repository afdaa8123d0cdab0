#include "pistachioflow/sched/queue_order.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

RankInputs inputs(std::int64_t Priority, std::int64_t DueMs,
                  std::int64_t WorkMs) {
  return {Priority, {DueMs}, WorkMs, WorkMs, 3.0, 1'000};
}

} // namespace

TEST_CASE("units are ranked by priority, tardiness and latest start") {
  struct Row {
    RankInputs First;
    RankInputs Second;
  };
  const Instant Now{20'000};
  const auto Case = GENERATE(
      // A higher priority goes first, however late it is.
      Row{inputs(0, 0, 100), inputs(1, 20'000, 5'000)},
      // Work that can be on time goes before late work.
      Row{inputs(1, 15'000, 5'000), inputs(1, 0, 5'000)},
      // Late work goes before work that is too late to be of use.
      Row{inputs(1, 10'000, 2'000), inputs(1, -100'000, 2'000)},
      // Of two on time, the one with the earlier latest start.
      Row{inputs(1, 14'000, 5'000), inputs(1, 18'000, 5'000)});
  REQUIRE(rankUnit(Case.First, Now) < rankUnit(Case.Second, Now));
}

} // namespace pistachioflow
