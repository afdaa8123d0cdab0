// The whole path on the platform: real daemons, killed, frozen and cut off.

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
/// Far beyond any take-over and any lease.
constexpr Duration EndLimit{60'000};

std::string folder(const std::string &Name) {
  return (std::filesystem::temp_directory_path() /
          ("pistachioflow-" + Name + "-" + std::to_string(::getpid())))
      .string();
}

asio::awaitable<void> waitForOwner(Fleet &Of) {
  if (!co_await Of.until([&Of] { return Of.owner() >= 0; }, StartLimit))
    Of.violate("no owner");
}

/// Every accepted job is shown as completed, each task done just once.
asio::awaitable<void> expectCompleted(Fleet &Of,
                                      std::vector<SubmittedJob> &Jobs) {
  for (const SubmittedJob &Job : Jobs) {
    if (!Job.Accepted) {
      Of.violate("not accepted: " + Job.Id);
      continue;
    }
    const std::string Shown = co_await Of.ended(Job.Id, EndLimit);
    if (Shown != "completed")
      Of.violate(Job.Id + " is shown as '" + Shown + "'");
  }
}

std::vector<SubmittedJob> mixedJobs(std::size_t Count, std::int64_t WorkMs) {
  std::vector<SubmittedJob> Jobs;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    TaskScript Script;
    Script.WorkMs = WorkMs;
    Script.FailRuns = Index % 4 == 3 ? 1 : 0;
    Jobs.push_back(makeJob(Index + 1, 1 + static_cast<std::int64_t>(Index % 5),
                           Index % 2 == 1, Script));
  }
  return Jobs;
}

asio::awaitable<void> submitAll(Fleet &Of, std::vector<SubmittedJob> &Jobs) {
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index)
    co_await Of.submit(Jobs[Index], Index, 50);
}

using Disturbance = asio::awaitable<void> (*)(Fleet &);

asio::awaitable<void> nothing(Fleet &) { co_return; }

asio::awaitable<void> killOwner(Fleet &Of) {
  Of.signalMember(static_cast<std::size_t>(Of.owner()), SIGKILL);
  co_return;
}

asio::awaitable<void> stopOwner(Fleet &Of) {
  Of.signalMember(static_cast<std::size_t>(Of.owner()), SIGTERM);
  co_return;
}

asio::awaitable<void> freezeOwner(Fleet &Of) {
  const int Frozen = Of.owner();
  Of.signalMember(static_cast<std::size_t>(Frozen), SIGSTOP);
  const bool Replaced = co_await Of.until(
      [&Of, Frozen] { return Of.owner() != Frozen; }, StartLimit);
  if (!Replaced)
    Of.violate("a frozen owner is not replaced");
  Of.signalMember(static_cast<std::size_t>(Frozen), SIGCONT);
}

asio::awaitable<void> cutOwnerFromStore(Fleet &Of) {
  const int Cut = Of.owner();
  FaultProxy &Path = *Of.Members[static_cast<std::size_t>(Cut)]->StorePath;
  Path.setFault(PathFault::Silent);
  const bool Replaced =
      co_await Of.until([&Of, Cut] { return Of.owner() != Cut; }, StartLimit);
  if (!Replaced)
    Of.violate("an owner without the store is not replaced");
  Path.setFault(PathFault::None);
}

asio::awaitable<void> killAll(Fleet &Of) {
  for (std::size_t Index = 0; Index < Of.Members.size(); ++Index)
    Of.signalMember(Index, SIGKILL);
  co_return;
}

asio::awaitable<void> loseAnswers(Fleet &Of) {
  Of.Platform.StoreBehaviour.LostAnswers = 0.3;
  co_return;
}

asio::awaitable<void> delayOrders(Fleet &Of) {
  Of.Platform.WorkerBehaviour.LateOrders = 0.3;
  co_return;
}

asio::awaitable<void> forgetHistory(Fleet &Of) {
  Of.Platform.Store.forgetHistory(std::string(JournalTopic));
  co_return;
}

asio::awaitable<void> crashWorker(Fleet &Of) {
  Of.Platform.Park.crash("w0", 2);
  co_return;
}

} // namespace

TEST_CASE("accepted jobs are completed once, whatever happens to an instance") {
  struct Row {
    const char *Name;
    Disturbance Act;
  };
  const auto Case = GENERATE(
      Row{"calm", nothing}, Row{"owner_killed", killOwner},
      Row{"owner_stopped", stopOwner}, Row{"owner_frozen", freezeOwner},
      Row{"owner_cut", cutOwnerFromStore}, Row{"all_killed", killAll},
      Row{"answers_lost", loseAnswers}, Row{"orders_late", delayOrders},
      Row{"history_forgotten", forgetHistory},
      Row{"worker_crashed", crashWorker});
  CAPTURE(Case.Name);
  Fleet Of(Instances, WorkerCount, 1, folder(Case.Name));
  const std::vector<std::string> Violations =
      Of.run([&Case](Fleet &Running) -> asio::awaitable<void> {
        co_await waitForOwner(Running);
        std::vector<SubmittedJob> Jobs = mixedJobs(12, 400);
        co_await submitAll(Running, Jobs);
        co_await Case.Act(Running);
        co_await expectCompleted(Running, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("a job handed in twice stays one job, a cancelled one does not run "
          "on") {
  Fleet Of(Instances, WorkerCount, 1, folder("twice"));
  const std::vector<std::string> Violations =
      Of.run([](Fleet &Running) -> asio::awaitable<void> {
        co_await waitForOwner(Running);
        TaskScript Script;
        Script.WorkMs = 600'000;
        SubmittedJob Endless = makeJob(77, 2, true, Script);
        co_await Running.submit(Endless, 0, 50);
        Endless.Accepted = false;
        co_await Running.submit(Endless, 1, 50);
        const auto Started = [&Running] {
          return Running.Platform.Park.runningCount() == 2;
        };
        if (!co_await Running.until(Started, StartLimit))
          Running.violate("the gang does not run");
        const bool Cancelled = co_await Running.cancel(Endless.Id, 2);
        if (!Cancelled)
          Running.violate("cancel refused");
        const auto Gone = [&Running] {
          return Running.Platform.Park.runningCount() == 0;
        };
        if (!co_await Running.until(Gone, StartLimit))
          Running.violate("a cancelled job runs on");
        const std::string Shown = co_await Running.ended(Endless.Id, EndLimit);
        if (Shown != "cancelled")
          Running.violate("shown as " + Shown);
        const std::string Unknown =
            co_await Running.ended("00000000000000ff", EndLimit);
        if (Unknown != "gone")
          Running.violate("an unknown job is shown as " + Unknown);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("a store that is silent to one instance leaves a caller time to try "
          "another") {
  // Half of the 3 s that callers wait.
  static constexpr Duration HalfOfDeadline{1'500};
  Fleet Of(Instances, WorkerCount, 1, folder("silent"));
  const std::vector<std::string> Violations =
      Of.run([](Fleet &Running) -> asio::awaitable<void> {
        co_await waitForOwner(Running);
        const auto Silent = static_cast<std::size_t>((Running.owner() + 1) % 3);
        Running.Members[Silent]->StorePath->setFault(PathFault::Silent);
        SubmittedJob Job = makeJob(9, 1, false, TaskScript{});
        Running.CallTimeout = HalfOfDeadline;
        co_await Running.submit(Job, Silent, 1);
        if (Running.CallsWithoutAnswer != 0)
          Running.violate("the caller was held");
        Running.CallTimeout = {3'500};
        Running.Members[Silent]->StorePath->setFault(PathFault::None);
        std::vector<SubmittedJob> Jobs;
        Jobs.push_back(Job);
        co_await submitAll(Running, Jobs);
        co_await expectCompleted(Running, Jobs);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("while the store refuses, new jobs are refused and old ones run on") {
  Fleet Of(Instances, WorkerCount, 1, folder("refusing"));
  const std::vector<std::string> Violations =
      Of.run([](Fleet &Running) -> asio::awaitable<void> {
        co_await waitForOwner(Running);
        TaskScript Script;
        Script.WorkMs = 3'000;
        std::vector<SubmittedJob> Jobs;
        Jobs.push_back(makeJob(5, 3, true, Script));
        co_await submitAll(Running, Jobs);
        const auto Started = [&Running] {
          return Running.Platform.Park.runningCount() == 3;
        };
        co_await Running.until(Started, StartLimit);
        Running.Platform.StoreBehaviour.Refusing = true;
        SubmittedJob Refused = makeJob(6, 1, false, Script);
        co_await Running.submit(Refused, 0, 3);
        if (Refused.Accepted || Refused.MaybeAccepted)
          Running.violate("a job is taken that cannot be stored");
        Running.Platform.StoreBehaviour.Refusing = false;
        co_await expectCompleted(Running, Jobs);
        const std::string Shown = co_await Running.ended(Refused.Id, EndLimit);
        if (Shown != "gone")
          Running.violate("a refused job is shown as " + Shown);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
