// Leases of real daemons while the store is out of reach.

#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "fleet.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t Instances = 3;
constexpr std::size_t WorkerCount = 6;
constexpr Duration StartLimit{20'000};
constexpr Duration MaxLease{6'000};
constexpr Duration OutageLength{10'000};
constexpr std::int64_t EndlessMs = 600'000;

std::string folder(const std::string &Name) {
  return (std::filesystem::temp_directory_path() /
          ("pistachioflow-" + Name + "-" + std::to_string(::getpid())))
      .string();
}

/// Submits \p Count jobs of one task and waits until all run.
asio::awaitable<std::vector<SubmittedJob>> startJobs(Fleet &Daemons,
                                                     std::uint64_t FirstNumber,
                                                     std::size_t Count,
                                                     std::int64_t WorkMs) {
  TaskSimulator &Workers = Daemons.Platform.Simulator;
  TaskScript Script;
  Script.WorkMs = WorkMs;
  Script.RequiredResources.Accelerators = 2;
  const auto Before = Workers.startCount();
  std::vector<SubmittedJob> Jobs;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Jobs.push_back(makeJob(FirstNumber + Index, 1, false, Script));
    co_await Daemons.submit(Jobs.back(), Index, 50);
  }
  const auto Started = [&] {
    return Workers.startCount() == Before + static_cast<std::int64_t>(Count);
  };
  if (!co_await Daemons.waitUntil(Started, StartLimit))
    Daemons.recordViolation("the jobs do not start");
  co_return Jobs;
}

asio::awaitable<void> waitForOwner(Fleet &Daemons) {
  if (!co_await Daemons.waitUntil(
          [&Daemons] { return Daemons.ownerIndex() >= 0; }, StartLimit))
    Daemons.recordViolation("no owner");
}

} // namespace

TEST_CASE("runs go on during an outage of the store for everybody") {
  struct Row {
    std::string Name;
    StoreFaults Faults;
  };
  const auto Case = GENERATE(Row{"store_silent", {false, true, 0, {0}}},
                             Row{"store_refuses", {true, false, 0, {0}}});
  CAPTURE(Case.Name);
  Fleet Fixture(Instances, WorkerCount, 1, folder(Case.Name));
  const std::vector<std::string> Violations =
      Fixture.run([&Case](Fleet &Daemons) -> asio::awaitable<void> {
        TaskSimulator &Workers = Daemons.Platform.Simulator;
        co_await waitForOwner(Daemons);
        const std::vector<SubmittedJob> Jobs =
            co_await startJobs(Daemons, 1, 18, EndlessMs);
        // These fill the workers, and end during the outage beside the others.
        co_await startJobs(Daemons, 100, 6, 3'000);
        const auto Starts = Workers.startCount();
        Daemons.Platform.StoreBehaviour = Case.Faults;
        co_await pauseFor(Daemons.io(), OutageLength);
        Daemons.Platform.StoreBehaviour = {};
        co_await pauseFor(Daemons.io(), MaxLease);
        for (const SubmittedJob &Job : Jobs)
          if (Workers.workerOf(Job.Tasks.front()).empty())
            Daemons.recordViolation(Job.Id + " does not run");
        if (Workers.startCount() != Starts)
          Daemons.recordViolation("runs were started again");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
