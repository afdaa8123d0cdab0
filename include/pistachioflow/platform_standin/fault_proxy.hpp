#pragma once

#include <memory>
#include <set>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// How a proxied path misbehaves.
enum class PathFault {
  None,
  Silent,     ///< Nothing passes, and connections stay open.
  SilentBack, ///< Requests pass, answers do not.
  Refusing,   ///< New connections are reset.
};

/// Passes TCP connections on to one port of loopback, with faults.
///
/// Thread safety: none; use from the thread that runs the io_context.
class FaultProxy {
public:
  explicit FaultProxy(asio::io_context &Io);
  ~FaultProxy();

  /// Listens on a free loopback port. Returns false when there is none.
  bool listen(unsigned short TargetPort);
  unsigned short port() const;

  void setFault(PathFault Changed);
  /// Before each chunk of bytes, either way.
  void setDelay(Duration Changed) { this->Delay = Changed; }
  /// Resets every open connection.
  void resetAll();

private:
  struct Pair;

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> open(std::shared_ptr<Pair> Both);
  asio::awaitable<void> pump(std::shared_ptr<Pair> Both, bool Back);
  bool blocked(bool Back) const;

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  unsigned short TargetPort = 0;
  PathFault Fault = PathFault::None;
  Duration Delay{0};
  std::set<std::shared_ptr<Pair>> Pairs;
};

} // namespace pistachioflow
