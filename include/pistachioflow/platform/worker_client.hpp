#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <asio/awaitable.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/sched/worker.hpp"

namespace pistachioflow {

/// How a worker answered an order.
enum class OrderOutcome {
  Accepted,
  StaleEpoch,   ///< The worker has seen a newer owner.
  StaleRun,     ///< A run that is not older was stopped or has ended there.
  LeaseExpired, ///< The lease of the order was over on the worker's clock.
  InsufficientCapacity,
  BadTicket,
  Invalid,     ///< The worker could not read the order.
  WrongWorker, ///< The worker is not the one that was meant.
  Unhealthy,   ///< The worker declined and has done nothing.
  Unreachable, ///< Surely not delivered.
  Unknown,     ///< No answer: may be carried out, also later.
};

/// Returns the name used in logs.
std::string_view toString(OrderOutcome Outcome);

/// An order to start one run.
struct StartOrder {
  std::string Task;
  std::int64_t Run = 0;
  std::string Payload;
  std::string Checkpoint;
  std::string Ticket;
  std::int64_t LeaseUntilMs = 0; ///< On the worker's clock.
  std::int64_t Epoch = 0;
};

/// Answer to an order, with the worker's clock where it said so.
struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  std::int64_t ClockMs = 0;
};

/// A look at a worker, which renews leases and acknowledges ends.
struct PollRequest {
  std::int64_t Epoch = 0;
  std::int64_t AcknowledgedEnd = 0;
  std::optional<std::int64_t> LeaseUntilMs; ///< Absent: only look.
  std::int64_t WaitMs = 0;                  ///< Wait for an end this long.
};

/// Answer to a hold. The report is set when the order was accepted.
struct PollAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  WorkerReport Report;
};

/// Gives orders to one worker. Thread safety: as HttpClient.
class WorkerClient {
public:
  WorkerClient(asio::io_context &Io, std::string WorkerId,
               std::string_view Address);

  asio::awaitable<OrderAnswer> start(StartOrder Order, Duration Timeout);
  asio::awaitable<OrderAnswer> stop(std::string Task, std::int64_t Run,
                                    std::int64_t Epoch, Duration Timeout);
  /// Precondition: \p Timeout is longer than the order's WaitMs.
  asio::awaitable<PollAnswer> poll(PollRequest Order, Duration Timeout);

private:
  HttpRequest makeOrderRequest(std::string Target, std::string Body) const;

  std::string WorkerId;
  HttpClient Http;
};

/// Decodes a worker's entry in the list. Returns nothing when a field is
/// missing, of another type or holds an unknown word.
std::optional<WorkerEntry> decodeWorkerEntry(std::string_view Text);

/// Decodes a worker's answer to a hold, or nothing when it is malformed.
std::optional<WorkerReport> decodeWorkerReport(std::string_view Text);

} // namespace pistachioflow
