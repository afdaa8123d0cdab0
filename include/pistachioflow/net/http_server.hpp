#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/net/http_message.hpp"
#include "pistachioflow/net/memory_budget.hpp"

namespace pistachioflow {

/// Handles one request. It may suspend; the next request of the same connection
/// waits until then.
using HttpHandler =
    std::function<asio::awaitable<HttpResponse>(HttpRequest Request)>;

/// Limits that protect the server from slow clients and oversized messages.
struct HttpServerLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 256U << 10U;
  Duration RequestTimeout = {3'000}; ///< From first byte to last of a request.
  Duration IdleTimeout = {15'000};   ///< Between requests of a connection.
  Duration ResponseTimeout = {10'000}; ///< To write a response.
  /// With more, the one that has finished no request for longest is closed.
  std::size_t MaxConnections = 3'000;
};

/// An HTTP/1.1 server on an io_context.
///
/// Thread safety: none; use from the thread that runs the io_context. The
/// server must outlive the io_context's run.
class HttpServer {
public:
  /// Connections share \p Budget; without one their memory is not limited.
  HttpServer(asio::io_context &Io, HttpHandler Handler,
             std::shared_ptr<MemoryBudget> Budget = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p Local. Logs the error and returns false when it fails, as
  /// when the port is in use.
  bool listen(const asio::ip::tcp::endpoint &Local);

  /// Timeouts apply to later reads, the other limits to connections accepted
  /// later.
  void setLimits(HttpServerLimits NewLimits) { this->Limits = NewLimits; }

  /// Closes each connection after its next response. New connections are still
  /// accepted.
  void startDraining();

  /// Stops accepting connections and closes those without a request in
  /// progress.
  void closeIdle();

  /// Returns the number of requests being handled or answered.
  std::size_t inProgress() const { return this->ActiveRequests; }
  /// Returns how many connections were closed to make room for others.
  std::size_t closedForRoom() const { return this->ClosedForRoom; }
  /// Returns the port that it listens on, for use after listening on port 0.
  unsigned short port() const;

private:
  struct Session;
  class Activity;

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(std::shared_ptr<Session> Client);
  asio::awaitable<bool> readRequest(std::shared_ptr<Session> Owner,
                                    HttpRequest &Request);
  asio::awaitable<bool> respond(std::shared_ptr<Session> Owner,
                                HttpRequest Request);
  asio::awaitable<bool> refuse(std::shared_ptr<Session> Owner, int Status);
  asio::awaitable<bool> write(std::shared_ptr<Session> Owner,
                              HttpResponse Response, bool KeepAlive);
  bool makeRoom();

  asio::io_context &Io;
  HttpHandler Handler;
  HttpServerLimits Limits;
  asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<MemoryBudget> Budget;
  std::set<Session *> Sessions;
  std::size_t ActiveRequests = 0;
  std::size_t ClosedForRoom = 0;
  bool Draining = false;
};

} // namespace pistachioflow
