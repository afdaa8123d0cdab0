#include "pistachioflow/entry/duration_model.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("durations are expected by estimates until runs tell otherwise") {
  struct Row {
    const char *Name;
    std::int64_t EstimatedMs;
    std::int64_t ActualMs;
    int Runs;
    std::int64_t LeastMs;
    std::int64_t MostMs;
  };
  const auto Case =
      GENERATE(Row{"nothing observed", 4'000, 8'000, 0, 4'000, 4'000},
               Row{"as estimated", 4'000, 4'000, 20, 3'990, 4'010},
               Row{"twice as long", 4'000, 8'000, 20, 7'500, 8'010},
               Row{"without an estimate", 0, 8'000, 20, 0, 0},
               Row{"a run that took no time", 4'000, 0, 20, 4'000, 4'000});
  CAPTURE(Case.Name);
  DurationModel Model;
  for (int Run = 0; Run < Case.Runs; ++Run)
    Model.learn("queue", Case.EstimatedMs, Case.ActualMs);
  const std::int64_t Expected = Model.expectedMs("queue", Case.EstimatedMs);
  REQUIRE(Expected >= Case.LeastMs);
  REQUIRE(Expected <= Case.MostMs);
  REQUIRE(Model.expectedMs("other", Case.EstimatedMs) == Case.EstimatedMs);
}

} // namespace pistachioflow
