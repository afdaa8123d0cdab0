#pragma once

#include <chrono>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Suspends the calling coroutine for \p Span.
inline asio::awaitable<void> pauseFor(asio::io_context &Io, Duration Span) {
  asio::steady_timer Timer(Io, std::chrono::milliseconds(Span.Ms));
  asio::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

/// Lets coroutines wait until somebody else calls notify().
///
/// Thread safety: none; use from the thread that runs the io_context.
class Signal {
public:
  explicit Signal(asio::io_context &Io) : Timer(Io) {}

  /// Returns after the next notify(), or after \p Longest.
  asio::awaitable<void> wait(Duration Longest) {
    this->Timer.expires_after(std::chrono::milliseconds(Longest.Ms));
    asio::error_code Ignored;
    co_await this->Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }

  /// Wakes every coroutine that waits now.
  void notify() { this->Timer.cancel(); }

private:
  asio::steady_timer Timer;
};

} // namespace pistachioflow
