#include "pistachioflow/entry/round_pacing.hpp"

#include <cstdint>

#include <catch2/catch.hpp>

namespace pistachioflow {

// Guards against an owner that loses its queues to slow rounds: with a pause of
// 25 ms after each, rounds of 300 ms took over nine tenths of the processor.
TEST_CASE("slow rounds leave half of the processor to other work") {
  const auto [RoundMs, GatheringMs] =
      GENERATE(table<std::int64_t, std::int64_t>(
          {{0, 1}, {1, 1}, {25, 25}, {100, 100}, {250, 250}, {5'000, 250}}));
  REQUIRE(gatheringTime(Duration{RoundMs}) == Duration{GatheringMs});
}

} // namespace pistachioflow
