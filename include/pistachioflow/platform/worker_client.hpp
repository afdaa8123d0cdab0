#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <asio/awaitable.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/sched/worker.hpp"

namespace pistachioflow {

/// A worker's answer to an order or a poll.
enum class OrderOutcome {
  Accepted,
  StaleEpoch,   ///< The worker has had an order of a newer owner.
  StaleRun,     ///< This run or a later one was stopped or ended there.
  LeaseExpired, ///< By the worker's clock, on arrival.
  InsufficientCapacity,
  BadTicket,
  Invalid,     ///< The worker could not decode the order.
  WrongWorker, ///< Another worker has this address now.
  Unhealthy,   ///< The worker declined and did nothing.
  Unreachable, ///< Not delivered.
  Unknown,     ///< No answer: may be carried out, even later.
};

/// Returns the name used in logs: LeaseExpired is written "late",
/// InsufficientCapacity "no_room" and WrongWorker "other_life".
std::string_view toString(OrderOutcome Outcome);

/// A worker's checkpoint becomes part of a record of the journal. A longer one
/// counts as none: the owner could not store it, nor what it writes with it.
inline constexpr std::size_t MaxCheckpointBytes = std::size_t{64} << 10U;

/// An order to start one run of a task.
struct StartOrder {
  std::string Task;
  std::int64_t Run = 0;
  std::string Payload;
  std::string Checkpoint;
  std::string Ticket;            ///< Sent unless empty.
  std::int64_t LeaseUntilMs = 0; ///< On the worker's clock.
  std::int64_t Epoch = 0;
};

/// Answer to an order. ClockMs is the worker's clock, or 0 if not given.
struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  std::int64_t ClockMs = 0;
};

/// Polls a worker: renews the leases of its runs, acknowledges ends and asks
/// for a report. The wire protocol calls it a hold.
struct PollRequest {
  std::int64_t Epoch = 0;
  std::int64_t AcknowledgedEnd = 0;         ///< This end and earlier ones.
  std::optional<std::int64_t> LeaseUntilMs; ///< Absent: no renewal.
  std::int64_t WaitMs = 0;                  ///< Longest wait for an end.
};

/// Answer to a poll. The report is set if the outcome is Accepted.
struct PollAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  WorkerReport Report;
};

/// Sends orders and polls to one worker. Thread safety: as HttpClient.
class WorkerClient {
public:
  /// \p Budget as for HttpClient.
  WorkerClient(asio::io_context &Io, std::string WorkerId,
               std::string_view Address,
               std::shared_ptr<MemoryBudget> Budget = nullptr);

  asio::awaitable<OrderAnswer> start(StartOrder Order, Duration Timeout);
  asio::awaitable<OrderAnswer> stop(std::string Task, std::int64_t Run,
                                    std::int64_t Epoch, Duration Timeout);
  /// Precondition: \p Timeout is longer than the request's WaitMs.
  asio::awaitable<PollAnswer> poll(PollRequest Request, Duration Timeout);

private:
  HttpRequest makeOrderRequest(std::string Target, std::string Body) const;

  std::string WorkerId;
  HttpClient Http;
};

/// Whether a key in WorkerTopic can be a worker's id: 1 to 128 visible ASCII
/// characters. The id becomes a header's value in each call to the worker.
bool isWorkerId(std::string_view Id);

/// Decodes a worker's entry in WorkerTopic. Errors: InvalidInput with a finding
/// for each field that is missing, has the wrong type or is out of its range,
/// for an unknown state and for an address that no worker can have.
Result<WorkerEntry> decodeWorkerEntry(std::string_view Text);

/// Decodes a worker's answer to a poll. Returns nothing if it is malformed.
std::optional<WorkerReport> decodeWorkerReport(std::string_view Text);

} // namespace pistachioflow
