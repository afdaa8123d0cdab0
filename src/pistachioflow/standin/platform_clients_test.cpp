#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/standin/server.hpp"

using namespace pistachioflow;
using standin::Fault;
using standin::FaultKind;
using standin::FaultPart;

namespace {

constexpr Duration Generous{20'000};
constexpr Duration Short{150};
constexpr Duration Longer{1'000};

standin::ServerSettings smallPlatform() {
  standin::ServerSettings Settings;
  Settings.Threads = 16;
  Settings.ServiceTime = {1};
  Settings.InstanceLag = {0};
  return Settings;
}

/// A stand-in with every client of it.
struct Bench {
  explicit Bench(const standin::ServerSettings &Settings = smallPlatform())
      : Platform(Settings, Time), Pool({{"127.0.0.1", start()}}, Time),
        Log(Pool, Generous), Instances(Pool, Generous), Workers(Pool, Generous),
        Runners(Pool, Generous, Metrics) {}

  std::uint16_t start() { return this->Platform.start().value(); }

  void fault(FaultPart Part, FaultKind Kind, Duration Delay = {}) {
    this->Platform.addFault({Part, Kind, "", 1, Delay});
  }

  SystemClock Time;
  MetricRegistry Metrics;
  standin::Server Platform;
  HttpPool Pool;
  HttpLogService Log;
  HttpInstanceList Instances;
  HttpWorkerGateway Workers;
  HttpRunnerGateway Runners;
};

const StreamName Stream{"cell/main"};
const RunnerId Runner{"runner-1"};
const WorkerId Worker{"worker-1-1-1"};

CallerRequest makeRequest(const std::string &Id) {
  CallerRequest Request;
  Request.Request = {Id};
  Request.Workspace = {"chess"};
  Request.Body = "round 1";
  return Request;
}

WorkerOrder makeOrder(OrderKind Kind, Epoch Fence = 1) {
  WorkerOrder Order;
  Order.Kind = Kind;
  Order.Cell = {"main"};
  Order.Fence = Fence;
  Order.Job = {"job-1"};
  Order.Try = 1;
  Order.Tasks = 1;
  Order.Shape.AcceleratorsPerTask = 8;
  Order.Lease = {60'000};
  return Order;
}

} // namespace

TEST_CASE("log entries come back byte for byte") {
  Bench Over;
  const std::string Bytes("\0\xff{\"binary\"}\r\n", 14);
  CHECK(Over.Log.append(Stream, Bytes).value() == 0);
  CHECK(Over.Log.append(Stream, "").value() == 1);
  const LogPage Page = Over.Log.read(Stream, 0, 10).value();
  REQUIRE(Page.Entries.size() == 2);
  CHECK(Page.Entries[0].Bytes == Bytes);
  CHECK(Page.Entries[1].At == 1);
  CHECK(Page.Next == 2);
  CHECK(Over.Log.read(Stream, 2, 10).value().Entries.empty());
}

TEST_CASE("reading expired entries names the first kept one") {
  standin::ServerSettings Settings = smallPlatform();
  Settings.Retention = 2;
  Bench Over(Settings);
  for (const char *Entry : {"a", "b", "c"})
    REQUIRE(Over.Log.append(Stream, Entry).has_value());
  const auto Page = Over.Log.read(Stream, 0, 10);
  REQUIRE(Page.has_error());
  CHECK(Page.error().Code == ErrorCode::Expired);
  CHECK(Page.error().FirstOffset == 1);
}

TEST_CASE("an append under a fault is reported as what it surely was") {
  const auto [Kind, Code, Kept] =
      GENERATE(table<FaultKind, ErrorCode, std::size_t>({
          {FaultKind::Down, ErrorCode::Unavailable, 0},
          {FaultKind::LostAnswer, ErrorCode::UnknownOutcome, 1},
          {FaultKind::Cut, ErrorCode::UnknownOutcome, 0},
      }));
  Bench Over;
  Over.fault(FaultPart::Log, Kind);
  const auto Appended = Over.Log.append(Stream, "x");
  REQUIRE(Appended.has_error());
  CHECK(Appended.error().Code == Code);
  CHECK(Over.Log.read(Stream, 0, 10).value().Entries.size() == Kept);
}

TEST_CASE("an append that outlasts its timeout is unknown") {
  Bench Over;
  HttpLogService Impatient(Over.Pool, Short);
  Over.fault(FaultPart::Log, FaultKind::Slow, Generous);
  const auto Appended = Impatient.append(Stream, "x");
  REQUIRE(Appended.has_error());
  CHECK(Appended.error().Code == ErrorCode::UnknownOutcome);
}

TEST_CASE("no port listening means not sent, everywhere") {
  Bench Over;
  Over.Platform.stop();
  CHECK(Over.Log.append(Stream, "x").error().Code == ErrorCode::Unavailable);
  CHECK(Over.Log.read(Stream, 0, 1).error().Code == ErrorCode::Unavailable);
  CHECK(Over.Instances.instances().error().Code == ErrorCode::Unavailable);
  CHECK(Over.Workers.workers().error().Code == ErrorCode::Unavailable);
  CHECK(Over.Workers.report(Worker).error().Code == ErrorCode::Unavailable);
  CHECK(Over.Workers.send(Worker, makeOrder(OrderKind::Hold)).error().Code ==
        ErrorCode::Unavailable);
  CHECK(Over.Runners.send(Runner, makeRequest("r-1"), Generous).State ==
        SendState::NotSent);
}

TEST_CASE("an exchange with a runner ends in the exact state") {
  const auto [Kind, State, Runs] =
      GENERATE(table<FaultKind, SendState, std::size_t>({
          {FaultKind::Slow, SendState::Lost, 1},
          {FaultKind::Half, SendState::Lost, 1},
          {FaultKind::Foreign, SendState::Lost, 1},
          {FaultKind::ResetBeforeByte, SendState::Lost, 1},
          {FaultKind::ResetAfterByte, SendState::Lost, 1},
          {FaultKind::Never, SendState::Lost, 1},
          {FaultKind::LostAnswer, SendState::Lost, 1},
          {FaultKind::Cut, SendState::Lost, 0},
          {FaultKind::Refuse, SendState::RefusedBusy, 0},
          {FaultKind::Leaving, SendState::RefusedBusy, 0},
      }));
  INFO(nameOf(Kind));
  Bench Over;
  Over.fault(FaultPart::Runners, Kind, Generous);
  const RunnerAnswer Answer =
      Over.Runners.send(Runner, makeRequest("r-1"), Longer);
  CHECK(Answer.State == State);
  CHECK(Over.Platform.runners().runs().size() == Runs);
  CHECK(Answer.Body ==
        (State == SendState::Answered ? "answer to round 1" : ""));
  Over.Platform.faults().clear();
  const RunnerAnswer Next =
      Over.Runners.send(Runner, makeRequest("r-2"), Generous);
  CHECK(Next.State == SendState::Answered);
  CHECK(Next.Request.Value == "r-2");
}

TEST_CASE("ids of the request path reach a runner as they are") {
  constexpr std::size_t LongestId = 200;
  const std::string Id =
      GENERATE_COPY(as<std::string>{}, "r-1#entry-1-0123456789abcdef-1",
                    std::string(LongestId, 'r'));
  Bench Over;
  const RunnerAnswer Answer =
      Over.Runners.send(Runner, makeRequest(Id), Generous);
  CHECK(Answer.State == SendState::Answered);
  CHECK(Answer.Request.Value == Id);
}

TEST_CASE("a second copy of an answer never becomes the next one's") {
  Bench Over;
  Over.fault(FaultPart::Runners, FaultKind::Twice);
  CHECK(Over.Runners.send(Runner, makeRequest("r-1"), Generous).State ==
        SendState::Answered);
  // The copy may arrive before the connection is reused or after.
  const RunnerAnswer Next =
      Over.Runners.send(Runner, makeRequest("r-2"), Generous);
  if (Next.State == SendState::Answered)
    CHECK(Next.Request.Value == "r-2");
  else
    CHECK((Next.State == SendState::Lost && Next.Body.empty()));
  const RunnerAnswer Third =
      Over.Runners.send(Runner, makeRequest("r-3"), Generous);
  CHECK(Third.State == SendState::Answered);
  CHECK(Third.Request.Value == "r-3");
}

TEST_CASE("a foreign answer is counted") {
  Bench Over;
  Over.fault(FaultPart::Runners, FaultKind::Foreign);
  Over.Runners.send(Runner, makeRequest("r-1"), Generous);
  CHECK(Over.Metrics.counter("runner_answers_foreign").value() == 1);
}

TEST_CASE("an order to a worker ends in the exact error") {
  const auto [Kind, Code] = GENERATE(table<FaultKind, ErrorCode>({
      {FaultKind::Down, ErrorCode::Unavailable},
      {FaultKind::LostAnswer, ErrorCode::UnknownOutcome},
      {FaultKind::Cut, ErrorCode::UnknownOutcome},
      {FaultKind::Die, ErrorCode::Unavailable},
      {FaultKind::Refuse, ErrorCode::Refused},
  }));
  INFO(nameOf(Kind));
  Bench Over;
  Over.fault(FaultPart::Workers, Kind);
  const auto Sent = Over.Workers.send(Worker, makeOrder(OrderKind::Hold));
  REQUIRE(Sent.has_error());
  CHECK(Sent.error().Code == Code);
}

TEST_CASE("a worker refuses an old epoch over HTTP") {
  Bench Over;
  REQUIRE(Over.Workers.send(Worker, makeOrder(OrderKind::Hold, 5)).has_value());
  const auto Old = Over.Workers.send(Worker, makeOrder(OrderKind::Start, 4));
  REQUIRE(Old.has_error());
  CHECK(Old.error().Code == ErrorCode::Fenced);
  const WorkerReport Report = Over.Workers.report(Worker).value();
  CHECK(Report.HighestFence == 5);
  REQUIRE(Report.Tasks.size() == 1);
  CHECK(Report.Tasks.front().Phase == TaskPhase::Held);
}

TEST_CASE("the lists of the platform are read whole") {
  Bench Over;
  CHECK(Over.Workers.workers().value().size() == 8);
  CHECK(Over.Runners.runners().value().size() == 4);
  CHECK(Over.Instances.instances().value().empty());
  const ListedInstance One{{"entry-1"}, {"domain-1"}, "127.0.0.1",
                           80,          81,           true};
  Over.Platform.instances().put({One}, Over.Time.monotonic());
  const auto Shown = Over.Instances.instances().value();
  REQUIRE(Shown.size() == 1);
  CHECK(Shown.front().Instance == One.Instance);
  CHECK(Shown.front().PeerPort == One.PeerPort);
  CHECK(Shown.front().Leaving);
}

TEST_CASE("exchanges share a connection until it has been idle too long") {
  Bench Over;
  ManualClock Still;
  const HttpPoolSettings Settings{
      {"127.0.0.1", Over.Platform.port()}, {500}, 8, {700}};
  HttpPool Pool(Settings, Still);
  HttpLogService Log(Pool, Generous);
  for (int Number = 0; Number < 20; ++Number)
    REQUIRE(Log.append(Stream, "x").has_value());
  CHECK(Pool.opened() == 1);
  Still.advance({701});
  REQUIRE(Log.append(Stream, "x").has_value());
  CHECK(Pool.opened() == 2);
}
