// End-to-end tests of daemons whose store forgets its history: the journal
// comes back by a load and not by a read.

#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "fleet.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t Instances = 3;
constexpr std::size_t WorkerCount = 4;
constexpr Duration StepLimit{20'000};
/// Much longer than any change of owner and any lease.
constexpr Duration EndLimit{60'000};
/// Several pauses between two reads of an instance that is not the owner.
constexpr Duration ReadingTime{700};

std::string folder(const std::string &Name) {
  return (std::filesystem::temp_directory_path() /
          ("pistachioflow-" + Name + "-" + std::to_string(::getpid())))
      .string();
}

SubmittedJob jobOf(std::uint64_t Number, std::int64_t WorkMs) {
  TaskScript Script;
  Script.WorkMs = WorkMs;
  return makeJob(Number, 2, false, Script);
}

/// Returns the epoch of the newest owner in the journal; 0: none.
std::int64_t ownerEpoch(const Fleet &Daemons) {
  const auto Newest =
      Daemons.Platform.Store.newest(std::string(JournalTopic), "o/", 1);
  if (Newest.empty())
    return 0;
  const auto Decoded =
      decodeRecord<OwnershipRecord>(Newest.front().Record.Value);
  return Decoded ? Decoded->Epoch : 0;
}

asio::awaitable<void> waitForOwner(Fleet &Daemons) {
  if (!co_await Daemons.waitUntil(
          [&Daemons] { return Daemons.ownerIndex() >= 0; }, StepLimit))
    Daemons.recordViolation("no owner");
}

asio::awaitable<void> expectEnd(Fleet &Daemons, std::string JobId,
                                std::string Expected) {
  const std::string State = co_await Daemons.waitForEnd(JobId, EndLimit);
  if (State != Expected)
    Daemons.recordViolation(JobId + " is shown as '" + State + "', not as " +
                            Expected);
}

/// Expects that \p Member shows a state, and no other one before. It may refuse
/// to answer while it loads the journal.
asio::awaitable<void> expectAnswer(Fleet &Daemons, std::string JobId,
                                   std::size_t Member, std::string Expected) {
  const Instant StartedAt = Daemons.Time.monotonic();
  std::string State;
  while (State.empty() && Daemons.Time.monotonic() - StartedAt < StepLimit)
    State = co_await Daemons.queryState(JobId, Member);
  if (State != Expected)
    Daemons.recordViolation(Daemons.Members[Member]->Name + " shows " + JobId +
                            " as '" + State + "', not as " + Expected);
}

asio::awaitable<void> complete(Fleet &Daemons, SubmittedJob Job,
                               std::size_t Member) {
  co_await Daemons.submit(Job, Member, 50);
  co_await expectEnd(Daemons, Job.Id, "completed");
}

/// Expects no more starts than tasks were submitted that may run.
void expectStarts(Fleet &Daemons, std::int64_t Expected) {
  const std::int64_t Started = Daemons.Platform.Simulator.startCount();
  if (Started != Expected)
    Daemons.recordViolation(std::to_string(Started) + " starts, expected " +
                            std::to_string(Expected));
}

} // namespace

// Guards against completed jobs that run again: a term began on a part of the
// journal and later took every job for a new one.
TEST_CASE("an owner that reads its claim back by a load keeps every job") {
  constexpr std::uint64_t ShortJobs = 6;
  Fleet Fixture(Instances, WorkerCount, 1, folder("claim_reload"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        for (std::uint64_t Number = 1; Number <= ShortJobs; ++Number)
          co_await complete(Daemons, jobOf(Number, 100), Number);
        SubmittedJob Long = jobOf(ShortJobs + 1, 8'000);
        co_await Daemons.submit(Long, 0, 50);
        co_await Daemons.waitUntil(
            [&Daemons] {
              return Daemons.Platform.Simulator.runningCount() == 2;
            },
            StepLimit);
        const std::int64_t Epoch = ownerEpoch(Daemons);
        Daemons.signalMember(static_cast<std::size_t>(Daemons.ownerIndex()),
                             SIGKILL);
        co_await pauseFor(Daemons.io(), ReadingTime);
        Daemons.Platform.StoreBehaviour.WatchesSilent = true;
        if (!co_await Daemons.waitUntil(
                [&] { return ownerEpoch(Daemons) > Epoch; }, StepLimit))
          Daemons.recordViolation("no successor");
        Daemons.Platform.forgetHistory();
        co_await expectEnd(Daemons, Long.Id, "completed");
        for (std::uint64_t Number = 1; Number <= ShortJobs; ++Number)
          co_await expectEnd(Daemons, jobOf(Number, 100).Id, "completed");
        expectStarts(Daemons, 2 * (ShortJobs + 1));
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

// Guards against a cancelled job that runs: the owner read its cancellation
// before the job and dropped it.
TEST_CASE("an owner that reads a job and its cancellation by a load does not "
          "run it") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("cancel_reload"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        // The owner is at work.
        co_await complete(Daemons, jobOf(1, 100), 0);
        const auto Other =
            static_cast<std::size_t>(Daemons.ownerIndex() + 1) % Instances;
        Daemons.Platform.StoreBehaviour.WatchesSilent = true;
        SubmittedJob Unwanted = jobOf(2, 3'000);
        co_await Daemons.submit(Unwanted, Other, 1);
        if (!co_await Daemons.cancel(Unwanted.Id, Other))
          Daemons.recordViolation("not cancelled");
        Daemons.Platform.forgetHistory();
        // The owner has read the journal again once this has completed.
        co_await complete(Daemons, jobOf(3, 100), Other);
        for (std::size_t Member = 0; Member < Instances; ++Member)
          co_await expectAnswer(Daemons, Unwanted.Id, Member, "cancelled");
        expectStarts(Daemons, 4);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
