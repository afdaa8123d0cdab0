#include "pistachioflow/entry/planning.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a run is stopped on a draining worker if it would not end in time") {
  // Workers may be removed at short notice. Runs still there are lost, and
  // their units wait until the lease has expired.
  struct Row {
    const char *Name;
    /// Time since the notice, which comes 2 s before the worker leaves.
    std::int64_t NoticeMs;
    std::int64_t LeftMs;
    bool Leaves;
  };
  const auto Case =
      GENERATE(Row{"ends in time", 0, 1'500, false},
               Row{"does not end in time", 0, 2'500, true},
               Row{"time has passed", 1'000, 1'500, true},
               Row{"the worker should have left", 2'500, 100, true},
               Row{"lasts", 0, NeverEnds.Ms, true});
  CAPTURE(Case.Name);
  const Instant Notice{10'000};
  const RemainingTime Run{{Case.LeftMs}, true};
  REQUIRE(mustLeave(Notice + Duration{2'000}, Run,
                    Notice + Duration{Case.NoticeMs}) == Case.Leaves);
}

} // namespace pistachioflow
