#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/filter/dispatch.hpp"

namespace pistachioflow {

/// Sleeps for a span of time. Tests pass one that moves their clock.
using SleepFunction = std::function<void(Duration)>;

/// Where a request that waited may go, or why it may not.
struct DispatchTurn {
  RunnerId Runner; ///< Empty: refused because of Why.
  ReasonCode Why = ReasonCode::None;
};

/// Makes callers' threads wait for their turn by the rules of Dispatch.
///
/// Thread safety: every method may be called from any thread.
class Dispatcher {
public:
  using HealthListener = std::function<void(const RunnerHealthChange &)>;
  using LoadsProvider = std::function<std::vector<RunnerInFlight>()>;

  /// \p PeerLoads must not block. \p OnHealth is called without the lock. An
  /// empty \p Sleep waits for signals of other threads.
  Dispatcher(const DispatchSettings &Settings, std::uint64_t Seed,
             const Clock &Time, LoadsProvider PeerLoads,
             HealthListener OnHealth, SleepFunction Sleep);

  /// Blocks until a runner is granted or the request is refused, cancelled or
  /// late. A grant must be followed by finished(). \p Request.Ticket is set
  /// here; \p Again puts it ahead of its class.
  DispatchTurn wait(WaitingRequest Request, bool Again,
                    const std::atomic<bool> &Cancelled);

  void finished(const FinishedExchange &End);

  /// Takes over the platform's list and the number of live instances.
  void refresh(std::span<const RunnerInfo> Listed, std::uint32_t Instances);

  /// Wakes the waiting threads, so that they see a cancellation.
  void wakeAll();

  std::optional<ReasonCode> refuseEarly(RequestClass Class, Instant Deadline);
  Duration shortest(RequestClass Class);
  std::vector<RunnerInFlight> ownLoads();
  std::size_t waiting();

private:
  struct Waiter {
    std::condition_variable Signal;
    std::optional<DispatchTurn> Turn;
  };

  void apply(const DispatchResult &Result);
  void takePeerLoads(Instant Now);
  void report(const DispatchResult &Result);
  void pause(std::unique_lock<std::mutex> &Guard, Waiter &Own);

  const Clock &Time;
  const LoadsProvider PeerLoads;
  const HealthListener OnHealth;
  const SleepFunction Sleep;
  std::mutex Lock;
  Dispatch Core;
  std::unordered_map<std::uint64_t, Waiter *> Waiters;
  std::uint64_t LastTicket = 0;
  Instant PeersTakenAt;
};

} // namespace pistachioflow
