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

namespace pistachioflow {

/// Answers one request. It may suspend; its connection waits meanwhile.
using HttpHandler =
    std::function<asio::awaitable<HttpResponse>(HttpRequest Request)>;

/// Bounds that keep slow or greedy clients from using up the server.
struct HttpServerLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 256U << 10U;
  Duration RequestTimeout = {
      3'000};                      ///< From a request's first byte to its end.
  Duration IdleTimeout = {15'000}; ///< Between requests of a connection.
  std::size_t MaxConnections =
      3'000; ///< Open at once; more are closed at once.
};

/// An HTTP/1.1 server on an io_context.
///
/// Thread safety: none; use from the thread that runs the io_context. The
/// server must outlive the io_context's run.
class HttpServer {
public:
  HttpServer(asio::io_context &Io, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p Local. Returns false, with a log line, when it is taken.
  bool listen(const asio::ip::tcp::endpoint &Local);

  /// Applies to messages that begin later.
  void setLimits(HttpServerLimits Changed) { this->Limits = Changed; }

  /// From now on each answer closes its connection. New connections are still
  /// accepted.
  void startDraining();

  /// Stops accepting and closes connections without a request in progress.
  void closeIdle();

  /// Requests read in full, or begun, and not yet answered.
  std::size_t inProgress() const { return this->ActiveRequests; }
  /// The port, useful after listening on port 0.
  unsigned short port() const;

private:
  struct Session;

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(std::shared_ptr<Session> Client);
  asio::awaitable<bool> readRequest(std::shared_ptr<Session> Held,
                                    HttpRequest &Request);
  asio::awaitable<bool> respond(Session &Client, HttpRequest Request);

  asio::io_context &Io;
  HttpHandler Handler;
  HttpServerLimits Limits;
  asio::ip::tcp::acceptor Acceptor;
  std::set<Session *> Sessions;
  std::size_t ActiveRequests = 0;
  bool Draining = false;
};

} // namespace pistachioflow
