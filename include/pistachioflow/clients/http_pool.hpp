#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/codec/settings.hpp"

namespace pistachioflow {

/// How far one HTTP exchange came.
enum class ExchangeState : std::uint8_t {
  NotSent,  ///< No connection: no byte of the request left this process.
  Lost,     ///< Bytes may have left, and no whole answer arrived.
  Answered, ///< A whole answer arrived, whatever its status.
};

struct HttpCall {
  std::string Method = "GET";
  std::string Path; ///< With the query, percent-encoded.
  std::string Body;
  std::string ContentType = "application/json";
  Duration Timeout{1'000}; ///< For the whole exchange after the connect.
};

struct HttpAnswer {
  ExchangeState State = ExchangeState::NotSent;
  int Status = 0;
  std::string Body;
};

struct HttpPoolSettings {
  Endpoint Server;
  Duration ConnectTimeout{500};
  /// Connections kept open between exchanges. Each costs the server a thread.
  std::size_t MaxIdle = 8;
  /// A connection idle for longer is closed instead of reused. It must be
  /// shorter than the server's own idle timeout: a request sent while the
  /// server closes counts as lost.
  Duration MaxIdleTime{700};
  std::size_t MaxAnswerBytes = std::size_t{16} << 20;
};

/// Connections to one server, reused between exchanges.
///
/// Thread safety: every method may be called from any thread. As many exchanges
/// run at the same time as there are callers.
class HttpPool {
public:
  /// Precondition: \p Time outlives the pool.
  HttpPool(HttpPoolSettings Settings, const Clock &Time);
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Sends one request and waits for its whole answer. Nothing is sent twice.
  HttpAnswer exchange(const HttpCall &Call);

  /// Closes every idle connection: after an answer that belongs to no request,
  /// one of them may be out of step.
  void closeIdle();

  /// Returns how many connections were opened so far.
  std::uint64_t opened() const;

private:
  struct Connection;

  std::unique_ptr<Connection> take();
  std::unique_ptr<Connection> takeIdle();
  void giveBack(std::unique_ptr<Connection> Used);

  const HttpPoolSettings Settings;
  const Clock &Time;
  mutable std::mutex Lock;
  std::vector<std::unique_ptr<Connection>> Idle; ///< The last used at the end.
  std::uint64_t OpenedCount = 0;
};

/// Percent-encodes everything but unreserved characters.
std::string encodeQuery(std::string_view Text);

} // namespace pistachioflow
