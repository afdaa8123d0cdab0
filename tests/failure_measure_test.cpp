#include <catch2/catch.hpp>

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

#include "process.hpp"

using namespace pistachioflow::testing;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int Kills = 4;
constexpr std::chrono::seconds RestWindow{20};

std::int64_t msSince(SteadyClock::time_point From) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now() - From)
      .count();
}

std::int64_t highestEpoch(const Cluster &Run) {
  std::int64_t Highest = 0;
  for (const nlohmann::json &Entry : Run.orders())
    Highest =
        std::max(Highest, Entry.at("order").at("epoch").get<std::int64_t>());
  return Highest;
}

bool isRunning(const Cluster &Run, const std::string &Name) {
  return std::any_of(Run.Instances.begin(), Run.Instances.end(),
                     [&](const auto &Entry) { return Entry->Name == Name; });
}

std::string statusLine(pid_t Id, const std::string &Key) {
  std::ifstream File("/proc/" + std::to_string(Id) + "/status");
  for (std::string Line; std::getline(File, Line);) {
    if (Line.rfind(Key, 0) == 0)
      return Line;
  }
  return {};
}

std::uint64_t allEntries(const Cluster &Run) {
  std::uint64_t Sum = Run.entryCount("cell/main") + Run.entryCount("config");
  for (int Stream = 0; Stream < 4; ++Stream)
    Sum += Run.entryCount("keys/" + std::to_string(Stream));
  return Sum;
}

} // namespace

// Hidden: prints figures and asserts none. Run it with the tag [measure].
TEST_CASE("time from a killed owner to its successor's first order",
          "[.][measure]") {
  Cluster Run(3);
  std::vector<std::int64_t> Times;
  for (int Kill = 1; Kill <= Kills; ++Kill) {
    std::string Old;
    std::string Seen;
    const bool Owned = eventually([&] {
      // What peers last said of a dead instance is shown for a while.
      Old = Run.owner(Run.otherInstance());
      Seen = call(Run.otherInstance().HttpPort, "GET", "/v1/nodes").Body.dump();
      return isRunning(Run, Old);
    });
    INFO(Seen);
    REQUIRE(Owned);
    const std::string Job = "job-" + std::to_string(Kill);
    REQUIRE(Run.submit(Run.otherInstance(), "warm-" + Job, 1, 100) == 202);
    REQUIRE(eventually([&] {
      return Run.phase(Run.otherInstance(Old), "warm-" + Job) == "finished";
    }));
    const std::int64_t Before = highestEpoch(Run);
    const auto Killed = SteadyClock::now();
    Run.remove(Old);
    REQUIRE(Run.submit(Run.otherInstance(), Job, 1, 100) == 202);
    REQUIRE(eventually([&] { return highestEpoch(Run) > Before; }));
    Times.push_back(msSince(Killed));
    std::printf("takeover_ms=%ld\n", static_cast<long>(Times.back()));
    std::fflush(stdout);
    Run.add("fresh-" + std::to_string(Kill));
    Run.publishInstanceList();
  }
  std::sort(Times.begin(), Times.end());
  std::printf("takeover_ms p50=%ld max=%ld runs=%d\n",
              static_cast<long>(Times[Times.size() / 2]),
              static_cast<long>(Times.back()), Kills);
}

TEST_CASE("what an idle cluster of nine costs", "[.][measure]") {
  const auto Began = SteadyClock::now();
  Cluster Run(9);
  std::printf("start_of_ten_processes_and_lists_ms=%ld\n",
              static_cast<long>(msSince(Began)));
  std::this_thread::sleep_for(RestWindow);
  const std::uint64_t Before = allEntries(Run);
  std::this_thread::sleep_for(RestWindow);
  const std::uint64_t Appended = allEntries(Run) - Before;
  std::printf("appends_at_rest=%lu in %ld s\n",
              static_cast<unsigned long>(Appended),
              static_cast<long>(RestWindow.count()));
  for (const auto &Entry : Run.Instances)
    std::printf("%s %s %s\n", Entry->Name.c_str(),
                statusLine(Entry->Program->id(), "VmRSS").c_str(),
                statusLine(Entry->Program->id(), "Threads").c_str());
}
