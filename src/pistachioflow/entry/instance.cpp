#include "pistachioflow/entry/instance.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/caller_api.hpp"
#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/metrics.hpp"
#include "pistachioflow/entry/ownership.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform/desired_state_codec.hpp"

namespace pistachioflow {

namespace {

/// Followers read the journal this often, and whenever a caller asks about a
/// job that has not ended. An owner's silence is noticed this much later.
constexpr Duration FollowerPace{300};
/// The journal must have been heard of within this to be called up to date: a
/// read's longest wait and a slow answer.
constexpr Duration FreshLimit{2'000};
/// The balancer checks readiness every second and takes an instance out after
/// two misses.
constexpr Duration LeaveRotation{2'500};
constexpr Duration ShutdownPoll{20};
/// Requests in progress get this part of the grace period, in percent.
constexpr std::int64_t GracePercent = 80;
constexpr std::int64_t WholePercent = 100;

} // namespace

struct Instance::Parts {
  Parts(asio::io_context &Io, const Clock &Time, InstanceSettings Given,
        std::string Path);

  asio::awaitable<HttpResponse> ready();
  asio::awaitable<HttpResponse> metrics(HttpRequest Request) const;
  asio::awaitable<void> leave();
  void applyDesired(const JournalRecord &Record);
  void applyJournal(const JournalRecord &Record);
  bool journalReadable() const;

  asio::io_context &Io;
  const Clock &Time;
  InstanceSettings Settings;
  std::string SettingsPath;
  std::string Name; ///< Differs from one process of the instance to the next.
  DesiredState Desired;
  JobBoard Board;
  StoreClient Store;
  TopicFollower Operators;
  TopicFollower Journal;
  std::shared_ptr<JournalWriter> Writer;
  Dispatcher Orders;
  Ownership Owning;
  CallerApi Callers;
  HttpServer CallerServer;
  HttpServer ReadyServer;
  HttpServer MetricsServer;
  bool Leaving = false;
};

Instance::Parts::Parts(asio::io_context &Io, const Clock &Time,
                       InstanceSettings Given, std::string Path)
    : Io(Io), Time(Time), Settings(std::move(Given)),
      SettingsPath(std::move(Path)),
      Name(this->Settings.Instance + "/" + std::to_string(Time.wall().Ms)),
      Store(Io, this->Settings.StoreAddress),
      Operators(
          Io, Store, Time, std::string(OperatorTopic),
          {[] {},
           [this](const JournalRecord &Record) { this->applyDesired(Record); },
           [] {}},
          {0}),
      Journal(
          Io, Store, Time, std::string(JournalTopic),
          {[this] {
             this->Board.clear();
             this->Orders.journalReset();
           },
           [this](const JournalRecord &Record) { this->applyJournal(Record); },
           [this] { this->Orders.journalCaughtUp(); }},
          FollowerPace),
      Writer(std::make_shared<JournalWriter>(
          Io, Store, Time, this->Name, 1, 0,
          static_cast<std::size_t>(this->Settings.StoreCallBytes))),
      Orders(Io, Store, Time, this->Settings, this->Desired,
             [this](std::string_view Reason) { this->Owning.lose(Reason); }),
      Owning(Io, Store, Time, this->Name, this->Settings.MilliCores,
             static_cast<std::size_t>(this->Settings.StoreCallBytes),
             {[this](std::int64_t Epoch) {
                this->Orders.begin(Epoch, this->Owning.writer());
                this->Journal.setPace({0});
                this->Journal.reload();
              },
              [this](std::string_view) {
                this->Orders.end();
                this->Journal.setPace(FollowerPace);
              },
              [this] { return this->Journal.position(); },
              [this] { return this->journalReadable(); }}),
      Callers(Time, this->Desired, this->Board, this->Journal, *this->Writer),
      CallerServer(Io,
                   [this](HttpRequest Request) {
                     return this->Callers.handle(std::move(Request));
                   }),
      ReadyServer(Io, [this](const HttpRequest &) { return this->ready(); }),
      MetricsServer(Io, [this](HttpRequest Request) {
        return this->metrics(std::move(Request));
      }) {}

bool Instance::Parts::journalReadable() const {
  return this->Journal.caughtUp() &&
         this->Time.monotonic() - this->Journal.lastContact() < FreshLimit;
}

asio::awaitable<HttpResponse> Instance::Parts::ready() {
  const bool Ready =
      !this->Leaving && this->Desired.Version > 0 && this->journalReadable();
  co_return HttpResponse{Ready ? 200 : 503, {}, {}};
}

asio::awaitable<HttpResponse>
Instance::Parts::metrics(HttpRequest Request) const {
  HttpResponse Response;
  Response.Status = Request.Target == "/metrics" ? 200 : 404;
  if (Response.Status == 200) {
    entryMetrics().LogLinesDropped.set(
        static_cast<std::int64_t>(droppedLogLines()));
    Response.Body = entryMetrics().Registry.print();
  }
  co_return Response;
}

void Instance::Parts::applyDesired(const JournalRecord &Record) {
  if (Record.Key != DesiredStateKey || Record.Value.empty())
    return;
  Result<DesiredState> Read = decodeDesiredState(Record.Value);
  if (!Read) {
    logEvent(LogLevel::Error, "desired_state_invalid",
             {{"findings", formatFindings(Read.error().Details)},
              {"message", Read.error().Message}});
    return;
  }
  if (Read.value().Version <= this->Desired.Version)
    return;
  this->Desired = std::move(Read.value());
  HttpServerLimits Limits;
  Limits.HeaderBytes = static_cast<std::size_t>(this->Desired.MaxHeaderBytes);
  Limits.BodyBytes = static_cast<std::size_t>(this->Desired.MaxBodyBytes);
  Limits.RequestTimeout = {this->Desired.HeaderTimeoutMs};
  Limits.IdleTimeout = {this->Desired.IdleTimeoutMs};
  this->CallerServer.setLimits(Limits);
  entryMetrics().DesiredVersion.set(this->Desired.Version);
  logEvent(LogLevel::Info, "desired_state",
           {{"version", this->Desired.Version},
            {"queues", static_cast<std::int64_t>(this->Desired.Queues.size())},
            {"keys",
             static_cast<std::int64_t>(this->Desired.WorkspaceByKey.size())}});
  this->Orders.requestTurn();
}

void Instance::Parts::applyJournal(const JournalRecord &Record) {
  if (!this->Board.apply(Record))
    logEvent(LogLevel::Warning, "journal_record_invalid",
             {{"key", Record.Key}});
  this->Orders.apply(Record);
  if (Record.Key != ownershipKey())
    return;
  if (const auto Read = decodeRecord<OwnershipRecord>(Record.Value))
    this->Owning.apply(*Read);
}

asio::awaitable<void> Instance::Parts::leave() {
  const Instant Begun = this->Time.monotonic();
  const Duration Longest{this->Settings.ShutdownGrace.Ms * GracePercent /
                         WholePercent};
  co_await this->Owning.leave();
  this->CallerServer.startClosing();
  while (true) {
    const Duration Passed = this->Time.monotonic() - Begun;
    const bool Rotated = Passed >= LeaveRotation;
    const std::size_t InProgress = this->CallerServer.inProgress();
    if (Rotated)
      this->CallerServer.closeIdle();
    if (Passed >= Longest || (Rotated && InProgress == 0))
      break;
    co_await pauseFor(this->Io, ShutdownPoll);
  }
  logEvent(LogLevel::Info, "stopped",
           {{"in_progress",
             static_cast<std::int64_t>(this->CallerServer.inProgress())},
            {"ms", (this->Time.monotonic() - Begun).Ms}});
  this->Io.stop();
}

Instance::Instance(asio::io_context &Io, const Clock &Time,
                   InstanceSettings Settings, std::string SettingsPath)
    : Held(std::make_unique<Parts>(Io, Time, std::move(Settings),
                                   std::move(SettingsPath))) {}

Instance::~Instance() = default;

bool Instance::start() {
  Parts &Of = *this->Held;
  logEvent(LogLevel::Info, "started",
           {{"name", Of.Name}, {"domain", Of.Settings.FailureDomain}});
  const bool Listening =
      Of.CallerServer.listen(parseEndpoint(Of.Settings.CallerAddress)) &&
      Of.ReadyServer.listen(parseEndpoint(Of.Settings.ReadyAddress));
  if (!Listening)
    return false;
  // Metrics are worth less than service: a taken port is only logged.
  if (!Of.Settings.MetricsAddress.empty())
    Of.MetricsServer.listen(parseEndpoint(Of.Settings.MetricsAddress));
  spawnTask(Of.Io, "follow_operators", Of.Operators.run());
  spawnTask(Of.Io, "follow_journal", Of.Journal.run());
  spawnTask(Of.Io, "ownership", Of.Owning.run());
  return true;
}

void Instance::reload() {
  Parts &Of = *this->Held;
  Result<InstanceSettings> Read = loadInstanceSettings(Of.SettingsPath);
  if (!Read) {
    logEvent(LogLevel::Error, "reload_failed",
             {{"reason", Read.error().Message},
              {"findings", formatFindings(Read.error().Details)}});
    return;
  }
  Of.Settings = std::move(Read.value());
  logEvent(LogLevel::Info, "reloaded", {{"path", Of.SettingsPath}});
}

void Instance::shutDown() {
  Parts &Of = *this->Held;
  if (Of.Leaving)
    return;
  Of.Leaving = true;
  logEvent(LogLevel::Info, "stopping",
           {{"owner", Of.Owning.owner() ? "yes" : "no"}});
  spawnTask(Of.Io, "leave", Of.leave());
}

} // namespace pistachioflow
