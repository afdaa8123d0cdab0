#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

/// What each worker of a fleet offers at first.
inline constexpr Resources WorkerCapacity{16'000, 16'000, 8};

/// \name Paths of the queues of a fleet
/// @{
inline const std::string PrivatePath = "/q/"; ///< Needs a key of a workspace.
inline const std::string PublicPath = "/open/";
/// @}

/// How the client of a test calls the daemons.
struct CallerIdentity {
  std::string Key = "key"; ///< Empty: it sends none.
  std::string Path = PrivatePath;
};

/// One daemon process of a test. It reaches the store through a proxy.
struct FleetMember {
  std::string Name;
  pid_t Pid = 0;
  unsigned short CallerPort = 0;
  unsigned short ReadyPort = 0;
  std::string SettingsPath;
  std::string LogPath;
  std::unique_ptr<FaultProxy> StoreProxy;
  std::unique_ptr<HttpClient> CallerClient;
  std::unique_ptr<HttpClient> ReadyClient;
  bool Paused = false; ///< Stopped by SIGSTOP.
  std::int64_t UnexpectedExits = 0;
  bool ExitExpected = false;
};

/// A submitted job with what its client knows of it.
struct SubmittedJob {
  std::string Id;
  std::vector<std::string> Tasks;
  bool Accepted = false;       ///< An attempt was answered with 2xx.
  bool OutcomeUnknown = false; ///< An attempt may have been accepted.
  bool CancelAccepted = false;
  int LastStatus = 0; ///< Of the newest answer to an attempt.
  std::string Body;
};

/// Runs real daemons against the platform stand-in, all on loopback.
class Fleet {
public:
  /// \p Folder holds settings and logs; created if missing.
  Fleet(std::size_t Members, std::size_t Workers, std::uint64_t Seed,
        std::string Folder);
  /// Kills and reaps every process that it started.
  ~Fleet();

  asio::io_context &io() { return this->Io; }

  /// Starts the daemons, runs \p Test as the client and returns the violations.
  std::vector<std::string>
  run(std::function<asio::awaitable<void>(Fleet &)> Test);

  /// Sets how many bytes one append may have, before run().
  void limitAppends(std::int64_t Bytes);

  /// Lets operators evacuate one of \p Domains within \p Timeout, before run().
  void allowEvacuations(Duration Timeout, std::vector<std::string> Domains);

  /// Names the memory and the descriptors of a machine in the settings, before
  /// run().
  void limitMachine(std::int64_t MemoryMb, std::int64_t FileDescriptors);

  /// Sets how many bytes one record may have, before run().
  void limitRecords(std::int64_t Bytes);

  void startMember(std::size_t Index);
  void signalMember(std::size_t Index, int Signal);
  /// Restarts processes that exited. An exit without a signal of the test is a
  /// violation.
  void reapMembers();

  /// Returns the index of the member that owns the queues according to the
  /// journal, or -1.
  int ownerIndex() const;
  /// Returns the epoch of that owner, or 0.
  std::int64_t ownerEpoch() const;

  /// Submits a job to \p Member and retries with the next members until one
  /// answers 2xx or \p Attempts are used up.
  asio::awaitable<void> submit(SubmittedJob &Job, std::size_t Member,
                               int Attempts);
  /// Asks \p Member for a job's state. Returns "gone" for status 410 and "" for
  /// other errors or no answer.
  asio::awaitable<std::string> queryState(const std::string &JobId,
                                          std::size_t Member);
  /// Makes one call about a job, with its body. Returns the status of the
  /// answer, or 0 without one.
  asio::awaitable<int> statusOf(std::string Method, SubmittedJob Job,
                                std::size_t Member);
  asio::awaitable<bool> cancel(const std::string &JobId, std::size_t Member);

  /// Polls until \p Done holds or \p Timeout has passed.
  asio::awaitable<bool> waitUntil(std::function<bool()> Done, Duration Timeout);
  /// Asks the members in turn until a job has ended. Returns its state, or ""
  /// after \p Timeout.
  asio::awaitable<std::string> waitForEnd(const std::string &JobId,
                                          Duration Timeout);

  void recordViolation(std::string Text) {
    this->Violations.push_back(std::move(Text));
  }

private:
  std::optional<OwnershipRecord> ownership() const;
  void writeSettings(const FleetMember &Member) const;

  // Declared first, so that it is destroyed after the sockets that use it.
  asio::io_context Io;
  std::string Folder;
  std::int64_t MaxAppendBytes = 2'097'152;
  std::int64_t MaxRecordBytes = 262'144;
  std::int64_t MemoryMb = 0; ///< 0: the settings name no machine.
  std::int64_t FileDescriptors = 0;
  Duration EvacuationTimeout; ///< 0: the settings name none.
  std::vector<std::string> Domains;
  std::vector<std::string> Violations;

public:
  SystemClock Time;
  CallerIdentity Caller;       ///< Of the calls that follow.
  Duration CallTimeout{3'500}; ///< Of a client; its deadline is 3 s.
  std::int64_t CallsWithoutAnswer = 0;
  PlatformServer Platform;
  std::vector<std::unique_ptr<FleetMember>> Members;
};

/// Makes a job of \p Tasks tasks with one step, as a gang or as single tasks.
SubmittedJob makeJob(std::uint64_t Number, std::int64_t Tasks, bool Gang,
                     TaskScript Script);

} // namespace pistachioflow
