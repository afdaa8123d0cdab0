// The workers of the simulated platform: their entries and their answers.

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "pistachioflow/platform_standin/platform_server.hpp"
#include "platform_server_parts.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

/// Three heartbeats: how long the entry of a silent worker stays.
constexpr Duration EntryLifetime{WorkerListInterval.Ms * 3};

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
    return jsonResponse(200, {{"clock_ms", Answer.ClockMs}});
  return jsonResponse(409,
                      {{"clock_ms", Answer.ClockMs},
                       {"reason", std::string(wireReason(Answer.Outcome))}});
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
  return jsonResponse(200, {{"clock_ms", Answer.Report.ClockMs},
                            {"born", Answer.Report.IncarnationStartMs},
                            {"running", Running},
                            {"ended_runs", Ended}});
}

} // namespace

void PlatformServer::publishWorkers() {
  for (WorkerEndpoint &Endpoint : this->WorkerEndpoints) {
    if (this->Simulator.isUp(Endpoint.Id))
      this->publishWorker(Endpoint);
    else
      this->expireEntry(Endpoint);
  }
  this->RecordsAppended.notify();
}

std::string PlatformServer::workerEntry(const WorkerEndpoint &Endpoint) const {
  const Resources Capacity = this->Simulator.capacity(Endpoint.Id);
  const Json Entry = {
      {"service", "svc"},
      {"address", "127.0.0.1:" + std::to_string(Endpoint.Server->port())},
      {"zone", "z1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", Capacity.MilliCores},
        {"memory_request_mb", Capacity.MemoryMb},
        {"gpus", Capacity.Accelerators}}},
      {"labels", Json::array({"a", Endpoint.Rack})},
      {"clock_ms",
       this->Simulator.clockMs(Endpoint.Id, this->Time.monotonic())},
      {"born", this->Simulator.incarnationStartMs(Endpoint.Id)},
      {"sequence", Endpoint.Heartbeats}};
  return dumpJson(Entry);
}

void PlatformServer::publishWorker(WorkerEndpoint &Endpoint) {
  ++Endpoint.Heartbeats;
  std::string Entry = this->workerEntry(Endpoint);
  if (const auto Odd = this->OddEntries.find(Endpoint.Id);
      Odd != this->OddEntries.end())
    Entry = Odd->second(Entry);
  this->Store.put(std::string(WorkerTopic), {Endpoint.Id, std::move(Entry)});
  Endpoint.Listed = true;
}

void PlatformServer::putWorkerRecord(JournalRecord Record) {
  this->Store.put(std::string(WorkerTopic), std::move(Record));
  this->RecordsAppended.notify();
}

std::string PlatformServer::workerEntry(std::string_view Id) const {
  const auto Endpoint =
      std::ranges::find(this->WorkerEndpoints, Id, &WorkerEndpoint::Id);
  return this->workerEntry(*Endpoint);
}

std::int64_t PlatformServer::workerCalls(std::string_view Id) const {
  const auto Endpoint =
      std::ranges::find(this->WorkerEndpoints, Id, &WorkerEndpoint::Id);
  return Endpoint->Calls;
}

/// Removes the entry of a worker that is down once its heartbeats are overdue.
void PlatformServer::expireEntry(WorkerEndpoint &Endpoint) {
  const Duration Silent =
      this->Time.monotonic() - this->Simulator.downSince(Endpoint.Id);
  if (!Endpoint.Listed || Silent < EntryLifetime)
    return;
  this->Store.put(std::string(WorkerTopic), {Endpoint.Id, {}});
  Endpoint.Listed = false;
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
  if (this->isCutOff(Id, CallerEpoch) &&
      !this->WorkerBehaviour.Cut->AnswersPass)
    co_await pauseFor(this->Io, NoAnswerDelay);
  co_return Response;
}

asio::awaitable<HttpResponse>
PlatformServer::serveReachable(std::string Id, HttpRequest Request) {
  const std::int64_t Receiving = this->Simulator.incarnationStartMs(Id);
  HttpResponse Response;
  if (this->Simulator.isUp(Id))
    Response = co_await this->serveOrder(Id, std::move(Request));
  else
    co_await pauseFor(this->Io, NoAnswerDelay);
  // What received the request has crashed, so that nobody answers.
  if (this->Simulator.incarnationStartMs(Id) != Receiving)
    co_await pauseFor(this->Io, NoAnswerDelay);
  co_return Response;
}

asio::awaitable<HttpResponse> PlatformServer::serveOrder(std::string Id,
                                                         HttpRequest Request) {
  if (Request.Target == "/run-start")
    co_return co_await this->serveStart(std::move(Id), std::move(Request.Body));
  if (Request.Target == "/hold")
    co_return co_await this->servePoll(std::move(Id), std::move(Request.Body));
  const Json Body = Json::parse(Request.Body, nullptr, false);
  HttpResponse Response;
  Response.Status = 404;
  const bool IsStop = Request.Target == "/run-stop" && Body.is_object();
  if (IsStop && this->WorkerBehaviour.RefusedStops > 0) {
    --this->WorkerBehaviour.RefusedStops;
    co_return HttpResponse{503, {}, {}};
  }
  if (IsStop)
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
    co_return HttpResponse{};
  const OrderAnswer Answer =
      this->Simulator.start(Id, Order, this->Time.monotonic());
  if (this->WorkerBehaviour.Started && Answer.Outcome == OrderOutcome::Accepted)
    this->WorkerBehaviour.Started(Id);
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
  const std::int64_t ReceivingIncarnation =
      this->Simulator.incarnationStartMs(Id);
  const auto Waited = [&] { return this->Time.monotonic() - StartedAt; };
  while (Answer.Outcome == OrderOutcome::Accepted &&
         Answer.Report.Ended.empty() && Waited() < Duration{Order.WaitMs}) {
    co_await pauseFor(this->Io, AdvanceInterval);
    if (this->Simulator.incarnationStartMs(Id) != ReceivingIncarnation)
      co_return HttpResponse{};
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
