// Leases of real daemons while the store or an owner is out of reach.

#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "fleet.hpp"
#include "pistachioflow/entry/lease_bounds.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t Instances = 3;
constexpr std::size_t WorkerCount = 6;
constexpr Duration StartLimit{20'000};
constexpr Duration MaxLease{6'000};
/// A lost owner is noticed, its successor has loaded its state, and starts.
constexpr Duration TakeoverTime{4'000};
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

/// Cuts the owner and \p Worker off from the store and everybody else.
void cutOff(Fleet &Daemons, const std::string &Worker) {
  const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
  Daemons.Platform.WorkerBehaviour.Cut =
      Partition{Daemons.ownerEpoch(), {Worker}};
  Daemons.Members[Owner]->StoreProxy->setFault(PathFault::Blocked);
}

} // namespace

// Guards against a task that runs twice at once: an owner without the store
// kept the lease of a worker that was cut off with it, beside its successor's
// start.
TEST_CASE("a task does not run beside its run on a worker that is cut off "
          "together with the owner",
          "[slow]") {
  struct Row {
    std::string Name;
    std::size_t Jobs;
    /// For the instances to see that there is no epoch before.
    Duration EpochAge;
    Duration Reach; ///< Of the leases that the owner may have granted.
  };
  const auto Case =
      GENERATE(Row{"only_the_worker_is_occupied", 1, {0}, longReach(MaxLease)},
               Row{"many_workers_are_occupied", 18,
                   maxLocalLease(longReach(MaxLease)), shortReach(MaxLease)});
  CAPTURE(Case.Name);
  Fleet Fixture(Instances, WorkerCount, 1, folder(Case.Name));
  const std::vector<std::string> Violations =
      Fixture.run([&Case](Fleet &Daemons) -> asio::awaitable<void> {
        TaskSimulator &Workers = Daemons.Platform.Simulator;
        co_await waitForOwner(Daemons);
        const std::vector<SubmittedJob> Jobs =
            co_await startJobs(Daemons, 1, Case.Jobs, EndlessMs);
        const std::string Task = Jobs.front().Tasks.front();
        const std::string Worker = Workers.workerOf(Task);
        co_await pauseFor(Daemons.io(), Case.EpochAge);
        cutOff(Daemons, Worker);
        const auto Moved = [&] {
          const std::string Newest = Workers.workerOf(Task);
          return !Newest.empty() && Newest != Worker;
        };
        const Duration Limit = TakeoverTime + maxLocalLease(Case.Reach);
        if (!co_await Daemons.waitUntil(Moved, Limit))
          Daemons.recordViolation("the task is not started again in time");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("runs go on during an outage of the store for everybody", "[slow]") {
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
        co_await pauseFor(Daemons.io(), OutageRideThrough);
        Daemons.Platform.StoreBehaviour = {};
        co_await pauseFor(Daemons.io(), maxLocalLease(MaxLease));
        for (const SubmittedJob &Job : Jobs)
          if (Workers.workerOf(Job.Tasks.front()).empty())
            Daemons.recordViolation(Job.Id + " does not run");
        if (Workers.startCount() != Starts)
          Daemons.recordViolation("runs were started again");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
