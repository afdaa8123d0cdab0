#include "pistachioflow/sched/worker_reliability.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("failures and refusals suspend a worker") {
  struct Row {
    const char *Name;
    std::vector<std::string> FailedJobs;
    std::int64_t Refusals;
    bool Stuck;
    std::int64_t SuspendedMs; ///< Suspended at least this long.
    std::int64_t ResumedMs;   ///< No longer suspended after this.
  };
  const auto Case = GENERATE(
      Row{"eight tasks of one job", std::vector<std::string>(8, "a"), 0, false,
          300, 1'000},
      Row{"two jobs", {"a", "b"}, 0, false, 1'900, 4'000},
      Row{"many jobs", {"a", "b", "c", "d", "e"}, 0, false, 5'000, 7'000},
      Row{"one refusal", {}, 1, false, 200, 500},
      Row{"refusals in a row", {}, 4, false, 2'000, 4'000},
      Row{"a stuck run", {}, 0, true, 1'900, 4'000});
  CAPTURE(Case.Name);
  const Instant Now{50'000};
  WorkerReliability Worker;
  for (const std::string &Job : Case.FailedJobs)
    recordEarlyFailure(Worker, Job, Now);
  for (std::int64_t Count = 0; Count < Case.Refusals; ++Count)
    recordRefusal(Worker, Now);
  if (Case.Stuck)
    recordStuckRun(Worker, Now);
  REQUIRE(isSuspended(Worker, Now + Duration{Case.SuspendedMs}));
  REQUIRE_FALSE(isSuspended(Worker, Now + Duration{Case.ResumedMs}));
  REQUIRE(isOnProbation(Worker, Now + Duration{Case.SuspendedMs}));
  // If only gangs wait, none can end the probation, so it must end by itself.
  REQUIRE_FALSE(isOnProbation(Worker, Now + Duration{10'000}));
}

TEST_CASE("only a success of a run placed after the failure ends probation") {
  const Instant Now{50'000};
  WorkerReliability Worker;
  recordEarlyFailure(Worker, "a", Now);
  recordSuccess(Worker, Now - Duration{5'000}, Now + Duration{100});
  REQUIRE(isOnProbation(Worker, Now + Duration{100}));
  const Instant Later = Now + Duration{2'000};
  recordSuccess(Worker, Now + Duration{1'000}, Later);
  REQUIRE_FALSE(isOnProbation(Worker, Later));
  REQUIRE(isVerified(Worker, Later));
  REQUIRE_FALSE(isVerified(Worker, Later + Duration{10'000}));
}

} // namespace pistachioflow
