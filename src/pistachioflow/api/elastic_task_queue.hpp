#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace pistachioflow {

/// Starts a thread for each connection that finds none idle, up to a bound.
///
/// Each open connection holds a thread, so a fixed small pool would let idle
/// clients shut others out, and a fixed large one would cost memory at rest.
/// Thread safety: every method may be called from any thread.
class ElasticTaskQueue final : public httplib::TaskQueue {
public:
  explicit ElasticTaskQueue(std::size_t MaxThreads) : MaxThreads(MaxThreads) {}

  /// Runs \p Task on an idle thread, a new one, or the next to become idle.
  void enqueue(std::function<void()> Task) override;

  /// Finishes every queued task and joins the threads.
  void shutdown() override;

private:
  void work();
  void startThread();
  void joinEnded();

  const std::size_t MaxThreads;
  std::mutex Lock;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Tasks;
  std::list<std::thread> Threads;
  std::list<std::thread::id> Ended;
  std::size_t Idle = 0;
  bool Stopping = false;
};

} // namespace pistachioflow
