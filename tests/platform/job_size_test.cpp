// End-to-end tests of jobs that are as large as they may be, or larger.

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "pistachioflow/platform/job_codec.hpp"
#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// Of an entry instance on the users' platform.
constexpr std::int64_t MaxMemoryKb = 260 * 1'024;
constexpr std::int64_t WorkMs = 60'000;
/// Several times as long as an owner may be silent.
constexpr Duration WatchTime{6'000};

/// Returns the most memory that a process has had resident so far.
std::int64_t peakMemoryKb(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  const std::string Key = "VmHWM:";
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Key))
      return std::stoll(Line.substr(Key.size()));
  return 0;
}

/// Submits a job once, at one instance, until \p Left counts down to zero.
asio::awaitable<void> submitOnce(Fleet &Daemons, SubmittedJob &Job,
                                 std::size_t &Left) {
  co_await Daemons.submit(Job, 0, 1);
  --Left;
}

} // namespace

// Guards against a job that is accepted and then ends each owner that holds it.
TEST_CASE("the largest job leaves the owner its queues and its memory",
          "[slow]") {
  const bool Gangs = GENERATE(false, true);
  CAPTURE(Gangs);
  Fleet Fixture(Instances, WorkerCount, 1, folder("largest_job"));
  const std::vector<std::string> Violations =
      Fixture.run([=](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const std::int64_t Epoch = Daemons.ownerEpoch();
        TaskScript Script;
        Script.WorkMs = WorkMs;
        Script.RequiredResources = {100, 10, 0};
        SubmittedJob Job =
            makeJob(1, Gangs ? MaxGangSize : MaxTasksPerJob, Gangs, Script);
        co_await Daemons.submit(Job, 0, 1);
        if (!Job.Accepted)
          Daemons.recordViolation("not accepted");
        co_await pauseFor(Daemons.io(), WatchTime);
        if (Daemons.ownerEpoch() != Epoch)
          Daemons.recordViolation("the owner changed");
        const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
        const std::int64_t PeakKb = peakMemoryKb(Daemons.Members[Owner]->Pid);
        if (PeakKb > MaxMemoryKb)
          Daemons.recordViolation(std::to_string(PeakKb) + " kB");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

// Guards against one request that ends one owner after another: all of its
// occurrences were due, and each owner opened them before anything else.
TEST_CASE("a job with a billion due occurrences is rejected") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("billion_occurrences"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const std::int64_t Epoch = Daemons.ownerEpoch();
        SubmittedJob Job = makeJob(1, 1, false, TaskScript{});
        Job.Body = R"({"specification":"","repeat_count":1000000000,)"
                   R"("start_at_ms":1,"interval_ms":1,"steps":[{"count":1}]})";
        co_await Daemons.submit(Job, 0, 1);
        if (Job.Accepted)
          Daemons.recordViolation("accepted");
        co_await pauseFor(Daemons.io(), WatchTime);
        if (Daemons.ownerEpoch() != Epoch)
          Daemons.recordViolation("the owner changed");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

// Guards against one caller that makes an instance refuse all others: the store
// refused their jobs with the too large one, and again with each retry.
TEST_CASE("a job too large for the store's records harms no other") {
  constexpr std::int64_t MaxRecordBytes = 2'048;
  constexpr std::size_t SmallJobs = 8;
  Fleet Fixture(Instances, WorkerCount, 1, folder("large_record"));
  Fixture.limitRecords(MaxRecordBytes);
  const std::vector<std::string> Violations =
      Fixture.run([=](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        SubmittedJob Large = makeJob(1, 1, false, TaskScript{});
        Large.Body = R"({"specification":")" +
                     std::string(2 * MaxRecordBytes, 'x') +
                     R"(","steps":[{"count":1}]})";
        std::vector<SubmittedJob> Small;
        for (std::uint64_t Number = 0; Number < SmallJobs; ++Number)
          Small.push_back(makeJob(2 + Number, 1, false, TaskScript{}));
        std::size_t Left = SmallJobs + 1;
        spawnCoroutine(Daemons.io(), "large", submitOnce(Daemons, Large, Left));
        for (SubmittedJob &Job : Small)
          spawnCoroutine(Daemons.io(), "small", submitOnce(Daemons, Job, Left));
        co_await Daemons.waitUntil([&Left] { return Left == 0; }, EndLimit);
        if (Large.LastStatus != 413)
          Daemons.recordViolation("answered with " +
                                  std::to_string(Large.LastStatus));
        co_await expectCompleted(Daemons, Small);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
