#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/tasks.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform_standin/log_store.hpp"
#include "pistachioflow/platform_standin/task_park.hpp"

namespace pistachioflow {

/// How the stand-in's store misbehaves. Everything off: it does not.
struct StoreFaults {
  bool Refusing = false;  ///< Answers 503; nothing is done.
  bool Silent = false;    ///< Does nothing and never answers.
  double LostAnswers = 0; ///< Share of appends that are done, unanswered.
  Duration Delay{0};      ///< Before each answer.
};

/// How the stand-in's workers misbehave.
struct WorkerFaults {
  double LateOrders = 0; ///< Share of starts carried out late, unanswered.
  Duration Lateness{1'500};
};

/// The platform's store and workers on loopback, for tests and the demo.
///
/// Thread safety: none; use from the thread that runs the io_context.
class PlatformServer {
public:
  PlatformServer(asio::io_context &Io, const Clock &Time, ParkLimits Limits,
                 std::uint64_t Seed);

  /// Listens on free loopback ports and lets time pass. Call once.
  bool start(std::size_t WorkerCount, std::size_t WorkersPerRack,
             Resources Capacity);

  unsigned short storePort() const { return this->StoreServer.port(); }

  /// Publishes a configuration, as operators do.
  void publish(const std::string &DesiredStateJson);

  StoreFaults StoreBehaviour;
  WorkerFaults WorkerBehaviour;
  LogStore Store;
  TaskPark Park;

private:
  struct WorkerPort {
    std::string Id;
    std::string Rack;
    std::unique_ptr<HttpServer> Server;
    std::int64_t Beats = 0;
  };

  asio::awaitable<HttpResponse> serveStore(HttpRequest Request);
  asio::awaitable<HttpResponse> serveRead(std::string Query);
  HttpResponse serveAppend(const std::string &Query, const std::string &Body);
  HttpResponse serveNewest(const std::string &Query) const;
  asio::awaitable<HttpResponse> serveWorker(std::string Id,
                                            HttpRequest Request);
  asio::awaitable<HttpResponse> serveHold(std::string Id, std::string Body);
  asio::awaitable<HttpResponse> serveStart(std::string Id, std::string Body);
  asio::awaitable<void> passTime();
  void listWorkers();
  bool chance(double Share);

  asio::io_context &Io;
  const Clock &Time;
  HttpServer StoreServer;
  Signal Appended;
  Resources Capacity;
  std::vector<WorkerPort> Ports;
  std::mt19937_64 Random;
};

} // namespace pistachioflow
