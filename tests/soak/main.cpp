// Randomized soak test: injects random faults into real daemons and their
// platform, then checks what callers and workers observed. A seed repeats the
// schedule of faults.

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
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

/// Time for an accepted job to end once all faults are cleared.
constexpr Duration SettleLimit{60'000};
constexpr Duration OwnerLimit{20'000};
/// One of this many jobs crashes the workers that start it.
constexpr std::uint64_t DeadlyJobShare = 20;
/// With so many crashes under one task, a job may be given up.
constexpr std::int64_t CrashesToGiveUp = 2;
constexpr std::int64_t EveryRun = 1'000;
constexpr Resources SmallCapacity{4'000, 4'000, 3};
/// Runs of this length also play faults that have to meet at one moment, which
/// single faults hardly ever do, and tasks that last long enough for them.
constexpr Duration MinCombinedFaultsLength{16'000};
/// Longer than a successor waits for the leases of an owner that is cut off.
constexpr Duration OwnerCutTime{14'000};
constexpr Duration SilentWatchTime{1'000};
constexpr std::uint64_t LongTaskShare = 4;

/// The single faults, in the order in which Soak::injectFault() draws them.
constexpr std::array<std::string_view, 14> FaultNames{"kill",
                                                      "terminate",
                                                      "pause",
                                                      "continue_all",
                                                      "path_fault",
                                                      "path_reset",
                                                      "path_delay",
                                                      "lost_answers",
                                                      "store_refuses",
                                                      "store_delay",
                                                      "compaction",
                                                      "delayed_starts",
                                                      "capacity_change",
                                                      "worker_crash"};

/// Formats a time as the daemons' logs do.
std::string formatTime(Instant Wall) {
  constexpr std::int64_t MsPerSecond = 1'000;
  const std::time_t Seconds = Wall.Ms / MsPerSecond;
  std::tm Parts{};
  ::gmtime_r(&Seconds, &Parts);
  std::ostringstream Text;
  Text << std::put_time(&Parts, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
       << std::setfill('0') << Wall.Ms % MsPerSecond;
  return Text.str();
}

class Soak {
public:
  /// \p Folder gets a log of the faults, beside those of the daemons.
  Soak(Fleet &Daemons, const SoakOptions &Options, const std::string &Folder)
      : Daemons(Daemons), Options(Options), Random(Options.Seed),
        CombinedRandom(Options.Seed), FaultLog(Folder + "/faults.log") {}

  asio::awaitable<void> run() {
    const std::function<bool()> Owned = [this] {
      return this->Daemons.ownerIndex() >= 0;
    };
    if (!co_await this->Daemons.waitUntil(Owned, OwnerLimit))
      this->Daemons.recordViolation("no owner at the start");
    this->chooseUnguardedWorkers();
    spawnCoroutine(this->Daemons.io(), "soak_clients", this->submitJobs());
    if (this->playsCombinedFaults())
      spawnCoroutine(this->Daemons.io(), "soak_combined_faults",
                     this->injectCombinedFaults());
    const Instant StartedAt = this->Daemons.Time.monotonic();
    while (this->Daemons.Time.monotonic() - StartedAt < this->Options.Length) {
      this->injectFault();
      this->Daemons.reapMembers();
      co_await pauseFor(this->Daemons.io(), this->randomDuration(50, 700));
    }
    this->Stopping = true;
    this->clearFaults();
    const std::function<bool()> ClientsDone = [this] {
      return this->ClientsEnded;
    };
    if (!co_await this->Daemons.waitUntil(ClientsDone, SettleLimit))
      this->Daemons.recordViolation("the client did not finish");
    co_await this->checkJobs();
  }

private:
  std::uint64_t randomBelow(std::uint64_t Limit) {
    return this->Random() % Limit;
  }

  Duration randomDuration(std::int64_t Low, std::int64_t High) {
    return {Low + static_cast<std::int64_t>(this->randomBelow(
                      static_cast<std::uint64_t>(High - Low)))};
  }

  std::size_t randomMember() {
    return this->randomBelow(this->Daemons.Members.size());
  }

  /// Picks the owner half of the time, since faults of the owner affect most.
  std::size_t pickMember() {
    const int Owner = this->Daemons.ownerIndex();
    const bool TakeOwner = Owner >= 0 && this->randomBelow(2) == 0;
    return TakeOwner ? static_cast<std::size_t>(Owner) : this->randomMember();
  }

  void injectFault() {
    PlatformServer &Platform = this->Daemons.Platform;
    const std::size_t Index = this->pickMember();
    FaultProxy &StoreProxy = *this->Daemons.Members[Index]->StoreProxy;
    const std::uint64_t Which = this->randomBelow(FaultNames.size());
    this->logFault(FaultNames[Which], Index);
    switch (Which) {
    case 0:
      this->Daemons.signalMember(Index, SIGKILL);
      break;
    case 1:
      this->Daemons.signalMember(Index, SIGTERM);
      break;
    case 2:
      this->Daemons.signalMember(Index, SIGSTOP);
      break;
    case 3:
      for (std::size_t Member = 0; Member < this->Daemons.Members.size();
           ++Member)
        this->Daemons.signalMember(Member, SIGCONT);
      break;
    case 4:
      this->faultStorePath(Index, static_cast<PathFault>(this->randomBelow(4)));
      break;
    case 5:
      StoreProxy.setFault(PathFault::None);
      StoreProxy.resetAll();
      break;
    case 6:
      StoreProxy.setDelay(this->randomDuration(0, 120));
      break;
    case 7:
      Platform.StoreBehaviour.LostAnswerShare =
          this->randomBelow(2) == 0 ? 0.3 : 0;
      break;
    case 8:
      Platform.StoreBehaviour.Refusing = this->randomBelow(3) == 0;
      break;
    case 9:
      Platform.StoreBehaviour.Delay = this->randomDuration(0, 150);
      break;
    case 10:
      Platform.Store.compact(std::string(JournalTopic));
      break;
    case 11:
      Platform.WorkerBehaviour.DelayedStartShare =
          this->randomBelow(2) == 0 ? 0.2 : 0;
      break;
    case 12:
      this->changeCapacity();
      break;
    default:
      Platform.Simulator.crash(this->randomWorker(),
                               this->Daemons.Time.monotonic());
    }
  }

  void faultStorePath(std::size_t Member, PathFault Fault) {
    this->Daemons.Members[Member]->StoreProxy->setFault(Fault);
    const bool CutsOwnerOff =
        Fault != PathFault::None &&
        static_cast<int>(Member) == this->Daemons.ownerIndex();
    if (CutsOwnerOff)
      this->Daemons.Platform.Simulator.noteDisruption(
          this->Daemons.Time.monotonic());
  }

  void logFault(std::string_view Name, std::size_t Member) {
    this->FaultLog << "time=" << formatTime(this->Daemons.Time.wall())
                   << " fault=" << Name << " instance=e" << Member << std::endl;
  }

  bool playsCombinedFaults() const {
    return this->Options.Length >= MinCombinedFaultsLength;
  }

  /// Plays one of them, after some work has begun.
  asio::awaitable<void> injectCombinedFaults() {
    constexpr std::uint64_t MaxDelayMs = 1'000;
    const std::uint64_t Which = this->CombinedRandom() % 2;
    const auto Delay =
        static_cast<std::int64_t>(this->CombinedRandom() % MaxDelayMs);
    co_await pauseFor(this->Daemons.io(), Duration{3'000 + Delay});
    const int Owner = this->Daemons.ownerIndex();
    if (Owner < 0 || this->Stopping)
      co_return;
    this->logFault(Which == 0 ? "owner_and_worker_cut_off"
                              : "owner_killed_and_history_forgotten",
                   static_cast<std::size_t>(Owner));
    if (Which == 0)
      co_await this->cutOffWithOneWorker(static_cast<std::size_t>(Owner));
    else
      co_await this->killWhileHistoryIsForgotten(
          static_cast<std::size_t>(Owner));
  }

  /// Parts the owner and one worker from the store and from everybody else.
  asio::awaitable<void> cutOffWithOneWorker(std::size_t Owner) {
    PlatformServer &Platform = this->Daemons.Platform;
    FaultProxy &StoreProxy = *this->Daemons.Members[Owner]->StoreProxy;
    const std::string Worker = this->workerOfLongTask();
    Platform.WorkerBehaviour.Cut =
        Partition{this->Daemons.ownerEpoch(), {Worker}};
    StoreProxy.setFault(PathFault::Blocked);
    co_await pauseFor(this->Daemons.io(), OwnerCutTime);
    Platform.WorkerBehaviour.Cut.reset();
    StoreProxy.setFault(PathFault::None);
  }

  /// Returns the worker of the newest long task that runs, or else any worker.
  std::string workerOfLongTask() {
    for (auto Task = this->LongTasks.rbegin(); Task != this->LongTasks.rend();
         ++Task)
      if (std::string Worker = this->Daemons.Platform.Simulator.workerOf(*Task);
          !Worker.empty())
        return Worker;
    return "w" + std::to_string(this->CombinedRandom() % this->Options.Workers);
  }

  /// The successor's claim falls into the time in which watches hear nothing.
  asio::awaitable<void> killWhileHistoryIsForgotten(std::size_t Owner) {
    PlatformServer &Platform = this->Daemons.Platform;
    this->Daemons.signalMember(Owner, SIGKILL);
    co_await pauseFor(this->Daemons.io(), SilentWatchTime);
    Platform.StoreBehaviour.WatchesSilent = true;
    co_await pauseFor(this->Daemons.io(), SilentWatchTime);
    Platform.forgetHistory();
  }

  std::string randomWorker() {
    return "w" + std::to_string(this->randomBelow(this->Options.Workers));
  }

  /// Shrinks a worker, or restores one that was shrunk.
  void changeCapacity() {
    TaskSimulator &Simulator = this->Daemons.Platform.Simulator;
    const std::string Worker = this->randomWorker();
    const bool Whole =
        Simulator.capacity(Worker).Accelerators == WorkerCapacity.Accelerators;
    Simulator.setCapacity(Worker, Whole ? SmallCapacity : WorkerCapacity,
                          this->Daemons.Time.monotonic());
  }

  void restoreCapacities() {
    for (std::size_t Index = 0; Index < this->Options.Workers; ++Index)
      this->Daemons.Platform.Simulator.setCapacity(
          "w" + std::to_string(Index), WorkerCapacity,
          this->Daemons.Time.monotonic());
  }

  /// Every other worker does not guard its capacity.
  void chooseUnguardedWorkers() {
    for (std::size_t Index = 0; Index < this->Options.Workers; Index += 2)
      this->Daemons.Platform.Simulator.setGuardsCapacity(
          "w" + std::to_string(Index), false);
  }

  void clearFaults() {
    this->FaultLog << "time=" << formatTime(this->Daemons.Time.wall())
                   << " all_cleared" << std::endl;
    this->restoreCapacities();
    this->Daemons.Platform.StoreBehaviour = {};
    this->Daemons.Platform.WorkerBehaviour = {};
    for (std::size_t Index = 0; Index < this->Daemons.Members.size(); ++Index) {
      FaultProxy &StoreProxy = *this->Daemons.Members[Index]->StoreProxy;
      StoreProxy.setFault(PathFault::None);
      StoreProxy.setDelay({0});
      this->Daemons.signalMember(Index, SIGCONT);
    }
  }

  asio::awaitable<void> submitJobs() {
    constexpr int Attempts = 6;
    while (!this->Stopping) {
      TaskScript Script;
      Script.WorkMs = this->randomDuration(50, 900).Ms;
      const bool Long =
          this->playsCombinedFaults() && this->randomBelow(LongTaskShare) == 0;
      if (Long)
        Script.WorkMs = this->randomDuration(8'000, 15'000).Ms;
      Script.FailingRuns = this->randomBelow(6) == 0 ? 1 : 0;
      const bool Deadly = this->randomBelow(DeadlyJobShare) == 0;
      Script.CrashingRuns = Deadly ? EveryRun : 0;
      Script.CrashAfterMs = this->randomDuration(0, 60).Ms;
      const auto Tasks = static_cast<std::int64_t>(1 + this->randomBelow(5));
      SubmittedJob Job =
          makeJob(++this->JobNumber, Tasks, this->randomBelow(2) == 0, Script);
      co_await this->Daemons.submit(Job, this->randomMember(), Attempts);
      if (Long)
        this->LongTasks.push_back(Job.Tasks.front());
      if (Job.Accepted && this->randomBelow(6) == 0)
        Job.CancelAccepted =
            co_await this->Daemons.cancel(Job.Id, this->randomMember());
      this->Jobs.push_back({std::move(Job), Deadly});
      co_await pauseFor(this->Daemons.io(), this->randomDuration(10, 250));
    }
    this->ClientsEnded = true;
  }

  /// Returns the most workers that have crashed under one task of the job.
  std::int64_t crashesUnder(const SubmittedJob &Job) const {
    std::int64_t Most = 0;
    for (const std::string &Task : Job.Tasks)
      Most =
          std::max(Most, this->Daemons.Platform.Simulator.crashesUnder(Task));
    return Most;
  }

  asio::awaitable<void> checkJobs() {
    for (const auto &[Job, Deadly] : this->Jobs) {
      if (!Job.Accepted && Job.OutcomeUnknown)
        continue; // Unknown whether the job was stored.
      const std::string State =
          co_await this->Daemons.waitForEnd(Job.Id, SettleLimit);
      const bool MayBeCancelled = State == "cancelled";
      if (!Job.Accepted) {
        if (State != "gone")
          this->Daemons.recordViolation("refused, but shown as " + State +
                                        ": " + Job.Id);
        continue;
      }
      const bool GivenUp = State == "failed" && !Deadly &&
                           this->crashesUnder(Job) >= CrashesToGiveUp;
      this->BystandersGivenUp += GivenUp ? 1 : 0;
      if (GivenUp)
        continue;
      const std::string Expected = Deadly ? "failed" : "completed";
      if (Job.CancelAccepted && !MayBeCancelled && State != Expected)
        this->Daemons.recordViolation("cancelled, but shown as '" + State +
                                      "': " + Job.Id);
      if (!Job.CancelAccepted && State != Expected && !MayBeCancelled)
        this->Daemons.recordViolation("accepted, but shown as '" + State +
                                      "': " + Job.Id);
    }
    std::cout << "jobs=" << this->Jobs.size()
              << " bystanders_given_up=" << this->BystandersGivenUp
              << " starts=" << this->Daemons.Platform.Simulator.startCount()
              << "\n";
  }

  Fleet &Daemons;
  SoakOptions Options;
  std::mt19937_64 Random;
  std::vector<std::string> LongTasks;
  std::mt19937_64 CombinedRandom; ///< Leaves the other schedule alone.
  std::ofstream FaultLog;
  struct SoakJob {
    SubmittedJob Submitted;
    bool Deadly = false; ///< Crashes the workers that start it.
  };
  std::vector<SoakJob> Jobs;
  std::uint64_t JobNumber = 0;
  std::int64_t BystandersGivenUp = 0;
  bool Stopping = false;
  bool ClientsEnded = false;
};

bool runSeed(const SoakOptions &Options, const std::string &Folder) {
  Fleet Daemons(Options.Instances, Options.Workers, Options.Seed, Folder);
  Soak Run(Daemons, Options, Folder);
  const std::vector<std::string> Violations =
      Daemons.run([&Run](Fleet &) { return Run.run(); });
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
  for (std::int64_t Offset = 0; Offset < Seeds; ++Offset) {
    SoakOptions Options;
    Options.Seed = static_cast<std::uint64_t>(number(1, 1) + Offset);
    Options.Length = {number(3, 8) * MsPerSecond};
    Options.Instances = static_cast<std::size_t>(number(4, 4));
    Options.Workers = static_cast<std::size_t>(number(5, 8));
    const std::string Folder =
        (std::filesystem::temp_directory_path() /
         ("pistachioflow-soak-" + std::to_string(::getpid()) + "-" +
          std::to_string(Options.Seed)))
            .string();
    const bool Passed = runSeed(Options, Folder);
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
