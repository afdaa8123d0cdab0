#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform_standin/log_store.hpp"
#include "pistachioflow/platform_standin/task_simulator.hpp"

namespace pistachioflow {

/// Faults of the simulated store; none by default.
struct StoreFaults {
  bool Refusing = false;      ///< Answers 503 and does nothing.
  bool Unresponsive = false;  ///< Does nothing and does not answer.
  double LostAnswerShare = 0; ///< Share of appends done, but unanswered.
  Duration Delay{0};          ///< Before each answer.
  Duration AppendDelay{0};    ///< Before an append is carried out.
  /// Pages hold the bytes of keys as they are, also where JSON can't.
  bool RawKeys = false;
  std::size_t MaxAppendBytes = 0; ///< Larger appends get 413. 0: no limit.
  /// Appends with a larger record get 413. 0: no limit.
  std::size_t MaxRecordBytes = 0;
  bool WatchesSilent = false; ///< Reads that wait get no records.
};

/// A cut between one owner with some workers, and everybody else. Each epoch
/// belongs to one daemon, so that the epoch of a call names its caller.
struct Partition {
  std::int64_t OwnerEpoch = 0;
  std::set<std::string> Workers; ///< On the owner's side.
  /// Answers to calls that arrived before the cut are still given.
  bool AnswersPass = false;
};

/// The epoch of no owner: a cut between some workers and everybody else.
inline constexpr std::int64_t NoOwnerEpoch = -1;

/// Faults of the simulated workers; none by default.
struct WorkerFaults {
  double DelayedStartShare = 0; ///< Share of starts delayed, unanswered.
  Duration StartDelay{1'500};
  std::int64_t RefusedStops = 0; ///< The next stops, that many, get 503.
  /// Calls across it are neither carried out nor answered.
  std::optional<Partition> Cut;
  /// Called when a worker has carried out a start, before that is answered.
  std::function<void(const std::string &WorkerId)> Started;
};

/// Serves a simulated platform (store and workers) on loopback, for tests and
/// the demo.
///
/// Thread safety: none; use from the thread that runs the io_context.
class PlatformServer {
public:
  PlatformServer(asio::io_context &Io, const Clock &Time,
                 SimulatorLimits Limits, std::uint64_t Seed);

  /// Listens on free loopback ports, publishes the workers' entries and starts
  /// the simulation. Returns false when no port is free. Call once.
  bool start(std::size_t WorkerCount, std::size_t WorkersPerRack,
             Resources Capacity);

  unsigned short storePort() const { return this->StoreServer.port(); }

  /// Publishes the operators' configuration.
  void publish(const std::string &DesiredStateJson);

  /// Writes any record into the operators' topic. An empty value deletes it.
  void putOperatorRecord(JournalRecord Record);

  /// Drops every record of the journal and of the operators' topic but the
  /// newest of each key, and ends the silence of watches.
  void forgetHistory();

  /// Writes the entries of all workers now, as it also does periodically.
  void publishWorkers();

  /// Writes any record into the list of workers, like another writer.
  void putWorkerRecord(JournalRecord Record);

  /// Returns the entry that a worker would write now. Precondition: there is a
  /// worker \p Id, as for workerCalls().
  std::string workerEntry(std::string_view Id) const;

  /// Returns how many calls reached a worker's address.
  std::int64_t workerCalls(std::string_view Id) const;

  /// By worker: makes what is written instead of the worker's entry.
  std::map<std::string, std::function<std::string(std::string)>, std::less<>>
      OddEntries;
  StoreFaults StoreBehaviour;
  WorkerFaults WorkerBehaviour;
  LogStore Store;
  TaskSimulator Simulator;

private:
  struct WorkerEndpoint {
    std::string Id;
    std::string Rack;
    std::unique_ptr<HttpServer> Server;
    std::int64_t Heartbeats = 0;
    bool Listed = false; ///< The list of workers has its entry.
    std::int64_t Calls = 0;
  };

  asio::awaitable<HttpResponse> serveStore(HttpRequest Request);
  asio::awaitable<HttpResponse> serveRead(std::string Query);
  HttpResponse serveAppend(const std::string &Query, const std::string &Body);
  HttpResponse serveNewest(const std::string &Query) const;
  asio::awaitable<HttpResponse> serveWorker(std::string Id,
                                            HttpRequest Request);
  asio::awaitable<HttpResponse> serveReachable(std::string Id,
                                               HttpRequest Request);
  bool isCutOff(const std::string &Id, std::int64_t CallerEpoch) const;
  asio::awaitable<HttpResponse> serveOrder(std::string Id, HttpRequest Request);
  asio::awaitable<HttpResponse> servePoll(std::string Id, std::string Body);
  asio::awaitable<HttpResponse> serveStart(std::string Id, std::string Body);
  asio::awaitable<void> advanceLoop();
  void publishWorker(WorkerEndpoint &Endpoint);
  void expireEntry(WorkerEndpoint &Endpoint);
  std::string workerEntry(const WorkerEndpoint &Endpoint) const;
  bool chance(double Probability);

  asio::io_context &Io;
  const Clock &Time;
  HttpServer StoreServer;
  Signal RecordsAppended;
  std::vector<WorkerEndpoint> WorkerEndpoints;
  std::mt19937_64 Random;
};

} // namespace pistachioflow
