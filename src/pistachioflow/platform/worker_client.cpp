#include "pistachioflow/platform/worker_client.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

constexpr JsonBounds EntryBounds{std::size_t{1} << 16U, 8, false};
constexpr IntegerRange NonNegative{0, std::int64_t{1} << 53U};
/// Thousandths of a core, megabytes or accelerators of one worker. More is an
/// error of whoever wrote it, and sums over all workers would overflow.
constexpr IntegerRange CapacityRange{0, std::int64_t{1} << 40U};
constexpr IntegerRange PercentRange{0, 100};
/// Labels are the worker's kind and its rack; a few more do no harm.
constexpr std::size_t MaxLabels = 64;
constexpr std::size_t MaxWorkerIdBytes = 128;
/// Required columns of a row of running tasks; the fifth, the processor time in
/// use, is optional.
constexpr std::size_t RunningColumns = 4;
constexpr std::size_t EndedColumns = 5;
/// A worker reports this many ends at a time.
constexpr std::size_t MaxReportedEnds = 500;

RunOutcome decodeRunEnd(std::string_view Word) {
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

bool isCount(const Json &Value) {
  if (!Value.is_number_integer())
    return false;
  if (Value.is_number_unsigned())
    return Value.get<std::uint64_t>() <=
           static_cast<std::uint64_t>(NonNegative.Max);
  return Value.get<std::int64_t>() >= NonNegative.Min;
}

/// Rounds towards zero and limits to \p Range; a conversion of a larger number
/// would be undefined. Precondition: \p Value is a number.
std::int64_t readLimited(const Json &Value, IntegerRange Range) {
  const double Number =
      std::clamp(Value.get<double>(), static_cast<double>(Range.Min),
                 static_cast<double>(Range.Max));
  return static_cast<std::int64_t>(Number);
}

OrderOutcome decodeConflict(const Json &Body) {
  const auto Field = Body.find("reason");
  if (Field == Body.end() || !Field->is_string())
    return OrderOutcome::Invalid;
  const auto &Reason = Field->get_ref<const std::string &>();
  if (Reason == "fence")
    return OrderOutcome::StaleEpoch;
  if (Reason == "old")
    return OrderOutcome::StaleRun;
  if (Reason == "late")
    return OrderOutcome::LeaseExpired;
  if (Reason == "room")
    return OrderOutcome::InsufficientCapacity;
  if (Reason == "ticket")
    return OrderOutcome::BadTicket;
  return OrderOutcome::Invalid;
}

OrderOutcome decodeOutcome(const CallResult &Call, const Json &Body) {
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
    return Body.is_object() ? decodeConflict(Body) : OrderOutcome::Invalid;
  case 421:
    return OrderOutcome::WrongWorker;
  case 429:
  case 503:
    return OrderOutcome::Unhealthy;
  default:
    return OrderOutcome::Unknown;
  }
}

OrderAnswer decodeAnswer(const CallResult &Call) {
  const Json Body = Json::parse(Call.Response.Body, nullptr, false);
  OrderAnswer Answer{decodeOutcome(Call, Body)};
  if (Body.is_object())
    if (const auto Clock = Body.find("clock_ms");
        Clock != Body.end() && isCount(*Clock))
      Answer.ClockMs = Clock->get<std::int64_t>();
  return Answer;
}

/// Returns a checkpoint, or none where it is too long to be stored.
std::string decodeCheckpoint(const Json &Field) {
  const auto &Text = Field.get_ref<const std::string &>();
  return Text.size() <= MaxCheckpointBytes ? Text : std::string();
}

std::optional<RunningTask> decodeRunning(const Json &Row) {
  const bool WellFormed = Row.is_array() && Row.size() >= RunningColumns &&
                          Row[0].is_string() && isCount(Row[1]) &&
                          Row[2].is_string() && Row[3].is_number();
  if (!WellFormed)
    return std::nullopt;
  RunningTask Task{Row[0].get<std::string>(), Row[1].get<std::int64_t>(),
                   decodeCheckpoint(Row[2]), readLimited(Row[3], PercentRange)};
  if (Row.size() > RunningColumns && Row[4].is_number())
    Task.CpuMilli = readLimited(Row[4], {-1, NonNegative.Max});
  return Task;
}

std::optional<EndedRun> decodeEnded(const Json &Row) {
  const bool WellFormed = Row.is_array() && Row.size() >= EndedColumns &&
                          isCount(Row[0]) && Row[1].is_string() &&
                          isCount(Row[2]) && Row[3].is_string() &&
                          Row[4].is_string();
  if (!WellFormed)
    return std::nullopt;
  return EndedRun{Row[0].get<std::int64_t>(), Row[1].get<std::string>(),
                  Row[2].get<std::int64_t>(),
                  decodeRunEnd(Row[3].get<std::string>()),
                  decodeCheckpoint(Row[4])};
}

std::string readAddress(ObjectReader &Reader, Findings &Problems) {
  std::string Address = Reader.text("address", TextRule::Host);
  const asio::ip::tcp::endpoint Endpoint = parseEndpoint(Address);
  const bool Reachable = Endpoint.port() != 0 &&
                         !Endpoint.address().is_unspecified() &&
                         !Endpoint.address().is_multicast();
  if (!Reachable && Problems.empty())
    Problems.push_back(
        {"$.address", "an IPv4 address with a port", shortened(Address)});
  return Address;
}

bool readDraining(ObjectReader &Reader, Findings &Problems) {
  const std::string State = Reader.text("state", TextRule::Key);
  if (State != "ready" && State != "draining")
    Problems.push_back({"$.state", "ready or draining", shortened(State)});
  return State == "draining";
}

std::vector<std::string> readLabels(const Json &Document, Findings &Problems) {
  const auto Field =
      Document.is_object() ? Document.find("labels") : Document.end();
  const auto IsText = [](const Json &Label) { return Label.is_string(); };
  const bool WellFormed = Field != Document.end() && Field->is_array() &&
                          Field->size() <= MaxLabels &&
                          std::ranges::all_of(*Field, IsText);
  if (WellFormed)
    return Field->get<std::vector<std::string>>();
  Problems.push_back({"$.labels", "an array of texts", "something else"});
  return {};
}

/// Fields that nothing here uses. A wrong type shows that the entry is another
/// writer's.
void checkUnusedFields(ObjectReader &Reader) {
  constexpr auto Unlimited = static_cast<double>(NonNegative.Max);
  Reader.text("version", TextRule::Free, "");
  Reader.number("slots", 0, Unlimited, 0);
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

std::string pollBody(const PollRequest &Request) {
  Json Body = {{"fencing_token", Request.Epoch},
               {"last_seen", Request.AcknowledgedEnd}};
  if (Request.LeaseUntilMs)
    Body["deadline_ms"] = *Request.LeaseUntilMs;
  if (Request.WaitMs > 0)
    Body["wait_ms"] = Request.WaitMs;
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
  case OrderOutcome::LeaseExpired:
    return "late";
  case OrderOutcome::InsufficientCapacity:
    return "no_room";
  case OrderOutcome::BadTicket:
    return "bad_ticket";
  case OrderOutcome::Invalid:
    return "invalid";
  case OrderOutcome::WrongWorker:
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
                           std::string_view Address,
                           std::shared_ptr<MemoryBudget> Budget)
    : WorkerId(std::move(WorkerId)),
      Http(Io, parseEndpoint(Address), std::move(Budget)) {}

HttpRequest WorkerClient::makeOrderRequest(std::string Target,
                                           std::string Body) const {
  return {"POST",
          std::move(Target),
          {{"Content-Type", "application/json"},
           {"Expected-Instance", this->WorkerId}},
          std::move(Body)};
}

asio::awaitable<OrderAnswer> WorkerClient::start(StartOrder Order,
                                                 Duration Timeout) {
  HttpRequest Request = this->makeOrderRequest("/run-start", startBody(Order));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  co_return decodeAnswer(Call);
}

asio::awaitable<OrderAnswer> WorkerClient::stop(std::string Task,
                                                std::int64_t Run,
                                                std::int64_t Epoch,
                                                Duration Timeout) {
  HttpRequest Request =
      this->makeOrderRequest("/run-stop", stopBody(Task, Run, Epoch));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  co_return decodeAnswer(Call);
}

asio::awaitable<PollAnswer> WorkerClient::poll(PollRequest Request,
                                               Duration Timeout) {
  HttpRequest Message = this->makeOrderRequest("/hold", pollBody(Request));
  const CallResult Call = co_await this->Http.call(std::move(Message), Timeout);
  PollAnswer Answer;
  Answer.Outcome = decodeAnswer(Call).Outcome;
  if (Answer.Outcome != OrderOutcome::Accepted)
    co_return Answer;
  std::optional<WorkerReport> Report = decodeWorkerReport(Call.Response.Body);
  if (Report)
    Answer.Report = std::move(*Report);
  else
    Answer.Outcome = OrderOutcome::Invalid;
  co_return Answer;
}

bool isWorkerId(std::string_view Id) {
  constexpr char FirstVisible = '!';
  constexpr char LastVisible = '~';
  return !Id.empty() && Id.size() <= MaxWorkerIdBytes &&
         std::ranges::all_of(Id, [](char Character) {
           return Character >= FirstVisible && Character <= LastVisible;
         });
}

Result<WorkerEntry> decodeWorkerEntry(std::string_view Text) {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, EntryBounds, "worker"));
  Findings Problems;
  WorkerEntry Entry;
  ObjectReader Reader(Document, "$", Problems);
  Entry.Service = Reader.text("service", TextRule::Key);
  Entry.Address = readAddress(Reader, Problems);
  Entry.FailureDomain = Reader.text("zone", TextRule::Key);
  Entry.Draining = readDraining(Reader, Problems);
  Entry.RemainingMs = Reader.integer("remaining_ms", NonNegative, 0);
  ObjectReader Capacity = Reader.object("capacity");
  Entry.Capacity.MilliCores = Capacity.integer("cpu", CapacityRange);
  Entry.Capacity.MemoryMb =
      Capacity.integer("memory_request_mb", CapacityRange);
  Entry.Capacity.Accelerators = Capacity.integer("gpus", CapacityRange);
  Entry.ClockMs = Reader.integer("clock_ms", NonNegative);
  Reader.integer("sequence", NonNegative);
  Entry.IncarnationStartMs = Reader.integer("born", NonNegative, 0);
  Entry.Labels = readLabels(Document, Problems);
  constexpr auto Unlimited = static_cast<double>(NonNegative.Max);
  Entry.ColdRemainingMs =
      Reader.number("cold_remaining_ms", -Unlimited, Unlimited, 0);
  checkUnusedFields(Reader);
  if (!Problems.empty())
    return Error{ErrorCode::InvalidInput, "invalid entry", std::move(Problems)};
  return Entry;
}

std::optional<WorkerReport> decodeWorkerReport(std::string_view Text) {
  const Json Body = Json::parse(Text, nullptr, false);
  if (!Body.is_object() || !Body.contains("clock_ms") ||
      !isCount(Body["clock_ms"]))
    return std::nullopt;
  WorkerReport Report;
  Report.ClockMs = Body["clock_ms"].get<std::int64_t>();
  if (Body.contains("born") && !isCount(Body["born"]))
    return std::nullopt;
  if (Body.contains("born"))
    Report.IncarnationStartMs = Body["born"].get<std::int64_t>();
  if (!Body.contains("running") || !Body["running"].is_array() ||
      !Body.contains("ended_runs") || !Body["ended_runs"].is_array())
    return std::nullopt;
  for (const Json &Row : Body["running"]) {
    std::optional<RunningTask> Task = decodeRunning(Row);
    if (!Task)
      return std::nullopt;
    Report.Running.push_back(std::move(*Task));
  }
  for (const Json &Row : Body["ended_runs"]) {
    std::optional<EndedRun> End = decodeEnded(Row);
    if (!End)
      return std::nullopt;
    Report.Ended.push_back(std::move(*End));
  }
  Report.MoreEnds = Report.Ended.size() >= MaxReportedEnds;
  return Report;
}

} // namespace pistachioflow
