#include "pistachioflow/entry/unwanted_runs.hpp"

#include <cstdint>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

// Guards against an owner that repeats a stop with every report until the run
// has ended: 1,100 stops in 0.2 s to one worker.
TEST_CASE("an unwanted run is not told to stop again before its time") {
  struct Row {
    const char *What;
    std::int64_t StoppedRun; ///< 0: no stop was accepted.
    std::int64_t NowMs;
    std::size_t Stops;
  };
  const auto Case = GENERATE(
      Row{"no answer yet", 0, 1'010, 1}, Row{"just accepted", 1, 1'010, 0},
      Row{"late", 1, 1'900, 1}, Row{"accepted for another run", 2, 1'010, 1});
  CAPTURE(Case.What);
  const std::vector<RunningTask> Reported{{"task", 1, {}, 0, -1}};
  UnwantedRuns Runs;
  REQUIRE(Runs.update(Reported, {1'000}).size() == 1);
  if (Case.StoppedRun != 0)
    Runs.stopAccepted("task", Case.StoppedRun, {1'900});
  REQUIRE(Runs.update(Reported, {Case.NowMs}).size() == Case.Stops);
}

TEST_CASE("unwanted runs that are reported no more are forgotten") {
  const std::vector<RunningTask> Reported{{"task", 1, {}, 0, -1}};
  UnwantedRuns Runs;
  Runs.update(Reported, {1'000});
  Runs.stopAccepted("task", 1, {1'900});
  REQUIRE_FALSE(Runs.empty());
  REQUIRE(Runs.contains("task", 1));
  REQUIRE_FALSE(Runs.contains("task", 2));
  REQUIRE(Runs.update({}, {1'010}).empty());
  REQUIRE(Runs.empty());
  REQUIRE(Runs.update(Reported, {1'020}).size() == 1);
}

} // namespace pistachioflow
