#include "pistachioflow/platform/worker_client.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

constexpr JsonBounds EntryBounds{std::size_t{1} << 16U, 8, false};
constexpr IntegerRange Any{0, std::int64_t{1} << 53U};
/// Columns of a row of running tasks; a fifth may follow.
constexpr std::size_t RunningColumns = 4;
constexpr std::size_t EndedColumns = 5;

RunOutcome runEndOf(std::string_view Word) {
  if (Word == "done")
    return RunOutcome::Done;
  if (Word == "failed")
    return RunOutcome::Failed;
  if (Word == "stopped")
    return RunOutcome::Stopped;
  if (Word == "lapsed")
    return RunOutcome::LeaseExpired;
  if (Word == "broken")
    return RunOutcome::GangBroken;
  if (Word == "alone")
    return RunOutcome::GangIncomplete;
  return RunOutcome::Unknown;
}

OrderOutcome conflictOf(const Json &Body) {
  const std::string Reason = Body.value("reason", "");
  if (Reason == "fence")
    return OrderOutcome::StaleEpoch;
  if (Reason == "old")
    return OrderOutcome::StaleRun;
  if (Reason == "late")
    return OrderOutcome::Late;
  if (Reason == "room")
    return OrderOutcome::NoRoom;
  if (Reason == "ticket")
    return OrderOutcome::BadTicket;
  return OrderOutcome::Invalid;
}

OrderOutcome outcomeOf(const CallResult &Call, const Json &Body) {
  if (Call.Outcome == CallOutcome::NotSent)
    return OrderOutcome::Unreachable;
  if (Call.Outcome == CallOutcome::NoAnswer)
    return OrderOutcome::Unknown;
  switch (Call.Response.Status) {
  case 200:
    return OrderOutcome::Accepted;
  case 400:
    return OrderOutcome::Invalid;
  case 409:
    return Body.is_object() ? conflictOf(Body) : OrderOutcome::Invalid;
  case 421:
    return OrderOutcome::OtherLife;
  case 429:
  case 503:
    return OrderOutcome::Unhealthy;
  default:
    return OrderOutcome::Unknown;
  }
}

OrderAnswer answerOf(const CallResult &Call) {
  const Json Body = Json::parse(Call.Response.Body, nullptr, false);
  OrderAnswer Answer{outcomeOf(Call, Body)};
  if (Body.is_object())
    if (const auto Clock = Body.find("clock_ms");
        Clock != Body.end() && Clock->is_number_integer())
      Answer.ClockMs = Clock->get<std::int64_t>();
  return Answer;
}

std::optional<RunningTask> readRunning(const Json &Row) {
  const bool Shaped = Row.is_array() && Row.size() >= RunningColumns &&
                      Row[0].is_string() && Row[1].is_number_integer() &&
                      Row[2].is_string() && Row[3].is_number();
  if (!Shaped)
    return std::nullopt;
  RunningTask Task{Row[0].get<std::string>(), Row[1].get<std::int64_t>(),
                   Row[2].get<std::string>(), Row[3].get<std::int64_t>()};
  if (Row.size() > RunningColumns && Row[4].is_number())
    Task.CpuMilli = Row[4].get<std::int64_t>();
  return Task;
}

std::optional<EndedRun> readEnded(const Json &Row) {
  const bool Shaped = Row.is_array() && Row.size() >= EndedColumns &&
                      Row[0].is_number_integer() && Row[1].is_string() &&
                      Row[2].is_number_integer() && Row[3].is_string() &&
                      Row[4].is_string();
  if (!Shaped)
    return std::nullopt;
  return EndedRun{Row[0].get<std::int64_t>(), Row[1].get<std::string>(),
                  Row[2].get<std::int64_t>(),
                  runEndOf(Row[3].get<std::string>()),
                  Row[4].get<std::string>()};
}

std::string startBody(const StartOrder &Order) {
  Json Body = {{"task", Order.Task},
               {"run", Order.Run},
               {"specification", Order.Payload},
               {"deadline_ms", Order.LeaseUntilMs},
               {"fencing_token", Order.Epoch}};
  if (!Order.Checkpoint.empty())
    Body["checkpoint"] = Order.Checkpoint;
  if (!Order.Ticket.empty())
    Body["ticket"] = Order.Ticket;
  return dumpJson(Body);
}

std::string stopBody(const std::string &Task, std::int64_t Run,
                     std::int64_t Epoch) {
  return dumpJson({{"task", Task}, {"run", Run}, {"fencing_token", Epoch}});
}

std::string holdBody(const HoldOrder &Order) {
  Json Body = {{"fencing_token", Order.Epoch},
               {"last_seen", Order.AcknowledgedEnd}};
  if (Order.LeaseUntilMs)
    Body["deadline_ms"] = *Order.LeaseUntilMs;
  if (Order.WaitMs > 0)
    Body["wait_ms"] = Order.WaitMs;
  return dumpJson(Body);
}

} // namespace

std::string_view toString(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "accepted";
  case OrderOutcome::StaleEpoch:
    return "stale_epoch";
  case OrderOutcome::StaleRun:
    return "stale_run";
  case OrderOutcome::Late:
    return "late";
  case OrderOutcome::NoRoom:
    return "no_room";
  case OrderOutcome::BadTicket:
    return "bad_ticket";
  case OrderOutcome::Invalid:
    return "invalid";
  case OrderOutcome::OtherLife:
    return "other_life";
  case OrderOutcome::Unhealthy:
    return "unhealthy";
  case OrderOutcome::Unreachable:
    return "unreachable";
  case OrderOutcome::Unknown:
    return "unknown";
  }
  return "invalid";
}

WorkerClient::WorkerClient(asio::io_context &Io, std::string WorkerId,
                           std::string_view Address)
    : WorkerId(std::move(WorkerId)), Http(Io, parseEndpoint(Address)) {}

HttpRequest WorkerClient::order(std::string Target, std::string Body) const {
  return {"POST",
          std::move(Target),
          {{"Content-Type", "application/json"},
           {"Expected-Instance", this->WorkerId}},
          std::move(Body)};
}

asio::awaitable<OrderAnswer> WorkerClient::start(StartOrder Order,
                                                 Duration Timeout) {
  HttpRequest Request = this->order("/run-start", startBody(Order));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  co_return answerOf(Call);
}

asio::awaitable<OrderAnswer> WorkerClient::stop(std::string Task,
                                                std::int64_t Run,
                                                std::int64_t Epoch,
                                                Duration Timeout) {
  HttpRequest Request = this->order("/run-stop", stopBody(Task, Run, Epoch));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  co_return answerOf(Call);
}

asio::awaitable<HoldAnswer> WorkerClient::hold(HoldOrder Order,
                                               Duration Timeout) {
  HttpRequest Request = this->order("/hold", holdBody(Order));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  HoldAnswer Answer;
  Answer.Outcome = answerOf(Call).Outcome;
  if (Answer.Outcome != OrderOutcome::Accepted)
    co_return Answer;
  std::optional<WorkerReport> Report = decodeWorkerReport(Call.Response.Body);
  if (Report)
    Answer.Report = std::move(*Report);
  else
    Answer.Outcome = OrderOutcome::Invalid;
  co_return Answer;
}

std::optional<WorkerEntry> decodeWorkerEntry(std::string_view Text) {
  const Result<Json> Document = parseJson(Text, EntryBounds, "worker");
  if (!Document || !Document.value().is_object())
    return std::nullopt;
  Findings Found;
  WorkerEntry Entry;
  ObjectReader In(Document.value(), "$", Found);
  Entry.Service = In.text("service", TextRule::Key);
  Entry.Address = In.text("address", TextRule::Host);
  Entry.FailureDomain = In.text("zone", TextRule::Key);
  const std::string State = In.text("state", TextRule::Key);
  Entry.Draining = State == "draining";
  Entry.RemainingMs = In.integer("remaining_ms", Any, 0);
  ObjectReader Capacity = In.object("capacity");
  Entry.Capacity.MilliCores = Capacity.integer("cpu", Any);
  Entry.Capacity.MemoryMb = Capacity.integer("memory_request_mb", Any);
  Entry.Capacity.Accelerators = Capacity.integer("gpus", Any);
  Entry.ClockMs = In.integer("clock_ms", Any);
  In.integer("sequence", Any);
  Entry.IncarnationStartMs = In.integer("born", Any, 0);
  const auto Labels = Document.value().find("labels");
  if (Labels == Document.value().end() || !Labels->is_array())
    return std::nullopt;
  for (const Json &Label : *Labels)
    if (Label.is_string())
      Entry.Labels.push_back(Label.get<std::string>());
  const bool KnownState = State == "ready" || State == "draining";
  if (!Found.empty() || !KnownState)
    return std::nullopt;
  return Entry;
}

std::optional<WorkerReport> decodeWorkerReport(std::string_view Text) {
  const Json Body = Json::parse(Text, nullptr, false);
  if (!Body.is_object() || !Body.contains("clock_ms") ||
      !Body["clock_ms"].is_number_integer())
    return std::nullopt;
  WorkerReport Report;
  Report.ClockMs = Body["clock_ms"].get<std::int64_t>();
  if (Body.contains("born") && Body["born"].is_number_integer())
    Report.IncarnationStartMs = Body["born"].get<std::int64_t>();
  if (!Body.contains("running") || !Body["running"].is_array() ||
      !Body.contains("ended_runs") || !Body["ended_runs"].is_array())
    return std::nullopt;
  for (const Json &Row : Body["running"]) {
    std::optional<RunningTask> Task = readRunning(Row);
    if (!Task)
      return std::nullopt;
    Report.Running.push_back(std::move(*Task));
  }
  for (const Json &Row : Body["ended_runs"]) {
    std::optional<EndedRun> End = readEnded(Row);
    if (!End)
      return std::nullopt;
    Report.Ended.push_back(std::move(*End));
  }
  return Report;
}

} // namespace pistachioflow
