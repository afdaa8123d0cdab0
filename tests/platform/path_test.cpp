// End-to-end tests with real daemons that are killed, paused or cut off from
// the store.

#include <csignal>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

using Disturbance = asio::awaitable<void> (*)(Fleet &);

asio::awaitable<void> noDisturbance(Fleet &) { co_return; }

asio::awaitable<void> killOwner(Fleet &Daemons) {
  Daemons.signalMember(static_cast<std::size_t>(Daemons.ownerIndex()), SIGKILL);
  co_return;
}

asio::awaitable<void> stopOwner(Fleet &Daemons) {
  Daemons.signalMember(static_cast<std::size_t>(Daemons.ownerIndex()), SIGTERM);
  co_return;
}

asio::awaitable<void> pauseOwner(Fleet &Daemons) {
  const int Paused = Daemons.ownerIndex();
  Daemons.signalMember(static_cast<std::size_t>(Paused), SIGSTOP);
  const bool Replaced = co_await Daemons.waitUntil(
      [&Daemons, Paused] { return Daemons.ownerIndex() != Paused; },
      StartLimit);
  if (!Replaced)
    Daemons.recordViolation("a paused owner is not replaced");
  Daemons.signalMember(static_cast<std::size_t>(Paused), SIGCONT);
}

asio::awaitable<void> cutOwnerFromStore(Fleet &Daemons) {
  const int CutOff = Daemons.ownerIndex();
  FaultProxy &StoreProxy =
      *Daemons.Members[static_cast<std::size_t>(CutOff)]->StoreProxy;
  StoreProxy.setFault(PathFault::Blocked);
  const bool Replaced = co_await Daemons.waitUntil(
      [&Daemons, CutOff] { return Daemons.ownerIndex() != CutOff; },
      StartLimit);
  if (!Replaced)
    Daemons.recordViolation("an owner without the store is not replaced");
  StoreProxy.setFault(PathFault::None);
}

asio::awaitable<void> killAll(Fleet &Daemons) {
  for (std::size_t Index = 0; Index < Daemons.Members.size(); ++Index)
    Daemons.signalMember(Index, SIGKILL);
  co_return;
}

asio::awaitable<void> loseAnswers(Fleet &Daemons) {
  Daemons.Platform.StoreBehaviour.LostAnswerShare = 0.3;
  co_return;
}

asio::awaitable<void> delayStarts(Fleet &Daemons) {
  Daemons.Platform.WorkerBehaviour.DelayedStartShare = 0.3;
  co_return;
}

asio::awaitable<void> compactJournal(Fleet &Daemons) {
  Daemons.Platform.Store.compact(std::string(JournalTopic));
  co_return;
}

asio::awaitable<void> crashWorker(Fleet &Daemons) {
  Daemons.Platform.Simulator.crash("w0", Daemons.Time.monotonic());
  co_return;
}

} // namespace

TEST_CASE("accepted jobs complete exactly once under any single fault") {
  struct Row {
    const char *Name;
    Disturbance Disturb;
  };
  const auto Case = GENERATE(
      Row{"undisturbed", noDisturbance}, Row{"owner_killed", killOwner},
      Row{"owner_stopped", stopOwner}, Row{"owner_paused", pauseOwner},
      Row{"owner_cut_off", cutOwnerFromStore}, Row{"all_killed", killAll},
      Row{"answers_lost", loseAnswers}, Row{"starts_delayed", delayStarts},
      Row{"history_compacted", compactJournal},
      Row{"worker_crashed", crashWorker});
  CAPTURE(Case.Name);
  Fleet Fixture(Instances, WorkerCount, 1, folder(Case.Name));
  const std::vector<std::string> Violations =
      Fixture.run([&Case](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        std::vector<SubmittedJob> Jobs = mixedJobs(12, 400);
        co_await submitAll(Daemons, Jobs);
        co_await Case.Disturb(Daemons);
        co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("a job submitted twice runs once, and stops when cancelled") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("twice"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        TaskScript Script;
        Script.WorkMs = 600'000;
        SubmittedJob LongJob = makeJob(77, 2, true, Script);
        co_await Daemons.submit(LongJob, 0, 50);
        LongJob.Accepted = false;
        co_await Daemons.submit(LongJob, 1, 50);
        const auto Started = [&Daemons] {
          return Daemons.Platform.Simulator.runningCount() == 2;
        };
        if (!co_await Daemons.waitUntil(Started, StartLimit))
          Daemons.recordViolation("the gang does not run");
        const bool Cancelled = co_await Daemons.cancel(LongJob.Id, 2);
        if (!Cancelled)
          Daemons.recordViolation("cancel refused");
        const auto Stopped = [&Daemons] {
          return Daemons.Platform.Simulator.runningCount() == 0;
        };
        if (!co_await Daemons.waitUntil(Stopped, StartLimit))
          Daemons.recordViolation("a cancelled job is still running");
        const std::string State =
            co_await Daemons.waitForEnd(LongJob.Id, EndLimit);
        if (State != "cancelled")
          Daemons.recordViolation("shown as " + State);
        const std::string UnknownState =
            co_await Daemons.waitForEnd("00000000000000ff", EndLimit);
        if (UnknownState != "gone")
          Daemons.recordViolation("an unknown job is shown as " + UnknownState);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("an instance cut off from the store answers early enough for a "
          "retry elsewhere") {
  // Half of the 3 s that a caller has for its call and retries.
  static constexpr Duration HalfOfDeadline{1'500};
  Fleet Fixture(Instances, WorkerCount, 1, folder("silent"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const auto Isolated =
            static_cast<std::size_t>((Daemons.ownerIndex() + 1) % 3);
        Daemons.Members[Isolated]->StoreProxy->setFault(PathFault::Blocked);
        SubmittedJob Job = makeJob(9, 1, false, TaskScript{});
        Daemons.CallTimeout = HalfOfDeadline;
        co_await Daemons.submit(Job, Isolated, 1);
        if (Daemons.CallsWithoutAnswer != 0)
          Daemons.recordViolation(
              "the caller got no answer within half of its deadline");
        Daemons.CallTimeout = {3'500};
        Daemons.Members[Isolated]->StoreProxy->setFault(PathFault::None);
        std::vector<SubmittedJob> Jobs;
        Jobs.push_back(Job);
        co_await submitAll(Daemons, Jobs);
        co_await expectCompleted(Daemons, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE(
    "while the store refuses appends, new jobs are refused and running ones "
    "complete") {
  Fleet Fixture(Instances, WorkerCount, 1, folder("refusing"));
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        TaskScript Script;
        Script.WorkMs = 3'000;
        std::vector<SubmittedJob> Jobs;
        Jobs.push_back(makeJob(5, 3, true, Script));
        co_await submitAll(Daemons, Jobs);
        const auto Started = [&Daemons] {
          return Daemons.Platform.Simulator.runningCount() == 3;
        };
        co_await Daemons.waitUntil(Started, StartLimit);
        Daemons.Platform.StoreBehaviour.Refusing = true;
        SubmittedJob Refused = makeJob(6, 1, false, Script);
        co_await Daemons.submit(Refused, 0, 3);
        if (Refused.Accepted || Refused.OutcomeUnknown)
          Daemons.recordViolation("a job was accepted that cannot be stored");
        Daemons.Platform.StoreBehaviour.Refusing = false;
        co_await expectCompleted(Daemons, Jobs);
        const std::string State =
            co_await Daemons.waitForEnd(Refused.Id, EndLimit);
        if (State != "gone")
          Daemons.recordViolation("a refused job is shown as " + State);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
