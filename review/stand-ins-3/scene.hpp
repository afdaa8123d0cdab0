#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/platform_standin/platform_server.hpp"

namespace review {

using namespace pistachioflow;
using Json = nlohmann::json;

// Bounds of the settings of a scene, those of the Hallett site file.
inline constexpr Duration ContactTimeout{3'000};
inline constexpr Duration StopTimeout{400};
inline constexpr Duration VisibleTime{3'000};
inline constexpr std::int64_t MemoryMb = 260;

inline const std::string Host = "nony24.example";
inline const std::string Path = "/lohu930/";      // a private queue, priority 1
inline const std::string UrgentPath = "/urgent/"; // a queue of priority 0
inline const std::string Key = "key-of-team";

/// A daemon of the system, started as deploy/system.toml says.
struct Daemon {
  std::string Name;
  pid_t Pid = 0;
  unsigned short CallerPort = 0;
  unsigned short ReadyPort = 0;
  std::string Settings;
  Instant RestartAt; // 0: runs
  std::int64_t PeakMb = 0;
  bool KilledByTest = false;
  std::unique_ptr<HttpClient> Client;
};

/// A process of the stand-in of a runner.
struct RunnerProcess {
  std::string Id;
  std::string Rack;
  unsigned short Port = 0;
  pid_t Pid = 0;
  int Output = -1; // read end of the pipe from its standard output
  std::string Unread;
  Instant DownSince;
  bool Listed = true;
};

/// A start or an end that a runner has printed.
struct RunEvent {
  std::int64_t WallMs = 0;
  std::string Runner;
  std::string Kind; // born, started, ended
  std::string Task;
  std::int64_t Run = 0;
  std::string Rest; // how it ended, or what it was told
};

struct Reply {
  int Status = 0; // 0: none
  std::string Body;
};

/// Daemons, runners and the platform's store, all on loopback, with one client.
class Scene {
public:
  /// \p Folder gets record.txt.
  Scene(std::string Folder, std::size_t Daemons, std::size_t Runners);
  ~Scene();

  /// Starts all, runs \p Test and returns the exit status.
  int run(std::function<asio::awaitable<void>(Scene &)> Test);

  bool trouble() const { return this->Trouble; }
  void record(const std::string &Line);
  void broken(const std::string &Line);
  void cannotRun(const std::string &Line);

  unsigned short unusedPort();
  void killRunner(std::size_t Index);
  void startRunner(std::size_t Index);
  /// Kills a runner and starts it again under its id.
  asio::awaitable<void> restartRunner(std::size_t Index, Duration Down);

  asio::awaitable<Reply> call(std::string Method, std::string Target,
                              std::string CallerKey, std::string Body,
                              std::size_t DaemonIndex);
  /// Submits until a 2xx or \p Attempts are used up.
  asio::awaitable<bool> submit(std::string Id, std::string Body, int Attempts);
  /// Submits to the queue of priority 0, to one daemon after the other.
  asio::awaitable<bool> submitUrgent(std::string Id, std::string Body);
  /// Returns the state that a daemon shows, or the status as text.
  asio::awaitable<std::string> state(std::string Id, std::size_t DaemonIndex);
  asio::awaitable<bool> waitUntil(std::function<bool()> Done, Duration Limit);

  /// The newest event of a task, or null.
  const RunEvent *newest(const std::string &Task) const;
  /// The runner that works on a task, or -1.
  int runnerOf(const std::string &Task) const;
  std::size_t count(const std::string &Kind, const std::string &Task) const;
  /// Runs that have started and not ended.
  std::size_t runningNow() const;

  asio::io_context Io{1};
  SystemClock Time;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<std::unique_ptr<RunnerProcess>> Runners;
  std::vector<RunEvent> Events;
  std::unique_ptr<PlatformServer> Platform;
  /// Whether a daemon beyond memory_mb is killed, as DEPLOY.md says.
  bool WatchMemory = true;
  int MemoryKills = 0;

private:
  void startDaemon(Daemon &Entry);
  void writeSettings(Daemon &Entry) const;
  void readRunners();
  void reap();
  void checkMemory();
  asio::awaitable<void> watch();

  std::string Folder;
  std::string Temporary;
  bool Trouble = true;
  bool Broken = false;
  bool CannotRun = false;
  Instant StartedAt;
  std::FILE *Record = nullptr;
};

/// A job of one step.
std::string jobBody(const Json &Step, const std::string &Specification);

} // namespace review
