#pragma once

#include <functional>
#include <memory>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Runs periodic tasks and single ones on a fixed number of threads.
///
/// Thread safety: every method may be called from any thread.
class Schedule {
public:
  /// Precondition: \p Threads is at least 1.
  explicit Schedule(unsigned Threads);
  ~Schedule(); ///< Stops it.
  Schedule(const Schedule &) = delete;
  Schedule &operator=(const Schedule &) = delete;

  /// Runs \p Task now and again each \p Period after its last run has ended, so
  /// that two runs of one task never overlap.
  void every(Duration Period, std::function<void()> Task);

  /// Runs \p Task once, as soon as a thread is free.
  void post(std::function<void()> Task);

  /// Starts no further task, waits for those that run, and joins the threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Held;
};

} // namespace pistachioflow
