#pragma once

#include <memory>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/net/http_message.hpp"
#include "pistachioflow/net/memory_budget.hpp"

namespace pistachioflow {

/// Whether a call reached its peer and was answered.
enum class CallOutcome {
  Answered, ///< A complete response was read.
  NotSent,  ///< No connection: the peer did not get the request.
  NoAnswer, ///< No complete response: the peer may have acted.
};

struct CallResult {
  CallOutcome Outcome = CallOutcome::NotSent;
  HttpResponse Response;
};

/// HTTP/1.1 client of one peer. Keeps connections alive and uses each for one
/// call at a time.
///
/// Thread safety: none; use from the thread that runs the io_context. The
/// client must outlive its calls.
class HttpClient {
public:
  /// Connections share \p Budget; without one their memory is not limited.
  HttpClient(asio::io_context &Io, const asio::ip::tcp::endpoint &Peer,
             std::shared_ptr<MemoryBudget> Budget = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request. \p Timeout covers connecting and the whole response.
  asio::awaitable<CallResult> call(HttpRequest Request, Duration Timeout);

  const std::string &peerName() const { return this->PeerName; }

private:
  struct Connection;

  std::shared_ptr<Connection> takeIdle();
  asio::awaitable<bool> exchange(Connection &Channel, const std::string &Text,
                                 HttpResponse &Response);

  asio::io_context &Io;
  asio::ip::tcp::endpoint Peer;
  std::string PeerName;
  std::shared_ptr<MemoryBudget> Budget;
  std::vector<std::shared_ptr<Connection>> IdleConnections;
};

/// Parses "a.b.c.d:port". Returns an endpoint with port 0 and no address when
/// \p Text holds anything else.
asio::ip::tcp::endpoint parseEndpoint(std::string_view Text);

} // namespace pistachioflow
