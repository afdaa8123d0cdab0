#pragma once

#include <memory>
#include <set>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Fault that a proxy injects.
enum class PathFault {
  None,
  Blocked,          ///< No bytes pass; connections stay open.
  ResponsesBlocked, ///< Requests pass, responses do not.
  Refusing,         ///< New connections are reset.
};

/// Forwards TCP connections to a loopback port and injects faults.
///
/// Thread safety: none; use from the thread that runs the io_context.
class FaultProxy {
public:
  explicit FaultProxy(asio::io_context &Io);
  ~FaultProxy();

  /// Listens on a free loopback port. Returns false when there is none.
  bool listen(unsigned short TargetPort);
  unsigned short port() const;

  void setFault(PathFault NewValue);
  /// Delays each chunk of bytes, in both directions.
  void setDelay(Duration NewValue) { this->Delay = NewValue; }
  /// Resets every open connection.
  void resetAll();

private:
  struct SocketPair;

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> connectPair(std::shared_ptr<SocketPair> Sockets);
  asio::awaitable<void> forward(std::shared_ptr<SocketPair> Sockets,
                                bool FromTarget);
  bool isBlocked(bool FromTarget) const;

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  unsigned short TargetPort = 0;
  PathFault Fault = PathFault::None;
  Duration Delay{0};
  std::set<std::shared_ptr<SocketPair>> OpenPairs;
};

} // namespace pistachioflow
