#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "pistachioflow/api/backend.hpp"
#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/metrics.hpp"
#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

struct ServerSettings {
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0 lets the system choose one.
  /// The most connections that are served at the same time.
  std::size_t MaxThreads = 256;
  /// The largest body that is read.
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// How long an idle connection is kept.
  Duration KeepAlive{2'000};
  /// How long one read from a caller may take.
  Duration ReadTimeout{5'000};
  /// The deadline of a request that names none.
  Duration DefaultDeadline{10'000};
};

/// The HTTP server for callers and operators. docs/API.md lists its paths.
///
/// Thread safety: every method may be called from any thread.
class HttpServer {
public:
  /// \p Handler, \p Time and \p Metrics must outlive the server.
  HttpServer(Backend &Handler, const Clock &Time, MetricRegistry &Metrics,
             ServerSettings Settings);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and serves in threads of its own; returns the port.
  /// Errors: Unavailable where the address cannot be bound.
  Result<std::uint16_t> start();

  /// Closes each connection after its current answer instead of keeping it.
  void stopKeepingConnections();

  /// Stops accepting, waits for every answer in progress, and returns.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Held;
};

} // namespace pistachioflow
