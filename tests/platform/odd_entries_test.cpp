// Another writer leaves odd records among the entries of the workers, and
// instead of one worker's entry. No daemon ends or stops following the list.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "fleet.hpp"

namespace pistachioflow {

namespace {

using namespace std::string_literals;

constexpr std::size_t Instances = 3;
constexpr std::size_t WorkerCount = 6;
constexpr Duration StartLimit{20'000};
constexpr Duration EndLimit{60'000};
/// Longer than the pause between two reads of the list and a poll without
/// an answer together.
constexpr Duration SettleTime{2'000};
/// The worker whose address the odd records name: nothing may call it.
constexpr std::string_view OddWorker = "w5";

std::string folder(const std::string &Name) {
  return (std::filesystem::temp_directory_path() /
          ("pistachioflow-odd-" + Name + "-" + std::to_string(::getpid())))
      .string();
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

std::string withAddressSuffix(const std::string &Entry,
                              const std::string &Suffix) {
  const std::size_t Begin = Entry.find("127.0.0.1:");
  return std::string(Entry).insert(Entry.find('"', Begin), Suffix);
}

/// Records that name no worker although most have the address of one.
std::vector<std::string> oddValues(const std::string &Entry) {
  constexpr std::size_t Deep = 60'000;
  return {withAddressSuffix(Entry, "abc"),
          withAddressSuffix(Entry, "00000"),
          withAddressSuffix(Entry, "/x"),
          replaced(Entry, "127.0.0.1:", "0.0.0.0:"),
          replaced(Entry, "127.0.0.1:", "::1:"),
          replaced(Entry, R"("cpu":16000)", R"("cpu":1e999)"),
          replaced(Entry, R"("cpu":16000)", R"("cpu":18446744073709551616)"),
          replaced(Entry, R"("cpu":16000)", R"("cpu":9007199254740992)"),
          replaced(Entry, R"("gpus":8)", R"("gpus":-1)"),
          replaced(Entry, R"("ready")", R"("resting")"),
          replaced(Entry, R"("version":"v1")", R"("version":[])"),
          replaced(Entry, R"("labels":["a")", R"("labels":[7)"),
          replaced(Entry, R"("zone":"z1")", R"("zone":"\u0000")"),
          replaced(Entry, "{", R"({"x":1,"x":2,)"),
          replaced(Entry, "{", "{\"x\":\"\xff\",") + "\0"s,
          Entry + "\0 more"s,
          std::string(Deep, '['),
          std::string(Deep, '[') + std::string(Deep, ']'),
          replaced(Entry, "{",
                   R"({"x":)" + std::string(Deep / 2, '[') +
                       std::string(Deep / 2, ']') + ","),
          "\xff\xfe\0\x01"s,
          "null",
          " "};
}

/// Keys that can't be the value of a header, each with a good entry.
std::vector<std::string> oddKeys() {
  return {"a\r\nX: y", "w2\n",  "w3\xff",    "w3\0"s,
          "w3 x",      "\x80z", "z\xc3\xa9", std::string(250, 'w')};
}

void putOddRecords(PlatformServer &Platform) {
  const std::string Entry = Platform.workerEntry(OddWorker);
  int Number = 0;
  for (const std::string &Value : oddValues(Entry))
    for (const char *Before : {"a", "w2-", "z"})
      Platform.putWorkerRecord({Before + std::to_string(Number++), Value});
  for (const std::string &Key : oddKeys())
    Platform.putWorkerRecord({Key, Entry});
}

void spoilEntry(PlatformServer &Platform) {
  Platform.OddEntries[std::string(OddWorker)] = [](const std::string &Entry) {
    return withAddressSuffix(Entry, "abc");
  };
  Platform.publishWorkers();
}

asio::awaitable<void> waitForOwner(Fleet &Daemons) {
  const auto Found = [&Daemons] { return Daemons.ownerIndex() >= 0; };
  if (!co_await Daemons.waitUntil(Found, StartLimit))
    Daemons.recordViolation("no owner");
}

asio::awaitable<void> runJobs(Fleet &Daemons, std::uint64_t FirstNumber) {
  constexpr std::uint64_t JobCount = 8;
  std::vector<SubmittedJob> Jobs;
  for (std::uint64_t Index = 0; Index < JobCount; ++Index)
    Jobs.push_back(makeJob(FirstNumber + Index,
                           1 + static_cast<std::int64_t>(Index % 4),
                           Index % 2 == 1, TaskScript{}));
  for (SubmittedJob &Job : Jobs)
    co_await Daemons.submit(Job, 0, 50);
  for (const SubmittedJob &Job : Jobs) {
    const std::string State = co_await Daemons.waitForEnd(Job.Id, EndLimit);
    if (State != "completed")
      Daemons.recordViolation(Job.Id + " is shown as '" + State + "'");
  }
}

asio::awaitable<void> expectCalled(Fleet &Daemons, std::int64_t Before,
                                   const std::string &Violation) {
  const auto Called = [&Daemons, Before] {
    return Daemons.Platform.workerCalls(OddWorker) > Before;
  };
  if (!co_await Daemons.waitUntil(Called, StartLimit))
    Daemons.recordViolation(Violation);
}

std::int64_t linesWith(const std::string &Path, const std::string &Part) {
  std::ifstream Log(Path);
  std::int64_t Count = 0;
  for (std::string Line; std::getline(Log, Line);)
    Count += Line.find(Part) != std::string::npos ? 1 : 0;
  return Count;
}

/// Expects each daemon's log to have named the odd entry at most \p Most times,
/// and one of them to have named it.
void expectLogged(Fleet &Daemons, std::int64_t Most) {
  std::int64_t All = 0;
  for (const auto &Member : Daemons.Members) {
    const std::int64_t Lines = linesWith(
        Member->LogPath,
        "worker_entry_rejected worker=" + std::string(OddWorker) + " reason=");
    All += Lines;
    if (Lines > Most)
      Daemons.recordViolation(Member->Name + " repeats itself in its log");
  }
  if (All == 0)
    Daemons.recordViolation("the odd entry is not logged");
}

} // namespace

TEST_CASE("odd entries that are there at the start name no worker") {
  const bool RawKeys = GENERATE(false, true);
  CAPTURE(RawKeys);
  Fleet Fixture(Instances, WorkerCount, 1,
                folder(RawKeys ? "newest_raw" : "newest"));
  Fixture.Platform.StoreBehaviour.RawKeys = RawKeys;
  spoilEntry(Fixture.Platform);
  putOddRecords(Fixture.Platform);
  Fixture.Platform.Store.compact(std::string(WorkerTopic));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        co_await runJobs(Daemons, 1);
        // The next owner, or the same one started again, reads all anew.
        Daemons.signalMember(static_cast<std::size_t>(Daemons.ownerIndex()),
                             SIGKILL);
        co_await runJobs(Daemons, 100);
        if (Daemons.Platform.workerCalls(OddWorker) != 0)
          Daemons.recordViolation("a worker of an odd entry is called");
        expectLogged(Daemons, 2);
        Daemons.Platform.OddEntries.clear();
        co_await expectCalled(Daemons, 0, "a mended entry is not used");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("odd entries that arrive later end the use of their worker only") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("read"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        PlatformServer &Platform = Daemons.Platform;
        co_await waitForOwner(Daemons);
        co_await expectCalled(Daemons, 0, "a listed worker is not used");
        spoilEntry(Platform);
        putOddRecords(Platform);
        co_await pauseFor(Daemons.io(), SettleTime);
        const std::int64_t Before = Platform.workerCalls(OddWorker);
        co_await runJobs(Daemons, 1);
        co_await pauseFor(Daemons.io(), SettleTime);
        if (Platform.workerCalls(OddWorker) != Before)
          Daemons.recordViolation("a worker of an odd entry is called");
        expectLogged(Daemons, 1);
        Platform.OddEntries.clear();
        co_await expectCalled(Daemons, Before, "a mended entry is not used");
        co_await runJobs(Daemons, 100);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
