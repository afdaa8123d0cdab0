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

/// Runs \p Task on its own. A task that fails ends the process, since nothing
/// else would do its work; the log names it.
inline void spawnCoroutine(asio::io_context &Io, std::string_view Name,
                           asio::awaitable<void> Task) {
  asio::co_spawn(Io, std::move(Task),
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

/// Lets coroutines wait until somebody else calls notify().
///
/// Thread safety: none; use from the thread that runs the io_context.
class Signal {
public:
  explicit Signal(asio::io_context &Io) : Io(Io) {}

  /// Returns after the next notify(), or after \p Longest.
  asio::awaitable<void> wait(Duration Longest) {
    asio::steady_timer Timer(this->Io, std::chrono::milliseconds(Longest.Ms));
    this->Waiting.push_back(&Timer);
    asio::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    std::erase(this->Waiting, &Timer);
  }

  /// Wakes every coroutine that waits now.
  void notify() {
    for (asio::steady_timer *Timer : this->Waiting)
      Timer->cancel();
  }

private:
  asio::io_context &Io;
  std::vector<asio::steady_timer *> Waiting;
};

} // namespace pistachioflow
