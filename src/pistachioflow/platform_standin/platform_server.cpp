#include "pistachioflow/platform_standin/platform_server.hpp"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "pistachioflow/codec/json_reader.hpp"
#include "pistachioflow/net/http_client.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

constexpr Duration AdvanceInterval{10};
constexpr Duration WorkerListInterval{500};
/// Delay that stands for a lost answer; longer than any timeout of a caller.
constexpr Duration NoAnswerDelay{60'000};
constexpr std::size_t PageSize = 500;

std::string queryValue(const std::string &Query, std::string_view Name) {
  const std::string Prefix = std::string(Name) + "=";
  std::size_t Begin = Query.find('?');
  while (Begin != std::string::npos) {
    ++Begin;
    const std::size_t End = std::min(Query.find('&', Begin), Query.size());
    if (Query.compare(Begin, Prefix.size(), Prefix) == 0) {
      std::string Value;
      for (std::size_t At = Begin + Prefix.size(); At < End; ++At) {
        if (Query[At] != '%' || At + 2 >= End + 0) {
          Value += Query[At];
          continue;
        }
        Value +=
            static_cast<char>(std::stoi(Query.substr(At + 1, 2), nullptr, 16));
        At += 2;
      }
      return Value;
    }
    Begin = Query.find('&', Begin);
  }
  return {};
}

std::int64_t queryNumber(const std::string &Query, std::string_view Name) {
  const std::string Value = queryValue(Query, Name);
  return Value.empty() ? 0 : std::stoll(Value);
}

std::string encodeBase64(std::string_view Bytes) {
  constexpr std::string_view Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Byte = 0; Byte < 3; ++Byte) {
      Group <<= 8U;
      if (At + Byte < Bytes.size())
        Group |= static_cast<unsigned char>(Bytes[At + Byte]);
    }
    const std::size_t Used = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Letter = 0; Letter < 4; ++Letter)
      Text += Letter <= Used ? Letters[(Group >> (18U - 6U * Letter)) & 0x3FU]
                             : '=';
  }
  return Text;
}

std::string bigEndian(std::int64_t Value) {
  std::string Bytes;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>(
        (static_cast<std::uint64_t>(Value) >> static_cast<unsigned>(Shift)) &
        0xFFU);
  return Bytes;
}

HttpResponse json(int Status, const Json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = dumpJson(Body);
  return Response;
}

std::string_view wireReason(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::StaleEpoch:
    return "fence";
  case OrderOutcome::StaleRun:
    return "old";
  case OrderOutcome::LeaseExpired:
    return "late";
  case OrderOutcome::InsufficientCapacity:
    return "room";
  default:
    return "";
  }
}

HttpResponse orderResponse(const OrderAnswer &Answer) {
  if (Answer.Outcome == OrderOutcome::Accepted)
    return json(200, {{"clock_ms", Answer.ClockMs}});
  return json(409, {{"clock_ms", Answer.ClockMs},
                    {"reason", std::string(wireReason(Answer.Outcome))}});
}

HttpResponse appendResponse(const AppendAnswer &Answer) {
  switch (Answer.Outcome) {
  case AppendOutcome::Appended:
    return json(200, {{"end_offset", Answer.EndOffset}});
  case AppendOutcome::OffsetMismatch:
    return json(412, {{"end_offset", Answer.EndOffset}});
  case AppendOutcome::Fenced:
    return json(409, {{"reason", "fenced"}});
  default:
    return json(409,
                {{"reason", "seq"}, {"sequence", Answer.ExpectedSequence}});
  }
}

std::string_view wireRunEnd(RunOutcome How) {
  constexpr std::array Words{"done",   "failed", "stopped",
                             "lapsed", "broken", "alone"};
  return Words.at(static_cast<std::size_t>(How));
}

HttpResponse pollResponse(const PollAnswer &Answer) {
  if (Answer.Outcome != OrderOutcome::Accepted)
    return orderResponse({Answer.Outcome, 0});
  Json Running = Json::array();
  for (const RunningTask &Task : Answer.Report.Running)
    Running.push_back(Json::array({Task.Task, Task.Run, Task.Checkpoint,
                                   Task.ProgressPercent, Task.CpuMilli}));
  Json Ended = Json::array();
  for (const EndedRun &End : Answer.Report.Ended)
    Ended.push_back(
        Json::array({End.Number, End.Task, End.Run,
                     std::string(wireRunEnd(End.Outcome)), End.Checkpoint}));
  return json(200, {{"clock_ms", Answer.Report.ClockMs},
                    {"born", Answer.Report.IncarnationStartMs},
                    {"running", Running},
                    {"ended_runs", Ended}});
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &Io, const Clock &Time,
                               SimulatorLimits Limits, std::uint64_t Seed)
    : Simulator(Limits), Io(Io), Time(Time),
      StoreServer(Io,
                  [this](HttpRequest Request) {
                    return this->serveStore(std::move(Request));
                  }),
      RecordsAppended(Io), Random(Seed) {}

bool PlatformServer::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         Probability;
}

bool PlatformServer::start(std::size_t WorkerCount, std::size_t WorkersPerRack,
                           Resources WorkerCapacity) {
  this->Capacity = WorkerCapacity;
  const asio::ip::tcp::endpoint AnyPort = parseEndpoint("127.0.0.1:0");
  if (!this->StoreServer.listen(AnyPort))
    return false;
  for (std::size_t Index = 0; Index < WorkerCount; ++Index) {
    const std::string Id = "w" + std::to_string(Index);
    WorkerEndpoint Endpoint;
    Endpoint.Id = Id;
    Endpoint.Rack = "r" + std::to_string(Index / WorkersPerRack);
    Endpoint.Server =
        std::make_unique<HttpServer>(this->Io, [this, Id](HttpRequest Request) {
          return this->serveWorker(Id, std::move(Request));
        });
    if (!Endpoint.Server->listen(AnyPort))
      return false;
    this->Simulator.addWorker(Id, WorkerCapacity);
    this->WorkerEndpoints.push_back(std::move(Endpoint));
  }
  this->publishWorkers();
  spawnCoroutine(this->Io, "platform_simulation", this->advanceLoop());
  return true;
}

void PlatformServer::publish(const std::string &DesiredStateJson) {
  this->Store.put(std::string(OperatorTopic),
                  {std::string(DesiredStateKey), DesiredStateJson});
  this->RecordsAppended.notify();
}

void PlatformServer::publishWorkers() {
  for (WorkerEndpoint &Endpoint : this->WorkerEndpoints) {
    const Json Entry = {
        {"service", "svc"},
        {"address", "127.0.0.1:" + std::to_string(Endpoint.Server->port())},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", this->Capacity.MilliCores},
          {"memory_request_mb", this->Capacity.MemoryMb},
          {"gpus", this->Capacity.Accelerators}}},
        {"labels", Json::array({"a", Endpoint.Rack})},
        {"clock_ms", this->Time.monotonic().Ms},
        {"born", this->Simulator.incarnationStartMs(Endpoint.Id)},
        {"sequence", ++Endpoint.Heartbeats}};
    this->Store.put(std::string(WorkerTopic), {Endpoint.Id, dumpJson(Entry)});
  }
  this->RecordsAppended.notify();
}

asio::awaitable<void> PlatformServer::advanceLoop() {
  Instant PublishedAt = this->Time.monotonic();
  while (true) {
    co_await pauseFor(this->Io, AdvanceInterval);
    const Instant Now = this->Time.monotonic();
    this->Simulator.advance(Now);
    if (Now - PublishedAt < WorkerListInterval)
      continue;
    PublishedAt = Now;
    this->publishWorkers();
  }
}

asio::awaitable<HttpResponse> PlatformServer::serveStore(HttpRequest Request) {
  if (this->StoreBehaviour.Unresponsive)
    co_await pauseFor(this->Io, NoAnswerDelay);
  if (this->StoreBehaviour.Delay.Ms > 0)
    co_await pauseFor(this->Io, this->StoreBehaviour.Delay);
  HttpResponse Response;
  Response.Status = 503;
  if (this->StoreBehaviour.Refusing)
    co_return Response;
  if (Request.Target.starts_with("/log-append")) {
    Response = this->serveAppend(Request.Target, Request.Body);
    if (this->chance(this->StoreBehaviour.LostAnswerShare))
      co_await pauseFor(this->Io, NoAnswerDelay);
    co_return Response;
  }
  if (Request.Target.starts_with("/log-read"))
    co_return co_await this->serveRead(std::move(Request.Target));
  if (Request.Target.starts_with("/log-newest"))
    co_return this->serveNewest(Request.Target);
  Response.Status = 404;
  co_return Response;
}

HttpResponse PlatformServer::serveAppend(const std::string &Query,
                                         const std::string &Body) {
  bool Malformed = false;
  const std::vector<JournalRecord> Records = decodeRecords(Body, Malformed);
  if (Malformed)
    return json(400, {{"error", "malformed records"}});
  const Producer Writer{queryValue(Query, "producer_id"),
                        queryNumber(Query, "epoch"),
                        queryNumber(Query, "sequence")};
  std::optional<std::int64_t> ExpectedEnd;
  if (!queryValue(Query, "at").empty())
    ExpectedEnd = queryNumber(Query, "at");
  const AppendAnswer Answer = this->Store.append(queryValue(Query, "topic"),
                                                 Records, Writer, ExpectedEnd);
  this->RecordsAppended.notify();
  return appendResponse(Answer);
}

asio::awaitable<HttpResponse> PlatformServer::serveRead(std::string Query) {
  const std::string Topic = queryValue(Query, "topic");
  const std::int64_t From = queryNumber(Query, "from");
  const Duration Wait{queryNumber(Query, "wait_ms")};
  const Instant StartedAt = this->Time.monotonic();
  while (From >= this->Store.endOffset(Topic)) {
    const Duration Remaining = Wait - (this->Time.monotonic() - StartedAt);
    if (Remaining.Ms <= 0)
      break;
    co_await this->RecordsAppended.wait(Remaining);
  }
  if (From < this->Store.firstOffset(Topic))
    co_return json(410, {{"first_offset", this->Store.firstOffset(Topic)}});
  HttpResponse Response;
  Response.Status = 200;
  Response.Body = bigEndian(this->Store.endOffset(Topic)) +
                  bigEndian(this->Store.firstOffset(Topic)) +
                  encodeRecords(this->Store.read(Topic, From));
  co_return Response;
}

HttpResponse PlatformServer::serveNewest(const std::string &Query) const {
  const std::string Topic = queryValue(Query, "topic");
  const auto Page =
      this->Store.newest(Topic, queryValue(Query, "after"), PageSize);
  Json Items = Json::array();
  for (const LogStore::StoredRecord &Entry : Page)
    Items.push_back({{"key", Entry.Record.Key},
                     {"value", encodeBase64(Entry.Record.Value)},
                     {"offset", Entry.Offset}});
  return json(200, {{"items", Items},
                    {"has_more", Page.size() == PageSize},
                    {"end_offset", this->Store.endOffset(Topic)}});
}

bool PlatformServer::isCutOff(const std::string &Id,
                              std::int64_t CallerEpoch) const {
  const std::optional<Partition> &Cut = this->WorkerBehaviour.Cut;
  return Cut && Cut->Workers.contains(Id) != (CallerEpoch == Cut->OwnerEpoch);
}

asio::awaitable<HttpResponse> PlatformServer::serveWorker(std::string Id,
                                                          HttpRequest Request) {
  const Json Body = Json::parse(Request.Body, nullptr, false);
  const std::int64_t CallerEpoch =
      Body.is_object() ? Body.value("fencing_token", std::int64_t{0}) : 0;
  if (this->isCutOff(Id, CallerEpoch))
    co_await pauseFor(this->Io, NoAnswerDelay);
  HttpResponse Response;
  Response.Status = 503;
  if (!this->isCutOff(Id, CallerEpoch))
    Response = co_await this->serveReachable(Id, std::move(Request));
  if (this->isCutOff(Id, CallerEpoch))
    co_await pauseFor(this->Io, NoAnswerDelay);
  co_return Response;
}

asio::awaitable<HttpResponse>
PlatformServer::serveReachable(std::string Id, HttpRequest Request) {
  if (Request.Target == "/run-start")
    co_return co_await this->serveStart(std::move(Id), std::move(Request.Body));
  if (Request.Target == "/hold")
    co_return co_await this->servePoll(std::move(Id), std::move(Request.Body));
  const Json Body = Json::parse(Request.Body, nullptr, false);
  HttpResponse Response;
  Response.Status = 404;
  if (Request.Target == "/run-stop" && Body.is_object())
    Response = orderResponse(this->Simulator.stop(
        Id, Body.value("task", ""), Body.value("run", std::int64_t{0}),
        Body.value("fencing_token", std::int64_t{0}), this->Time.monotonic()));
  co_return Response;
}

asio::awaitable<HttpResponse> PlatformServer::serveStart(std::string Id,
                                                         std::string Text) {
  const Json Body = Json::parse(Text, nullptr, false);
  StartOrder Order;
  Order.Task = Body.value("task", "");
  Order.Run = Body.value("run", std::int64_t{0});
  Order.Payload = Body.value("specification", "");
  Order.LeaseUntilMs = Body.value("deadline_ms", std::int64_t{0});
  Order.Epoch = Body.value("fencing_token", std::int64_t{0});
  const bool Delayed = this->chance(this->WorkerBehaviour.DelayedStartShare);
  const std::int64_t ReceivingIncarnation =
      this->Simulator.incarnationStartMs(Id);
  if (Delayed)
    co_await pauseFor(this->Io, this->WorkerBehaviour.StartDelay);
  // A worker that restarted in between has lost the order.
  if (this->Simulator.incarnationStartMs(Id) != ReceivingIncarnation)
    co_await pauseFor(this->Io, NoAnswerDelay);
  const OrderAnswer Answer =
      this->Simulator.start(Id, Order, this->Time.monotonic());
  if (Delayed)
    co_await pauseFor(this->Io, NoAnswerDelay);
  co_return orderResponse(Answer);
}

asio::awaitable<HttpResponse> PlatformServer::servePoll(std::string Id,
                                                        std::string Text) {
  const Json Body = Json::parse(Text, nullptr, false);
  PollRequest Order;
  Order.Epoch = Body.value("fencing_token", std::int64_t{0});
  Order.AcknowledgedEnd = Body.value("last_seen", std::int64_t{0});
  if (Body.contains("deadline_ms"))
    Order.LeaseUntilMs = Body["deadline_ms"].get<std::int64_t>();
  Order.WaitMs = Body.value("wait_ms", std::int64_t{0});
  const Instant StartedAt = this->Time.monotonic();
  PollAnswer Answer = this->Simulator.poll(Id, Order, StartedAt);
  const auto Waited = [&] { return this->Time.monotonic() - StartedAt; };
  while (Answer.Outcome == OrderOutcome::Accepted &&
         Answer.Report.Ended.empty() && Waited() < Duration{Order.WaitMs}) {
    co_await pauseFor(this->Io, AdvanceInterval);
    if (this->Simulator.hasUnacknowledgedEnds(Id))
      break;
  }
  // Reports the current state. The lease was renewed and the ends were
  // acknowledged on arrival.
  Order.LeaseUntilMs.reset();
  Order.AcknowledgedEnd = 0;
  Answer = this->Simulator.poll(Id, Order, this->Time.monotonic());
  co_return pollResponse(Answer);
}

} // namespace pistachioflow
