// A small installation on loopback for the review's cases: the daemons as
// processes, and stand-ins for the platform's store, the runners and clients.
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform_standin/fault_proxy.hpp"
#include "pistachioflow/platform_standin/log_store.hpp"

namespace review {

using pistachioflow::HttpRequest;
using pistachioflow::HttpResponse;
using Json = nlohmann::json;

/// Bounds of the installation, as in the example of the users' settings page.
struct Bounds {
  static constexpr std::int64_t ContactMs = 3'000;
  static constexpr std::int64_t HeartbeatMs = 1'500;
  static constexpr std::int64_t MaxHoldMs = 6'000;
  static constexpr std::int64_t StopMs = 400;
  static constexpr std::int64_t GangMs = 3'000;
  static constexpr std::int64_t CancelMs = 3'000;
  static constexpr std::int64_t DrainMs = 2'000;
  static constexpr std::int64_t FinishMs = 14'000;
};

/// Milliseconds on the steady clock.
std::int64_t steadyMs();
/// Milliseconds since 1970.
std::int64_t wallMs();

/// Writes record.txt: one line for each thing sent, answered or run.
class Recorder {
public:
  explicit Recorder(const std::string &Path);
  void line(const std::string &Text);
  std::int64_t now() const { return steadyMs() - this->StartedMs; }

private:
  std::ofstream File;
  std::int64_t StartedMs;
};

/// What a task needs and does. The stand-in runners look it up by job.
struct TaskKind {
  std::int64_t WorkMs = 0; ///< 0: lasts until it is stopped.
  std::int64_t MilliCores = 1'000;
  std::int64_t MemoryMb = 1'000;
  std::int64_t Accelerators = 1;
  std::int64_t Count = 1;
  bool Gang = false;
  bool TightlyCoupled = false;
  std::string RequiredLabel;
  std::string DataRack;
  std::int64_t AntiAffinity = 0;
  std::int64_t TargetMs = 0; ///< It serves; its reports give a tail.
  std::int64_t MayMiss = 0;
  std::vector<std::int64_t> After;
};

/// A job as its client knows it.
struct Job {
  std::string Id;
  std::vector<TaskKind> Steps;
  bool Urgent = false;                ///< In the queue of priority 0.
  std::int64_t AcceptedAt = -1;       ///< First 2xx, on the recorder's clock.
  std::int64_t CancelAcceptedAt = -1; ///< First 2xx to its DELETE.
  std::int64_t ShownCompletedAt = -1; ///< First GET that said "completed".
};

/// One start of a task, as its runner saw it.
struct Run {
  std::string Task;
  std::int64_t Number = 0;
  std::string Runner;
  std::string RunnerKind;
  std::int64_t Token = 0;
  std::int64_t StartedAt = 0; ///< On the recorder's clock.
  std::int64_t EndedAt = -1;
  std::string How;
  std::int64_t EndNumber = 0;
  std::int64_t NotedAt = -1; ///< When last_seen first reached its end.
  bool RunnerLost = false;   ///< Ended by the crash of its runner.
};

struct Runner {
  std::string Id;
  std::string Rack;
  std::string Kind = "a";
  std::int64_t Accelerators = 8;
  std::unique_ptr<pistachioflow::HttpServer> Server;
  std::unique_ptr<pistachioflow::FaultProxy> Way; ///< Callers connect to it.
  std::int64_t BornWallMs = 0;
  std::int64_t BornSteadyMs = 0;
  std::int64_t Token = 0;
  std::int64_t LeaseEndsMs = 0; ///< Steady clock.
  std::int64_t LastEnd = 0;
  std::int64_t Heartbeats = 0;
  std::int64_t LastHeartbeatMs = 0; ///< Accepted by the store; steady clock.
  bool Up = true;
  bool Listed = false;
  bool Draining = false;
  bool RefusesStarts = false; ///< Unhealthy: answers 503 and does nothing.
  bool ReachesStore = true;
  std::map<std::string, std::size_t> Active; ///< Task to index in World::Runs.
  std::map<std::string, std::int64_t> StopAtMs;
  std::vector<std::size_t> Unseen; ///< Ended runs that were not noted.
  std::map<std::string, std::int64_t> LastRun; ///< Highest stopped or ended.
};

struct Daemon {
  std::string Name;
  pid_t Pid = 0;
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadyPort = 0;
  std::string SettingsPath;
  std::string LogPath;
  std::unique_ptr<pistachioflow::HttpServer>
      StoreView; ///< Its way to the store.
  std::unique_ptr<pistachioflow::HttpClient> Caller;
  std::unique_ptr<pistachioflow::HttpClient> ReadyProbe;
  bool ReachesStore = true;
};

/// The installation. Thread safety: none; everything runs on one io_context.
class World {
public:
  World(const std::string &RecordPath, std::size_t Daemons);
  ~World();

  asio::io_context Io{1};
  Recorder Record;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::map<std::string, Runner> Runners;
  std::map<std::string, Job> Jobs;
  std::vector<Run> Runs;
  pistachioflow::LogStore Store;
  std::int64_t StatusS = 120; ///< `status_s` in the daemons' settings.
  std::int64_t TailMs = 5;    ///< Of tasks that serve.

  /// Whether a call with this fencing token reaches the runner. Calls that do
  /// not reach it are neither carried out nor answered.
  std::function<bool(const Runner &, std::int64_t Token)> Reaches;

  void addRunner(const std::string &Id, const std::string &Rack,
                 const std::string &Kind = "a");
  /// Starts everything, plays \p Script and returns when it has ended.
  bool play(std::function<asio::awaitable<void>(World &)> Script);

  asio::awaitable<void> pause(std::int64_t Ms);
  /// Waits until \p Done holds; false after \p TimeoutMs.
  asio::awaitable<bool> until(std::function<bool()> Done,
                              std::int64_t TimeoutMs);

  /// Hands a job in at \p First, and at the next daemons until one accepts it.
  asio::awaitable<bool> submit(Job &Entry, std::size_t First);
  asio::awaitable<bool> cancel(Job &Entry, std::size_t At);
  /// Returns the state, "gone" for 410, or "" without an answer.
  asio::awaitable<std::string> state(Job &Entry, std::size_t At);
  Job &addJob(std::uint64_t Number, std::vector<TaskKind> Steps);

  /// The daemon that wrote the newest ownership record, or -1; its epoch.
  int owner() const;
  std::int64_t ownerEpoch() const;
  /// Whether the daemon's process has ended by itself.
  bool hasDied(Daemon &Entry) const;
  void signalDaemon(std::size_t Index, int Signal);
  void restartDaemon(std::size_t Index);

  /// The runner's process dies: everything on it ends, its channels are reset
  /// and new ones are refused.
  void crashRunner(Runner &Target);
  /// A new boot under the same id and address. It writes its entry at once.
  void bootRunner(Runner &Target, const std::string &Kind);
  /// The runner reports that it drains, serves on and then leaves.
  asio::awaitable<void> drainRunner(Runner &Target);
  /// Watches of the journal hear nothing for \p DeafMs; then the store forgets
  /// its history. Reads without a wait are answered as always.
  asio::awaitable<void> forgetHistory(std::int64_t DeafMs);

  std::size_t activeRuns(const std::string &JobId) const;
  std::int64_t idleRunners() const;
  std::int64_t freeAccelerators(const std::string &Kind) const;
  std::int64_t usedAccelerators() const;
  bool setupFailed() const { return !this->Problem.empty(); }
  std::string Problem;

private:
  void writeSettings(const Daemon &Entry) const;
  void startDaemon(Daemon &Entry);
  void heartbeat(Runner &Target);
  void removeRunner(Runner &Target);
  void advance();
  void endRun(Runner &Target, const std::string &Task, const std::string &How);
  void breakGang(const std::string &Task, std::int64_t Number);
  void startGangIfComplete(const std::string &Task, std::int64_t Number);
  const TaskKind *kindOf(const std::string &Task) const;
  std::int64_t freeAccelerators(const Runner &Target) const;
  asio::awaitable<void> heartbeatLoop();
  asio::awaitable<void> advanceLoop();
  asio::awaitable<HttpResponse> serveStore(Daemon &From, HttpRequest Request);
  asio::awaitable<HttpResponse> serveRead(Daemon &From, std::string Query);
  HttpResponse serveAppend(const std::string &Query, const std::string &Body);
  HttpResponse serveNewest(const std::string &Query) const;
  asio::awaitable<HttpResponse> serveRunner(Runner &Target,
                                            HttpRequest Request);
  HttpResponse runStart(Runner &Target, const Json &Body);
  HttpResponse runStop(Runner &Target, const Json &Body);
  asio::awaitable<HttpResponse> hold(Runner &Target, Json Body);
  asio::awaitable<HttpResponse> noAnswer();

  std::string Folder;
  pistachioflow::Signal Changed;
  /// When the work of a run ends; 0: not before it is stopped.
  std::map<std::size_t, std::int64_t> EndsAtMs;
  bool Deaf = false;
  std::int64_t DeafFrom = 0;
};

/// Returns whether the case plays its disruption.
bool withTrouble();

} // namespace review
