// End-to-end tests of owners that are suspended while they wait for the store.

#include <algorithm>
#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// Each way. Long enough to suspend an owner between an append and its answer.
constexpr Duration PathDelay{250};
/// In which an owner that goes on would send what it had decided.
constexpr Duration ObservationTime{2'000};

/// Returns the workers of the newest run of a task, as stored.
std::vector<std::string> storedWorkers(const Fleet &Daemons,
                                       const std::string &Task) {
  const auto Newest = Daemons.Platform.Store.newest(std::string(JournalTopic),
                                                    "u/", std::size_t{1});
  std::vector<std::string> Workers;
  if (Newest.empty() || Newest.front().Record.Key != unitKey(Task))
    return Workers;
  const auto Unit = decodeRecord<UnitRecord>(Newest.front().Record.Value);
  if (Unit)
    std::ranges::transform(Unit->Places, std::back_inserter(Workers),
                           &PlaceRecord::Worker);
  return Workers;
}

} // namespace

// Guards against a task that runs again after it has ended as done: an owner
// that was suspended sent a start when its successor had long finished the
// task, to a worker that had restarted and so knew of no successor.
TEST_CASE("an owner that was suspended starts nothing", "[late]") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("suspended_owner"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
        Daemons.Members[Owner]->StoreProxy->setDelay(PathDelay);
        std::vector<SubmittedJob> Jobs{makeJob(1, 1, false, TaskScript{})};
        co_await Daemons.submit(Jobs.front(), Owner + 1, 50);
        const std::string Task = Jobs.front().Tasks.front();
        const std::function<bool()> Placed = [&Daemons, Task] {
          return !storedWorkers(Daemons, Task).empty();
        };
        if (!co_await Daemons.waitUntil(Placed, StartLimit))
          Daemons.recordViolation("the task is not placed");
        const std::string Worker = storedWorkers(Daemons, Task).front();
        Daemons.signalMember(Owner, SIGSTOP);
        Daemons.Members[Owner]->StoreProxy->setDelay({});
        co_await expectCompleted(Daemons, Jobs);
        co_await pauseFor(Daemons.io(), ObservationTime);
        Daemons.Platform.Simulator.crash(Worker, Daemons.Time.monotonic());
        Daemons.signalMember(Owner, SIGCONT);
        co_await pauseFor(Daemons.io(), ObservationTime);
        const std::int64_t Starts = Daemons.Platform.Simulator.startCount();
        if (Starts != 1)
          Daemons.recordViolation(std::to_string(Starts) + " starts");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
