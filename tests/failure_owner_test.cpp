#include <catch2/catch.hpp>

#include <signal.h>

#include <map>

#include "process.hpp"

using namespace pistachioflow::testing;

namespace {

/// Longer than the lease of a killed owner.
constexpr int LongRunMs = 12'000;
constexpr int ShortRunMs = 500;
constexpr std::uint32_t TwoWorkerTasks = 4; ///< 4 accelerators per task.

/// Checks that each of \p Workers workers ran the job once, in one attempt, to
/// its end.
void checkRanOnce(const Cluster &Nodes, const std::string &Job,
                  std::size_t Workers) {
  const auto Runs = Nodes.runs(Job);
  CHECK(Runs.size() == Workers);
  for (const nlohmann::json &Entry : Runs) {
    CHECK(Entry.at("attempt") == 1);
    CHECK(Entry.at("end") == "finished");
  }
}

/// Checks that no worker accepted an order of an older epoch after one of a
/// newer epoch.
void checkFences(const Cluster &Nodes) {
  std::map<std::string, int> Highest;
  for (const nlohmann::json &Entry : Nodes.orders()) {
    if (Entry.at("answer") != "accepted")
      continue;
    const int Epoch = Entry.at("order").at("epoch");
    int &HighestOfWorker = Highest[Entry.at("worker")];
    CHECK(Epoch >= HighestOfWorker);
    HighestOfWorker = std::max(HighestOfWorker, Epoch);
  }
}

bool waitForPhase(const Cluster &Nodes, const Cluster::Instance &Observer,
                  const std::string &Job, const std::string &Phase) {
  return eventually([&] { return Nodes.phase(Observer, Job) == Phase; });
}

std::string waitForOwner(const Cluster &Nodes,
                         const Cluster::Instance &Observer,
                         const std::string &ExcludedName = "") {
  std::string Owner;
  eventually([&] {
    Owner = Nodes.owner(Observer);
    return !Owner.empty() && Owner != ExcludedName;
  });
  return Owner;
}

Cluster::Instance &find(Cluster &Nodes, const std::string &Name) {
  for (const auto &Entry : Nodes.Instances) {
    if (Entry->Name == Name)
      return *Entry;
  }
  throw std::runtime_error("no instance " + Name);
}

} // namespace

TEST_CASE("after an owner is killed its successor schedules, and jobs run once",
          "[failure]") {
  Cluster Nodes(3);
  const std::string OldOwner = waitForOwner(Nodes, Nodes.otherInstance());
  REQUIRE_FALSE(OldOwner.empty());
  Cluster::Instance &Observer = Nodes.otherInstance(OldOwner);
  REQUIRE(Nodes.submit(Observer, "before", TwoWorkerTasks, LongRunMs) == 202);
  REQUIRE(waitForPhase(Nodes, Observer, "before", "running"));
  find(Nodes, OldOwner).Program->signal(SIGKILL);
  REQUIRE(Nodes.submit(Observer, "during", TwoWorkerTasks, ShortRunMs) == 202);
  CHECK(waitForPhase(Nodes, Observer, "during", "finished"));
  CHECK(waitForOwner(Nodes, Observer, OldOwner) != OldOwner);
  CHECK(waitForPhase(Nodes, Observer, "before", "finished"));
  checkRanOnce(Nodes, "before", 2);
  checkRanOnce(Nodes, "during", 2);
  checkFences(Nodes);
}

TEST_CASE("an owner that was paused beyond its lease no longer acts",
          "[failure]") {
  Cluster Nodes(3);
  const std::string OldOwner = waitForOwner(Nodes, Nodes.otherInstance());
  REQUIRE_FALSE(OldOwner.empty());
  Cluster::Instance &Observer = Nodes.otherInstance(OldOwner);
  REQUIRE(Nodes.submit(Observer, "before", TwoWorkerTasks, LongRunMs) == 202);
  REQUIRE(waitForPhase(Nodes, Observer, "before", "running"));
  find(Nodes, OldOwner).Program->signal(SIGSTOP);
  REQUIRE(Nodes.submit(Observer, "during", TwoWorkerTasks, ShortRunMs) == 202);
  REQUIRE(waitForPhase(Nodes, Observer, "during", "finished"));
  find(Nodes, OldOwner).Program->signal(SIGCONT);
  CHECK(waitForPhase(Nodes, find(Nodes, OldOwner), "during", "finished"));
  CHECK(waitForPhase(Nodes, Observer, "before", "finished"));
  checkRanOnce(Nodes, "before", 2);
  checkRanOnce(Nodes, "during", 2);
  checkFences(Nodes);
}

TEST_CASE("new instances recover the state from the log and the workers",
          "[failure]") {
  Cluster Nodes(2);
  REQUIRE_FALSE(waitForOwner(Nodes, Nodes.otherInstance()).empty());
  REQUIRE(Nodes.submit(Nodes.otherInstance(), "before", TwoWorkerTasks,
                       LongRunMs) == 202);
  REQUIRE(waitForPhase(Nodes, Nodes.otherInstance(), "before", "running"));
  Nodes.Instances.clear();
  Nodes.add("entry-8");
  Cluster::Instance &NewInstance = Nodes.add("entry-9");
  Nodes.publishInstanceList();
  CHECK(waitForPhase(Nodes, NewInstance, "before", "finished"));
  checkRanOnce(Nodes, "before", 2);
  checkFences(Nodes);
}

TEST_CASE("during a log outage gangs keep running and submissions are refused",
          "[failure]") {
  Cluster Nodes(2);
  Cluster::Instance &Observer = Nodes.otherInstance();
  REQUIRE_FALSE(waitForOwner(Nodes, Observer).empty());
  REQUIRE(Nodes.submit(Observer, "before", TwoWorkerTasks, ShortRunMs) == 202);
  REQUIRE(Nodes.submit(Observer, "long", TwoWorkerTasks, LongRunMs) == 202);
  REQUIRE(waitForPhase(Nodes, Observer, "long", "running"));
  Nodes.injectLogOutage();
  CHECK(Nodes.submit(Observer, "refused", TwoWorkerTasks, ShortRunMs) == 503);
  // The owner's lease ends while the gang keeps running.
  CHECK(eventually([&] { return Nodes.owner(Observer).empty(); }));
  CHECK(Nodes.runs("long").size() == 2);
  Nodes.clearFaults();
  CHECK(waitForPhase(Nodes, Observer, "long", "finished"));
  checkRanOnce(Nodes, "long", 2);
  CHECK(Nodes.runs("refused").empty());
}

TEST_CASE("a rolling replacement of all instances loses and repeats no job",
          "[failure]") {
  Cluster Nodes(3);
  REQUIRE_FALSE(waitForOwner(Nodes, Nodes.otherInstance()).empty());
  for (int Turn = 1; Turn <= 3; ++Turn) {
    const std::string Leaving = "entry-" + std::to_string(Turn);
    const std::string Job = "job-" + std::to_string(Turn);
    Cluster::Instance &NewInstance = Nodes.add("fresh-" + std::to_string(Turn));
    Nodes.publishInstanceList();
    REQUIRE(Nodes.submit(find(Nodes, Leaving), Job, TwoWorkerTasks,
                         ShortRunMs) == 202);
    find(Nodes, Leaving).Program->signal(SIGTERM);
    CHECK(find(Nodes, Leaving).Program->wait() == 0);
    Nodes.remove(Leaving);
    Nodes.publishInstanceList();
    CHECK(waitForPhase(Nodes, NewInstance, Job, "finished"));
    checkRanOnce(Nodes, Job, 2);
  }
  checkFences(Nodes);
}
