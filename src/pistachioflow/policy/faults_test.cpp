#include <catch2/catch.hpp>

#include "pistachioflow/policy/reservation.hpp"
#include "pistachioflow/policy/test_cell.hpp"

using namespace pistachioflow;
using namespace pistachioflow::policy;
using namespace pistachioflow::policy::test;

namespace {

using Codes = std::vector<ReasonCode>;

/// Submits jobs, and fails those that are placed on the worker.
void failOn(TestCell &Cell, const std::string &Worker, int Jobs) {
  for (int Job = 0; Job < Jobs; ++Job) {
    const std::string Name = Worker + "-" + std::to_string(Job);
    Cell.tell(JobSubmitted{jobOf(Name, "ratings", 1, 8)});
    if (!isActive(Cell.job(Name)))
      continue;
    if (Cell.job(Name).Placements.front().Worker.Value == Worker)
      Cell.failed(Name, Worker);
    else
      Cell.finished(Name);
  }
}

std::size_t quarantined(const TestCell &Cell) {
  std::size_t Count = 0;
  for (const auto &[Name, Worker] : Cell.State.Workers)
    Count += Worker.Quarantined;
  return Count;
}

} // namespace

TEST_CASE("a worker on which different jobs fail is quarantined") {
  TestCell Cell({1, 2, 2}, simpleLists());
  Cell.tell(JobSubmitted{jobOf("probe", "ratings", 1, 8)});
  const std::string Faulty = Cell.job("probe").Placements.front().Worker.Value;
  Cell.failed("probe", Faulty);
  CHECK(quarantined(Cell) == 0);
  failOn(Cell, Faulty, 4);
  CHECK(Cell.State.Workers.at({Faulty}).Quarantined);
  CHECK(Cell.job("probe").FailedOn.empty());
}

TEST_CASE(
    "a quarantined worker returns on probation, and one failure is enough") {
  TestCell Cell({1, 1, 1}, Lists(simpleLists()));
  failOn(Cell, "d0r0w0", 2);
  REQUIRE(quarantined(Cell) == 1);
  const Instant Until = Cell.State.Workers.at({"d0r0w0"}).QuarantinedUntil;
  for (const char *Name : {"d0r0w0-0", "d0r0w0-1"})
    Cell.tell(JobCancelled{{Name}});
  Cell.pass(Until - Cell.Now);
  CHECK(Cell.codes<ReleaseWorker>() == Codes{ReasonCode::ReleasedOnProbation});
  Cell.tell(JobSubmitted{jobOf("c", "ratings", 1, 8)});
  REQUIRE(Cell.job("c").Phase == JobPhase::Starting);
  const bool Fails = GENERATE(true, false);
  if (Fails)
    Cell.failed("c", "d0r0w0");
  else
    Cell.finished("c");
  CHECK(quarantined(Cell) == (Fails ? 1 : 0));
  CHECK(Cell.State.Workers.at({"d0r0w0"}).OnProbation == false);
}

TEST_CASE("at most a bounded share of the workers is quarantined") {
  TestCell Cell({1, 4, 5}, simpleLists());
  for (const WorkerInfo &Worker : workersOf({1, 4, 5}))
    for (int Jobs = 0; Jobs < 4; ++Jobs) {
      const std::string Name = Worker.Worker.Value + std::to_string(Jobs);
      Cell.tell(JobSubmitted{jobOf(Name, "ratings", 1, 8)});
      if (isActive(Cell.job(Name)))
        Cell.failed(Name, Cell.job(Name).Placements.front().Worker.Value);
    }
  CHECK(quarantined(Cell) > 0);
  CHECK(quarantined(Cell) <= 2);
}

TEST_CASE("jobs that fail everywhere are not blamed on the workers") {
  TestCell Cell({1, 5, 4}, simpleLists());
  for (int Job = 0; Job < 6; ++Job) {
    const std::string Name = "bad" + std::to_string(Job);
    Cell.tell(JobSubmitted{jobOf(Name, "ratings", 1, 8)});
    for (int Tries = 0; Tries < 3; ++Tries) {
      REQUIRE(isActive(Cell.job(Name)));
      Cell.failed(Name, Cell.job(Name).Placements.front().Worker.Value);
      Cell.pass({70'000});
    }
    CHECK(Cell.job(Name).Phase == JobPhase::Failed);
  }
  CHECK(quarantined(Cell) == 0);
}

TEST_CASE("a start that is always refused is given up") {
  TestCell Cell({1, 1, 2}, simpleLists());
  Cell.tell(JobSubmitted{jobOf("a", "ratings", 1, 8)});
  int Starts = 0;
  while (!hasEnded(Cell.job("a")) && Starts < 100) {
    if (isActive(Cell.job("a"))) {
      ++Starts;
      Cell.tell(GangRefused{
          {"a"}, Cell.job("a").Try, Cell.job("a").Placements.front().Worker});
    } else {
      Cell.pass({60'000});
    }
  }
  CHECK(Cell.job("a").Phase == JobPhase::Failed);
  CHECK(Starts <= 8);
}

TEST_CASE("a task that uses more cores than declared is throttled once") {
  TestCell Cell({1, 1, 1}, simpleLists());
  Cell.run(jobOf("a", "ratings", 2, 2));
  Cell.tell(UsageReported{{"a"}, 1, {"d0r0w0"}, 2, 100});
  CHECK(Cell.Last.empty());
  Cell.tell(UsageReported{{"a"}, 1, {"d0r0w0"}, 9, 100});
  REQUIRE(Cell.find<ThrottleGang>());
  CHECK(Cell.find<ThrottleGang>()->CoresAllowed == 2);
  Cell.tell(UsageReported{{"a"}, 1, {"d0r0w0"}, 9, 100});
  CHECK(Cell.Last.empty());
}

TEST_CASE("usage reports free and take no accelerator") {
  TestCell Cell({1, 1, 1}, simpleLists());
  Cell.run(jobOf("a", "ratings", 1, 8));
  Cell.tell(JobSubmitted{jobOf("b", "ratings", 1, 8)});
  Cell.tell(UsageReported{{"a"}, 1, {"d0r0w0"}, 0, 0});
  CHECK(Cell.Last.empty());
  CHECK(Cell.job("b").Phase == JobPhase::Queued);
}

TEST_CASE("declared run times are corrected by what earlier jobs took") {
  TestCell Cell({1, 1, 1}, simpleLists());
  for (int Job = 0; Job < 30; ++Job) {
    const std::string Name = std::to_string(Job);
    Cell.run(jobOf(Name, "ratings", 1, 8));
    Cell.Now = Cell.Now + Duration{1'800'000};
    Cell.finished(Name);
  }
  Cell.tell(JobSubmitted{jobOf("last", "ratings", 1, 8)});
  Cell.tell(JobSubmitted{jobOf("other", "reports", 1, 8)});
  const Duration Declared = Cell.job("last").Spec.DeclaredRuntime;
  CHECK(Cell.job("last").ExpectedRuntime > Declared * 2);
  CHECK(Cell.job("other").ExpectedRuntime == Declared);
}

TEST_CASE("no stream of small jobs starves a large one") {
  TestCell Cell({1, 1, 2}, simpleLists());
  const std::int64_t RuntimeMs = GENERATE(120'000, 36'000'000);
  std::vector<std::pair<std::string, Instant>> Ends;
  int Next = 0;
  const auto Submit = [&] {
    JobSpec Small = jobOf("s" + std::to_string(Next++), "ratings", 1, 2);
    Small.DeclaredRuntime = {60'000};
    Cell.tell(JobSubmitted{Small});
  };
  for (int Job = 0; Job < 16; ++Job)
    Submit();
  Cell.tell(JobSubmitted{jobOf("large", "reports", 2, 8)});
  const Instant Asked = Cell.Now;
  std::set<std::string> Known;
  while (Cell.job("large").Phase == JobPhase::Queued &&
         Cell.Now - Asked < MaxReservedWait * 3) {
    Cell.pass({10'000});
    Submit();
    for (int Job = 0; Job < Next; ++Job) {
      const std::string Name = "s" + std::to_string(Job);
      if (Cell.job(Name).Phase == JobPhase::Starting)
        Cell.started(Name);
      if (Cell.job(Name).Phase == JobPhase::Stopping)
        Cell.stopped(Name);
      else if (Cell.job(Name).Phase == JobPhase::Running &&
               Cell.Now - Cell.job(Name).StartedAt >= Duration{RuntimeMs})
        Cell.finished(Name);
    }
  }
  CHECK(Cell.job("large").Phase == JobPhase::Starting);
  CHECK(Cell.Now - Asked <=
        MaxReservedWait + Cell.Prefer.ReclaimDeadline + Duration{10'000});
}
