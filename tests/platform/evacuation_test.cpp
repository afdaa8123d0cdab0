// Evacuations of a failure domain, with real daemons.

#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// From the store's acknowledgement until nothing more may start there.
constexpr Duration EvacuationTimeout{5'000};
/// Long enough for starts after the timeout to show.
constexpr Duration WatchTime{8'000};
constexpr Duration JobInterval{100};
const std::string EvacuatedDomain = "z2";
const std::string EvacuationKey = "evacuate/" + EvacuatedDomain;

enum class Disturbance {
  None,
  OwnerKilled,      ///< As the request comes.
  HistoryForgotten, ///< The request is read from the newest records only.
  StoreUnreachable, ///< For the owner, as the request comes.
};

/// Every other worker is in the domain that is evacuated.
bool inDomain(const std::string &WorkerId) {
  return (WorkerId.back() - '0') % 2 == 1;
}

void divideWorkers(PlatformServer &Platform) {
  for (std::size_t Index = 0; Index < WorkerCount; ++Index) {
    const std::string Id = "w" + std::to_string(Index);
    if (!inDomain(Id))
      continue;
    Platform.OddEntries[Id] = [](std::string Entry) {
      const std::string Own = R"("zone":"z1")";
      return Entry.replace(Entry.find(Own), Own.size(), R"("zone":"z2")");
    };
  }
  Platform.publishWorkers();
}

void disturb(Fleet &Daemons, Disturbance Kind) {
  const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
  if (Kind == Disturbance::OwnerKilled)
    Daemons.signalMember(Owner, SIGKILL);
  if (Kind == Disturbance::HistoryForgotten)
    Daemons.Platform.forgetHistory();
  if (Kind == Disturbance::StoreUnreachable)
    Daemons.Members[Owner]->StoreProxy->setFault(PathFault::Blocked);
}

/// Submits single tasks, more than the workers outside the domain can run.
asio::awaitable<void> submitFor(Fleet &Daemons, Duration Span,
                                std::uint64_t First,
                                std::vector<SubmittedJob> &Jobs) {
  const Instant Until = Daemons.Time.monotonic() + Span;
  TaskScript Script;
  Script.WorkMs = 400;
  Script.RequiredResources = {1'000, 100, 8};
  while (Daemons.Time.monotonic() < Until) {
    Daemons.reapMembers();
    Jobs.push_back(makeJob(First + Jobs.size(), 1, false, Script));
    co_await Daemons.submit(Jobs.back(), Jobs.size(), 50);
    co_await pauseFor(Daemons.io(), JobInterval);
  }
}

} // namespace

// Guards against starts on the workers of an evacuated domain (EVAC), by an
// owner that was told late or never, and against a domain that stays idle after
// its evacuation is taken back.
TEST_CASE("nothing starts in an evacuated domain") {
  const auto Kind =
      GENERATE(Disturbance::None, Disturbance::OwnerKilled,
               Disturbance::HistoryForgotten, Disturbance::StoreUnreachable);
  CAPTURE(static_cast<int>(Kind));
  Fleet Fixture(Instances, WorkerCount, 1, folder("evacuation"));
  Fixture.allowEvacuations(EvacuationTimeout, {"z1", EvacuatedDomain});
  Instant ForbiddenFrom;
  std::int64_t StartsBefore = 0;
  std::int64_t StartsAfter = 0;
  bool Restored = false;
  Fixture.Platform.WorkerBehaviour.Started = [&](const std::string &Id) {
    if (!inDomain(Id))
      return;
    const bool Evacuated = ForbiddenFrom.Ms != 0 && !Restored;
    StartsBefore += ForbiddenFrom.Ms == 0 ? 1 : 0;
    StartsAfter += Restored ? 1 : 0;
    if (Evacuated && Fixture.Time.monotonic() > ForbiddenFrom)
      Fixture.recordViolation("a start on " + Id);
  };
  const std::vector<std::string> Violations =
      Fixture.run([&](Fleet &Daemons) -> asio::awaitable<void> {
        divideWorkers(Daemons.Platform);
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs;
        co_await submitFor(Daemons, {1'500}, 1, Jobs);
        Daemons.Platform.putOperatorRecord({EvacuationKey, "{}"});
        ForbiddenFrom = Daemons.Time.monotonic() + EvacuationTimeout;
        disturb(Daemons, Kind);
        co_await submitFor(Daemons, WatchTime, 1, Jobs);
        for (const auto &Member : Daemons.Members)
          Member->StoreProxy->setFault(PathFault::None);
        Restored = true;
        Daemons.Platform.putOperatorRecord({EvacuationKey, ""});
        co_await expectCompleted(Daemons, Jobs);
        if (StartsBefore == 0 || StartsAfter == 0)
          Daemons.recordViolation("the domain is not used");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

// Guards against callers who wait for a start that nobody can foresee.
TEST_CASE("submissions are refused while every domain is evacuated") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("evacuated"));
  Fixture.allowEvacuations(EvacuationTimeout, {"z1"});
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        Daemons.Platform.putOperatorRecord({"evacuate/z1", "{}"});
        std::vector<SubmittedJob> Jobs = mixedJobs(1, 100);
        const std::function<bool()> Refused = [&Jobs] {
          return Jobs[0].LastStatus == 503;
        };
        // Until the daemon has read the evacuation, it accepts jobs.
        for (std::uint64_t Number = 1; Number < 100 && !Refused(); ++Number) {
          Jobs[0] = makeJob(Number, 1, false, {});
          co_await Daemons.submit(Jobs[0], 0, 1);
          co_await pauseFor(Daemons.io(), JobInterval);
        }
        if (!Refused())
          Daemons.recordViolation("no submission is refused");
        Daemons.Platform.putOperatorRecord({"evacuate/z1", ""});
        co_await submitAll(Daemons, Jobs);
        co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
