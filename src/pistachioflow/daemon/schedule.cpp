#include "pistachioflow/daemon/schedule.hpp"

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace pistachioflow {

namespace {

/// A task with the timer of its next run.
struct PeriodicTask {
  PeriodicTask(asio::io_context &Context, Duration Period,
               std::function<void()> Run)
      : Timer(Context), Period(Period), Run(std::move(Run)) {}

  asio::steady_timer Timer;
  const Duration Period;
  const std::function<void()> Run;
};

} // namespace

struct Schedule::Impl {
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;

  void runAndRearm(const std::shared_ptr<PeriodicTask> &Task) {
    if (this->Stopping)
      return;
    Task->Run();
    Task->Timer.expires_after(std::chrono::milliseconds(Task->Period.Ms));
    Task->Timer.async_wait([this, Task](const asio::error_code &Failure) {
      if (!Failure)
        this->runAndRearm(Task);
    });
  }
};

Schedule::Schedule(unsigned Threads) : Held(std::make_unique<Impl>()) {
  for (unsigned At = 0; At < Threads; ++At)
    this->Held->Threads.emplace_back([this] { this->Held->Context.run(); });
}

Schedule::~Schedule() { this->stop(); }

void Schedule::every(Duration Period, std::function<void()> Task) {
  auto Periodic = std::make_shared<PeriodicTask>(this->Held->Context, Period,
                                                 std::move(Task));
  asio::post(this->Held->Context,
             [this, Periodic] { this->Held->runAndRearm(Periodic); });
}

void Schedule::post(std::function<void()> Task) {
  asio::post(this->Held->Context, std::move(Task));
}

void Schedule::stop() {
  this->Held->Stopping = true;
  this->Held->Context.stop();
  for (std::thread &Running : this->Held->Threads) {
    if (Running.joinable())
      Running.join();
  }
}

} // namespace pistachioflow
