#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <sys/types.h>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/platform_standin/fault_proxy.hpp"
#include "pistachioflow/platform_standin/platform_server.hpp"

namespace pistachioflow {

/// One daemon of a test, as a process of its own behind a proxy to the store.
struct FleetMember {
  std::string Name;
  pid_t Pid = 0;
  unsigned short CallerPort = 0;
  unsigned short ReadyPort = 0;
  std::string SettingsPath;
  std::string LogPath;
  std::unique_ptr<FaultProxy> StorePath;
  std::unique_ptr<HttpClient> Caller;
  std::unique_ptr<HttpClient> Ready;
  bool Frozen = false;
  std::int64_t UnexpectedExits = 0;
  bool ExitExpected = false;
};

/// What a client knows of a job it handed in.
struct SubmittedJob {
  std::string Id;
  std::vector<std::string> Tasks;
  bool Accepted = false;      ///< A 2xx came.
  bool MaybeAccepted = false; ///< An attempt got no final answer.
  bool CancelAccepted = false;
  std::string Body;
};

/// Real daemons against the stand-in platform, all on loopback.
class Fleet {
public:
  /// \p Folder holds settings and logs; it is made.
  Fleet(std::size_t Members, std::size_t Workers, std::uint64_t Seed,
        std::string Folder);
  /// Kills and reaps every process that it started.
  ~Fleet();

  asio::io_context &io() { return this->Io; }

  /// Runs \p Test as the client, with everything else beside it, and returns
  /// what must not have happened.
  std::vector<std::string>
  run(std::function<asio::awaitable<void>(Fleet &)> Test);

  void startMember(std::size_t Index);
  void signalMember(std::size_t Index, int Signal);
  /// Notes processes that ended, and starts them again.
  void reapMembers();

  /// Index of the member that owns the queues by the journal, or -1.
  int owner() const;

  /// Hands a job in at \p Member, retrying elsewhere until it is answered with
  /// 2xx or \p Attempts are used up.
  asio::awaitable<void> submit(SubmittedJob &Job, std::size_t Member,
                               int Attempts);
  /// Asks members in turn; returns the state's word, "gone", or "" without an
  /// answer.
  asio::awaitable<std::string> state(const std::string &JobId,
                                     std::size_t Member);
  asio::awaitable<bool> cancel(const std::string &JobId, std::size_t Member);

  /// Polls until \p Done holds or \p Longest has passed.
  asio::awaitable<bool> until(std::function<bool()> Done, Duration Longest);
  /// Waits until a job is shown in an ended state; returns it or "".
  asio::awaitable<std::string> ended(const std::string &JobId,
                                     Duration Longest);

  void violate(std::string Text) {
    this->Violations.push_back(std::move(Text));
  }

private:
  void writeSettings(const FleetMember &Of) const;

  // Sockets below belong to it, so it goes last.
  asio::io_context Io;
  std::string Folder;
  std::vector<std::string> Violations;

public:
  SystemClock Time;
  Duration CallTimeout{3'500}; ///< Of a client; its deadline is 3 s.
  std::int64_t CallsWithoutAnswer = 0;
  PlatformServer Platform;
  std::vector<std::unique_ptr<FleetMember>> Members;
};

/// Body of a job of \p Tasks tasks; as a gang they run together.
SubmittedJob makeJob(std::uint64_t Number, std::int64_t Tasks, bool Gang,
                     TaskScript Script);

} // namespace pistachioflow
