#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pistachioflow/base/metrics.hpp"
#include "pistachioflow/controller/event_journal.hpp"
#include "pistachioflow/filter/chain.hpp"

namespace pistachioflow {

struct RequestSettings {
  InstanceId Self;
  std::uint64_t Seed = 0; ///< Must differ between processes.
  DispatchSettings Dispatch;
  RetrySettings Retry;
  Duration LongestRequest{60'000}; ///< Later deadlines are cut to this.
  /// How long after beginDrain() requests are still taken, so that what the
  /// balancer sends before it learns of it does not fail.
  Duration DrainGrace{2'000};
};

/// What the service works with. All references must outlive it.
struct RequestPorts {
  const Clock &Time;
  RunnerGateway &Runners;
  KeyController &Keys;
  EventJournal &Journal;
  MetricRegistry &Metrics;
  ListsProvider CurrentLists;
  FleetProvider Fleet;
  /// What all live peers together have in flight. Must not block.
  Dispatcher::LoadsProvider PeerLoads;
  SleepFunction Sleep; ///< Empty outside of tests with a clock of their own.
};

/// Takes callers' requests through the filter chain.
///
/// Thread safety: every method may be called from any thread.
class RequestService {
public:
  RequestService(const RequestSettings &Settings, const RequestPorts &Ports);
  ~RequestService();
  RequestService(const RequestService &) = delete;
  RequestService &operator=(const RequestService &) = delete;

  /// Blocks until the request is answered, at the latest soon after its
  /// deadline. Precondition: Request.Request is not empty.
  RequestOutcome handle(const CallerRequest &Request);

  /// Cancels a request in progress: one that waits is answered at once, one
  /// that was sent is cancelled at its runner. Returns whether it was found.
  bool cancel(const WorkspaceId &Workspace, const RequestId &Request);

  /// Fetches the list of runners. Call it at start and then every second or
  /// less. Returns whether the list could be had; else the last one stays.
  bool refresh();

  /// Refuses new requests once the grace is over. What is in progress ends.
  void beginDrain();

  /// Returns how many requests are in progress.
  std::uint32_t inFlight() const { return this->InProgress; }

  /// Returns what this instance has in flight at each runner, for its peers.
  std::vector<RunnerInFlight> localLoads();

private:
  using ActivePtr = std::shared_ptr<ActiveRequest>;
  struct ActiveShard {
    std::mutex Lock;
    std::unordered_multimap<std::string, ActivePtr> Requests;
  };
  static constexpr std::size_t Shards = 16;

  struct ClassMetrics {
    Counter *Done = nullptr;
    Counter *NotRun = nullptr;
    Counter *Unknown = nullptr;
    LatencyHistogram *Latency = nullptr;
  };

  bool refusesNew() const;
  ActiveShard &shardOf(const std::string &Name);
  void forget(const std::string &Name, const ActivePtr &Active);
  void note(const RequestContext &Context);
  void noteHealth(const RunnerHealthChange &Change);
  TimelineEvent newEvent(SubjectKind Kind, std::string Subject) const;

  const RequestSettings Settings;
  const Clock &Time;
  RunnerGateway &Runners;
  EventJournal &Journal;
  const std::string WirePrefix;
  std::array<ClassMetrics, RequestClasses> ByClass;
  std::atomic<std::uint64_t> LastWire{0};
  std::atomic<std::uint32_t> InProgress{0};
  std::atomic<std::int64_t> DrainFromMs;
  std::array<ActiveShard, Shards> Active;
  FilterParts Parts;
};

} // namespace pistachioflow
