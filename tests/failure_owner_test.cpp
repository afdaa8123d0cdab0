#include <catch2/catch.hpp>

#include <signal.h>

#include <map>

#include "process.hpp"

using namespace pistachioflow::testing;

namespace {

/// A run that outlives the lease of a killed owner.
constexpr int LongRunMs = 12'000;
constexpr int ShortRunMs = 500;
constexpr std::uint32_t TwoWorkers = 4; ///< Tasks of 4 accelerators each.

/// Every worker ran the job once, in one attempt, to its end.
void checkRanOnce(const Cluster &Run, const std::string &Job,
                  std::size_t Workers) {
  const auto Runs = Run.runs(Job);
  CHECK(Runs.size() == Workers);
  for (const nlohmann::json &Entry : Runs) {
    CHECK(Entry.at("attempt") == 1);
    CHECK(Entry.at("end") == "finished");
  }
}

/// On each worker, no order of an older epoch was accepted after a newer one.
void checkFences(const Cluster &Run) {
  std::map<std::string, int> Highest;
  for (const nlohmann::json &Entry : Run.orders()) {
    if (Entry.at("answer") != "accepted")
      continue;
    const int Epoch = Entry.at("order").at("epoch");
    int &Seen = Highest[Entry.at("worker")];
    CHECK(Epoch >= Seen);
    Seen = std::max(Seen, Epoch);
  }
}

bool waitForPhase(const Cluster &Run, const Cluster::Instance &Asked,
                  const std::string &Job, const std::string &Phase) {
  return eventually([&] { return Run.phase(Asked, Job) == Phase; });
}

std::string waitForOwner(const Cluster &Run, const Cluster::Instance &Asked,
                         const std::string &Not = "") {
  std::string Owner;
  eventually([&] {
    Owner = Run.owner(Asked);
    return !Owner.empty() && Owner != Not;
  });
  return Owner;
}

Cluster::Instance &find(Cluster &Run, const std::string &Name) {
  for (const auto &Entry : Run.Instances) {
    if (Entry->Name == Name)
      return *Entry;
  }
  throw std::runtime_error("no instance " + Name);
}

} // namespace

TEST_CASE("a killed owner's successor decides, and jobs run exactly once",
          "[failure]") {
  Cluster Run(3);
  const std::string Old = waitForOwner(Run, Run.otherInstance());
  REQUIRE_FALSE(Old.empty());
  Cluster::Instance &Asked = Run.otherInstance(Old);
  REQUIRE(Run.submit(Asked, "before", TwoWorkers, LongRunMs) == 202);
  REQUIRE(waitForPhase(Run, Asked, "before", "running"));
  find(Run, Old).Program->signal(SIGKILL);
  REQUIRE(Run.submit(Asked, "during", TwoWorkers, ShortRunMs) == 202);
  CHECK(waitForPhase(Run, Asked, "during", "finished"));
  CHECK(waitForOwner(Run, Asked, Old) != Old);
  CHECK(waitForPhase(Run, Asked, "before", "finished"));
  checkRanOnce(Run, "before", 2);
  checkRanOnce(Run, "during", 2);
  checkFences(Run);
}

TEST_CASE("an owner that is paused past its lease does nothing more",
          "[failure]") {
  Cluster Run(3);
  const std::string Old = waitForOwner(Run, Run.otherInstance());
  REQUIRE_FALSE(Old.empty());
  Cluster::Instance &Asked = Run.otherInstance(Old);
  REQUIRE(Run.submit(Asked, "before", TwoWorkers, LongRunMs) == 202);
  REQUIRE(waitForPhase(Run, Asked, "before", "running"));
  find(Run, Old).Program->signal(SIGSTOP);
  REQUIRE(Run.submit(Asked, "during", TwoWorkers, ShortRunMs) == 202);
  REQUIRE(waitForPhase(Run, Asked, "during", "finished"));
  find(Run, Old).Program->signal(SIGCONT);
  CHECK(waitForPhase(Run, find(Run, Old), "during", "finished"));
  CHECK(waitForPhase(Run, Asked, "before", "finished"));
  checkRanOnce(Run, "before", 2);
  checkRanOnce(Run, "during", 2);
  checkFences(Run);
}

TEST_CASE("instances without any state take over from the log and the workers",
          "[failure]") {
  Cluster Run(2);
  REQUIRE_FALSE(waitForOwner(Run, Run.otherInstance()).empty());
  REQUIRE(Run.submit(Run.otherInstance(), "before", TwoWorkers, LongRunMs) ==
          202);
  REQUIRE(waitForPhase(Run, Run.otherInstance(), "before", "running"));
  Run.Instances.clear();
  Run.add("entry-8");
  Cluster::Instance &Fresh = Run.add("entry-9");
  Run.publishInstanceList();
  CHECK(waitForPhase(Run, Fresh, "before", "finished"));
  checkRanOnce(Run, "before", 2);
  checkFences(Run);
}

TEST_CASE("a log outage leaves a running gang alone and refuses submissions",
          "[failure]") {
  Cluster Run(2);
  Cluster::Instance &Asked = Run.otherInstance();
  REQUIRE_FALSE(waitForOwner(Run, Asked).empty());
  REQUIRE(Run.submit(Asked, "before", TwoWorkers, ShortRunMs) == 202);
  REQUIRE(Run.submit(Asked, "long", TwoWorkers, LongRunMs) == 202);
  REQUIRE(waitForPhase(Run, Asked, "long", "running"));
  Run.injectLogOutage();
  CHECK(Run.submit(Asked, "refused", TwoWorkers, ShortRunMs) == 503);
  // The owner's lease ends while the gang goes on.
  CHECK(eventually([&] { return Run.owner(Asked).empty(); }));
  CHECK(Run.runs("long").size() == 2);
  Run.clearFaults();
  CHECK(waitForPhase(Run, Asked, "long", "finished"));
  checkRanOnce(Run, "long", 2);
  CHECK(Run.runs("refused").empty());
}

TEST_CASE("replacing every instance in turn loses and repeats nothing",
          "[failure]") {
  Cluster Run(3);
  REQUIRE_FALSE(waitForOwner(Run, Run.otherInstance()).empty());
  for (int Turn = 1; Turn <= 3; ++Turn) {
    const std::string Leaving = "entry-" + std::to_string(Turn);
    const std::string Job = "job-" + std::to_string(Turn);
    Cluster::Instance &Fresh = Run.add("fresh-" + std::to_string(Turn));
    Run.publishInstanceList();
    REQUIRE(Run.submit(find(Run, Leaving), Job, TwoWorkers, ShortRunMs) == 202);
    find(Run, Leaving).Program->signal(SIGTERM);
    CHECK(find(Run, Leaving).Program->wait() == 0);
    Run.remove(Leaving);
    Run.publishInstanceList();
    CHECK(waitForPhase(Run, Fresh, Job, "finished"));
    checkRanOnce(Run, Job, 2);
  }
  checkFences(Run);
}
