#pragma once

#include <chrono>

#include <exception>
#include <string_view>
#include <utility>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/log.hpp"

namespace pistachioflow {

/// Starts \p Routine independently of the caller. An exception that leaves it
/// is logged with \p Name and ends the process, since nothing else would do its
/// work. \p Name must have static lifetime.
inline void spawnCoroutine(asio::io_context &Io, std::string_view Name,
                           asio::awaitable<void> Routine) {
  asio::co_spawn(Io, std::move(Routine),
                 [Name](const std::exception_ptr &Failure) {
                   if (!Failure)
                     return;
                   try {
                     std::rethrow_exception(Failure);
                   } catch (const std::exception &Caught) {
                     logEvent(LogLevel::Error, "task_failed",
                              {{"task", Name}, {"reason", Caught.what()}});
                   }
                   std::terminate();
                 });
}

/// Suspends the calling coroutine for \p Span.
inline asio::awaitable<void> pauseFor(asio::io_context &Io, Duration Span) {
  asio::steady_timer Timer(Io, std::chrono::milliseconds(Span.Ms));
  asio::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

/// Wakes waiting coroutines, like a condition variable with a timeout.
///
/// Thread safety: none; use from the thread that runs the io_context.
class Signal {
public:
  explicit Signal(asio::io_context &Io) : Io(Io) {}

  /// Returns after the next notify(), or after \p Timeout.
  asio::awaitable<void> wait(Duration Timeout) {
    asio::steady_timer Timer(this->Io, std::chrono::milliseconds(Timeout.Ms));
    this->Waiting.push_back(&Timer);
    asio::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    std::erase(this->Waiting, &Timer);
  }

  /// Wakes all coroutines that are waiting now.
  void notify() {
    for (asio::steady_timer *Timer : this->Waiting)
      Timer->cancel();
  }

private:
  asio::io_context &Io;
  std::vector<asio::steady_timer *> Waiting;
};

} // namespace pistachioflow
