// A randomized soak: real daemons, random faults from outside, and a check of
// what callers and workers saw. One seed repeats a run's schedule.

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <unistd.h>

#include "fleet.hpp"

namespace pistachioflow {

namespace {

struct SoakOptions {
  std::uint64_t Seed = 1;
  std::size_t Instances = 4;
  std::size_t Workers = 8;
  Duration Length{8'000};
};

/// Longest time from the last fault healed to the end of every accepted job.
constexpr Duration SettleLimit{60'000};
constexpr Duration OwnerLimit{20'000};

class Soak {
public:
  Soak(Fleet &Running, const SoakOptions &Options)
      : Running(Running), Options(Options), Random(Options.Seed) {}

  asio::awaitable<void> run() {
    const std::function<bool()> Owned = [this] {
      return this->Running.owner() >= 0;
    };
    if (!co_await this->Running.until(Owned, OwnerLimit))
      this->Running.violate("no owner at the start");
    spawnCoroutine(this->Running.io(), "soak_clients", this->clients());
    const Instant Begun = this->Running.Time.monotonic();
    while (this->Running.Time.monotonic() - Begun < this->Options.Length) {
      this->act();
      this->Running.reapMembers();
      co_await pauseFor(this->Running.io(), this->between(50, 700));
    }
    this->Ending = true;
    this->heal();
    const std::function<bool()> ClientsDone = [this] {
      return this->ClientsEnded;
    };
    if (!co_await this->Running.until(ClientsDone, SettleLimit))
      this->Running.violate("clients did not end");
    co_await this->check();
  }

private:
  std::uint64_t below(std::uint64_t Limit) { return this->Random() % Limit; }

  Duration between(std::int64_t Low, std::int64_t High) {
    return {Low + static_cast<std::int64_t>(
                      this->below(static_cast<std::uint64_t>(High - Low)))};
  }

  std::size_t anyMember() { return this->below(this->Running.Members.size()); }

  /// The owner half of the time: faults there matter most.
  std::size_t victim() {
    const int Owner = this->Running.owner();
    const bool TakeOwner = Owner >= 0 && this->below(2) == 0;
    return TakeOwner ? static_cast<std::size_t>(Owner) : this->anyMember();
  }

  void act() {
    PlatformServer &Platform = this->Running.Platform;
    const std::size_t Index = this->victim();
    FaultProxy &Path = *this->Running.Members[Index]->StorePath;
    switch (this->below(13)) {
    case 0:
      this->Running.signalMember(Index, SIGKILL);
      break;
    case 1:
      this->Running.signalMember(Index, SIGTERM);
      break;
    case 2:
      this->Running.signalMember(Index, SIGSTOP);
      break;
    case 3:
      for (std::size_t Each = 0; Each < this->Running.Members.size(); ++Each)
        this->Running.signalMember(Each, SIGCONT);
      break;
    case 4:
      Path.setFault(static_cast<PathFault>(this->below(4)));
      break;
    case 5:
      Path.setFault(PathFault::None);
      Path.resetAll();
      break;
    case 6:
      Path.setDelay(this->between(0, 120));
      break;
    case 7:
      Platform.StoreBehaviour.LostAnswers = this->below(2) == 0 ? 0.3 : 0;
      break;
    case 8:
      Platform.StoreBehaviour.Refusing = this->below(3) == 0;
      break;
    case 9:
      Platform.StoreBehaviour.Delay = this->between(0, 150);
      break;
    case 10:
      Platform.Store.forgetHistory(std::string(JournalTopic));
      break;
    case 11:
      Platform.WorkerBehaviour.LateOrders = this->below(2) == 0 ? 0.2 : 0;
      break;
    default:
      Platform.Park.crash(
          "w" + std::to_string(this->below(this->Options.Workers)),
          ++this->Lives);
    }
  }

  void heal() {
    this->Running.Platform.StoreBehaviour = {};
    this->Running.Platform.WorkerBehaviour = {};
    for (std::size_t Index = 0; Index < this->Running.Members.size(); ++Index) {
      FaultProxy &Path = *this->Running.Members[Index]->StorePath;
      Path.setFault(PathFault::None);
      Path.setDelay({0});
      this->Running.signalMember(Index, SIGCONT);
    }
  }

  asio::awaitable<void> clients() {
    constexpr int Attempts = 6;
    while (!this->Ending) {
      TaskScript Script;
      Script.WorkMs = this->between(50, 900).Ms;
      Script.FailRuns = this->below(6) == 0 ? 1 : 0;
      const auto Tasks = static_cast<std::int64_t>(1 + this->below(5));
      SubmittedJob Job =
          makeJob(++this->JobNumber, Tasks, this->below(2) == 0, Script);
      co_await this->Running.submit(Job, this->anyMember(), Attempts);
      if (Job.Accepted && this->below(6) == 0)
        Job.CancelAccepted =
            co_await this->Running.cancel(Job.Id, this->anyMember());
      this->Jobs.push_back(std::move(Job));
      co_await pauseFor(this->Running.io(), this->between(10, 250));
    }
    this->ClientsEnded = true;
  }

  asio::awaitable<void> check() {
    for (const SubmittedJob &Job : this->Jobs) {
      if (!Job.Accepted && Job.MaybeAccepted)
        continue; // May have been stored, or not.
      const std::string Shown =
          co_await this->Running.ended(Job.Id, SettleLimit);
      const bool MayBeCancelled = Shown == "cancelled";
      if (!Job.Accepted) {
        if (Shown != "gone")
          this->Running.violate("refused, yet shown as " + Shown + ": " +
                                Job.Id);
        continue;
      }
      if (Job.CancelAccepted && !MayBeCancelled && Shown != "completed")
        this->Running.violate("cancelled, yet shown as '" + Shown +
                              "': " + Job.Id);
      if (!Job.CancelAccepted && Shown != "completed" && !MayBeCancelled)
        this->Running.violate("accepted, yet shown as '" + Shown +
                              "': " + Job.Id);
    }
    std::cout << "jobs=" << this->Jobs.size()
              << " starts=" << this->Running.Platform.Park.startCount() << "\n";
  }

  Fleet &Running;
  SoakOptions Options;
  std::mt19937_64 Random;
  std::vector<SubmittedJob> Jobs;
  std::uint64_t JobNumber = 0;
  std::int64_t Lives = 1;
  bool Ending = false;
  bool ClientsEnded = false;
};

bool play(const SoakOptions &Options, const std::string &Folder) {
  Fleet Running(Options.Instances, Options.Workers, Options.Seed, Folder);
  Soak Played(Running, Options);
  const std::vector<std::string> Violations =
      Running.run([&Played](Fleet &) { return Played.run(); });
  for (const std::string &Text : Violations)
    std::cout << "seed=" << Options.Seed << " violation: " << Text << "\n";
  return Violations.empty();
}

} // namespace

} // namespace pistachioflow

/// Usage: pistachio-soak FIRST_SEED SEEDS [SECONDS [INSTANCES [WORKERS]]]
int main(int Argc, char **Argv) {
  using namespace pistachioflow;
  const auto number = [&](int Index, std::int64_t Default) {
    return Index < Argc ? std::atoll(Argv[Index]) : Default;
  };
  constexpr std::int64_t MsPerSecond = 1'000;
  std::int64_t Failed = 0;
  const std::int64_t Seeds = number(2, 1);
  for (std::int64_t Played = 0; Played < Seeds; ++Played) {
    SoakOptions Options;
    Options.Seed = static_cast<std::uint64_t>(number(1, 1) + Played);
    Options.Length = {number(3, 8) * MsPerSecond};
    Options.Instances = static_cast<std::size_t>(number(4, 4));
    Options.Workers = static_cast<std::size_t>(number(5, 8));
    const std::string Folder =
        (std::filesystem::temp_directory_path() /
         ("pistachioflow-soak-" + std::to_string(::getpid()) + "-" +
          std::to_string(Options.Seed)))
            .string();
    const bool Passed = play(Options, Folder);
    std::cout << "seed=" << Options.Seed
              << (Passed ? " passed" : " FAILED, logs in " + Folder)
              << std::endl;
    if (Passed)
      std::filesystem::remove_all(Folder);
    Failed += Passed ? 0 : 1;
  }
  std::cout << Seeds - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
