#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/controller/gang.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow {

/// Runs work on other threads, or at once, or when a test says so.
using Executor = std::function<void(std::function<void()>)>;

/// How one order ended.
struct OrderAnswer {
  WorkerId Worker;
  WorkerOrder Order;
  CallOutcome Outcome = CallOutcome::NotReceived;
  Instant Sent;
};

/// What a worker said that it runs; no report where it did not answer.
struct ReportAnswer {
  WorkerId Worker;
  std::optional<WorkerReport> Report;
};

/// The platform's list of workers, where it could be read.
struct ListAnswer {
  std::optional<std::vector<WorkerInfo>> Listed;
};

using WorkerAnswer = std::variant<OrderAnswer, ReportAnswer, ListAnswer>;

/// Sends calls to workers in the background: one at a time to each worker, in
/// the order of the requests, so that a report shows every earlier order.
///
/// Thread safety: every method may be called from any thread.
class WorkerCalls {
public:
  /// \p MaySend is asked right before each order; an order that it holds back
  /// ends as NotReceived.
  /// Preconditions: the arguments outlive the executor's work; destroy the
  /// object only after that has ended.
  WorkerCalls(WorkerGateway &Workers, const Clock &Time, Executor Run,
              std::function<bool(const WorkerOrder &)> MaySend);

  void order(const WorkerId &Worker, WorkerOrder Order);
  void ask(const WorkerId &Worker);
  void list();

  /// Returns and forgets the answers that have come in, oldest first.
  std::vector<WorkerAnswer> collect();

  /// Returns how many calls have not ended yet.
  std::size_t pending() const;

private:
  /// An order, or the question what the worker runs.
  using Call = std::optional<WorkerOrder>;

  void enqueue(const WorkerId &Worker, Call Next);
  void runNext(const WorkerId &Worker);
  WorkerAnswer perform(const WorkerId &Worker, const Call &Next);
  OrderAnswer performOrder(const WorkerId &Worker, const WorkerOrder &Order);
  void runList();

  WorkerGateway &Workers;
  const Clock &Time;
  const Executor Run;
  const std::function<bool(const WorkerOrder &)> MaySend;
  mutable std::mutex Lock;
  std::map<WorkerId, std::deque<Call>> Queues; ///< The front one is running.
  std::vector<WorkerAnswer> Answers;
  std::size_t PendingCalls = 0;
};

} // namespace pistachioflow
