#include "pistachioflow/entry/planning.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a run leaves a worker that goes before the run ends") {
  // Workers are taken away at short notice: what still runs there then is lost,
  // and its place is kept for a whole lease.
  struct Row {
    const char *Why;
    std::int64_t NoticeMs; ///< When the notice began, 2 s before it leaves.
    std::int64_t LeftMs;
    bool Leaves;
  };
  const auto Case = GENERATE(
      Row{"ends in time", 0, 1'500, false}, Row{"does not", 0, 2'500, true},
      Row{"time has passed", 1'000, 1'500, true},
      Row{"the worker should be gone", 2'500, 100, true});
  CAPTURE(Case.Why);
  const Instant Notice{10'000};
  const RemainingTime Run{{Case.LeftMs}, true};
  REQUIRE(mustLeave(Notice + Duration{2'000}, Run,
                    Notice + Duration{Case.NoticeMs}) == Case.Leaves);
}

} // namespace pistachioflow
