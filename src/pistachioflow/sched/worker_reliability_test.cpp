#include "pistachioflow/sched/worker_reliability.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a worker is barred by what fails on it") {
  struct Row {
    const char *Why;
    std::vector<std::string> FailedJobs;
    std::int64_t Refusals;
    bool Stuck;
    std::int64_t BarredMs; ///< At least this long.
    std::int64_t FreeMs;   ///< Not this long.
  };
  const auto Case = GENERATE(
      Row{"eight tasks of one job", std::vector<std::string>(8, "a"), 0, false,
          300, 1'000},
      Row{"two jobs", {"a", "b"}, 0, false, 1'900, 4'000},
      Row{"many jobs", {"a", "b", "c", "d", "e"}, 0, false, 5'000, 7'000},
      Row{"one refusal", {}, 1, false, 200, 500},
      Row{"refusals in a row", {}, 4, false, 2'000, 4'000},
      Row{"a run stood still", {}, 0, true, 1'900, 4'000});
  CAPTURE(Case.Why);
  const Instant Now{50'000};
  WorkerReliability Trust;
  for (const std::string &Job : Case.FailedJobs)
    recordEarlyFailure(Trust, Job, Now);
  for (std::int64_t Count = 0; Count < Case.Refusals; ++Count)
    recordRefusal(Trust, Now);
  if (Case.Stuck)
    recordStuckRun(Trust, Now);
  REQUIRE(isSuspended(Trust, Now + Duration{Case.BarredMs}));
  REQUIRE_FALSE(isSuspended(Trust, Now + Duration{Case.FreeMs}));
  REQUIRE(isOnProbation(Trust, Now + Duration{Case.BarredMs}));
  // At the end of a day nothing but gangs may wait, which cannot try it.
  REQUIRE_FALSE(isOnProbation(Trust, Now + Duration{10'000}));
}

TEST_CASE("only a run that was started after a failure restores trust") {
  const Instant Now{50'000};
  WorkerReliability Trust;
  recordEarlyFailure(Trust, "a", Now);
  recordSuccess(Trust, Now - Duration{5'000}, Now + Duration{100});
  REQUIRE(isOnProbation(Trust, Now + Duration{100}));
  const Instant Later = Now + Duration{2'000};
  recordSuccess(Trust, Now + Duration{1'000}, Later);
  REQUIRE_FALSE(isOnProbation(Trust, Later));
  REQUIRE(isVerified(Trust, Later));
  REQUIRE_FALSE(isVerified(Trust, Later + Duration{10'000}));
}

} // namespace pistachioflow
