#include "pistachioflow/entry/instance.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/caller_api.hpp"
#include "pistachioflow/entry/connection_limits.hpp"
#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/metrics.hpp"
#include "pistachioflow/entry/ownership.hpp"
#include "pistachioflow/entry/rejected_entries.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform/desired_state_codec.hpp"

namespace pistachioflow {

namespace {

/// Pause between two reads of the journal by an instance that is not the owner.
/// A caller's question about a job that has not ended interrupts it. A lost
/// owner is noticed this much later.
constexpr Duration FollowerReadPause{300};
/// The journal counts as up to date when its last read was answered within this
/// time: the longest wait of a read and a slow answer.
constexpr Duration JournalFreshness{2'000};
/// How long an instance reads on before it claims the ownership.
constexpr Duration ClaimRefreshTimeout{400};
/// Until the load balancer has removed this instance: it checks readiness every
/// second and removes an instance after two failed checks.
constexpr Duration BalancerRemovalTime{2'500};
constexpr Duration ShutdownPollInterval{20};
/// Of the balancer's checks, and of requests for metrics.
constexpr std::size_t MaxCheckHeaderBytes = 4U << 10U;
/// Part of the grace period that requests in progress may use.
constexpr std::int64_t RequestGracePercent = 80;
constexpr std::int64_t WholePercent = 100;

} // namespace

struct Instance::Components {
  Components(asio::io_context &Io, const Clock &Time,
             InstanceSettings InitialSettings, std::string Path,
             PacePlacement PaceMode);

  asio::awaitable<HttpResponse> ready();
  asio::awaitable<HttpResponse> metrics(HttpRequest Request) const;
  asio::awaitable<void> drainAndStop();
  void replaceOperatorRecords(const TopicRecords &Records);
  void applyOperatorRecord(const JournalRecord &Record);
  void applyDesired(const JournalRecord &Record);
  void limitServers();
  void noteEvacuation(std::string_view Domain, bool Began);
  bool evacuationsKnown() const;
  void replaceJournal(const TopicRecords &Records);
  void applyJournal(const JournalRecord &Record);
  void applyStatus(const JournalRecord &Record);
  void applyOwnership(const JournalRecord &Record);
  bool journalReadable() const;

  asio::io_context &Io;
  const Clock &Time;
  InstanceSettings Settings;
  std::string SettingsPath;
  std::string Name; ///< Unique to this process of the instance.
  DesiredState Desired;
  EvacuatedDomains Evacuated;
  /// When the operators' topic was last applied up to its end; 0: never.
  Instant EvacuationsReadAt;
  JobStatusTable JobStatuses;
  ConnectionLimits Limits;
  std::shared_ptr<MemoryBudget> CallerMemory;
  std::shared_ptr<MemoryBudget> PeerMemory;
  StoreClient Store;
  TopicFollower OperatorFollower;
  TopicFollower Journal;
  std::shared_ptr<JournalWriter> Writer;
  Dispatcher QueueDispatcher;
  Ownership QueueOwnership;
  CallerApi Api;
  HttpServer CallerServer;
  HttpServer ReadyServer;
  HttpServer MetricsServer;
  bool ShuttingDown = false;
};

Instance::Components::Components(asio::io_context &Io, const Clock &Time,
                                 InstanceSettings InitialSettings,
                                 std::string Path, PacePlacement PaceMode)
    : Io(Io), Time(Time), Settings(std::move(InitialSettings)),
      SettingsPath(std::move(Path)),
      Name(this->Settings.Instance + "/" + std::to_string(Time.wall().Ms)),
      Limits(connectionLimits(this->Settings)),
      CallerMemory(std::make_shared<MemoryBudget>(this->Limits.CallerBytes)),
      PeerMemory(std::make_shared<MemoryBudget>(this->Limits.PeerBytes)),
      Store(Io, this->Settings.StoreAddress, this->PeerMemory),
      OperatorFollower(
          Io, Store, Time, std::string(OperatorTopic),
          {[this](const TopicRecords &Records) {
             this->replaceOperatorRecords(Records);
           },
           [this](const JournalRecord &Record) {
             this->applyOperatorRecord(Record);
           },
           [this] { this->EvacuationsReadAt = this->Time.monotonic(); }},
          {0}),
      Journal(
          Io, Store, Time, std::string(JournalTopic),
          {[this](const TopicRecords &Records) {
             this->replaceJournal(Records);
           },
           [this](const JournalRecord &Record) { this->applyJournal(Record); },
           [] {}, [this] { this->Writer->checkStore(); }},
          FollowerReadPause),
      Writer(std::make_shared<JournalWriter>(
          Io, Store, Time, this->Name, 1, 0,
          static_cast<std::size_t>(this->Settings.MaxStoreRequestBytes),
          MaxCallerRecordAge)),
      QueueDispatcher(
          Io, Store, Time, this->Settings, this->Desired,
          {this->Evacuated, [this] { return this->evacuationsKnown(); }},
          this->PeerMemory, PaceMode,
          [this](std::string_view Reason) {
            this->QueueOwnership.lose(Reason);
          }),
      QueueOwnership(
          Io, Store, Time, this->Name, this->Settings.MilliCores,
          static_cast<std::size_t>(this->Settings.MaxStoreRequestBytes),
          {[this](std::int64_t Epoch) {
             this->QueueDispatcher.begin(Epoch, this->QueueOwnership.writer(),
                                         this->QueueOwnership.claimTimes());
             this->Journal.setReadPause({0});
             this->Journal.reload();
           },
           [this](std::string_view) {
             this->QueueDispatcher.end();
             this->Journal.setReadPause(FollowerReadPause);
           },
           [this] { return this->Journal.position(); },
           [this] { return this->journalReadable(); },
           [this]() -> asio::awaitable<void> {
             co_await this->Journal.refresh(ClaimRefreshTimeout);
           }}),
      Api(Time, this->Desired, this->JobStatuses, this->Journal, *this->Writer,
          static_cast<std::size_t>(this->Settings.MaxStoreRecordBytes),
          [this] {
            return this->Settings.EvacuationTimeout.Ms != 0 &&
                   coversAll(this->Evacuated, this->Settings.KnownDomains);
          }),
      CallerServer(
          Io,
          [this](HttpRequest Request) {
            return this->Api.handle(std::move(Request));
          },
          this->CallerMemory),
      ReadyServer(Io, [this](const HttpRequest &) { return this->ready(); }),
      MetricsServer(Io, [this](HttpRequest Request) {
        return this->metrics(std::move(Request));
      }) {
  this->limitServers();
}

/// Applies the limits of the machine and of the configuration.
void Instance::Components::limitServers() {
  HttpServerLimits Callers;
  Callers.MaxHeaderBytes =
      static_cast<std::size_t>(this->Desired.MaxHeaderBytes);
  Callers.MaxBodyBytes = static_cast<std::size_t>(this->Desired.MaxBodyBytes);
  Callers.RequestTimeout = {this->Desired.HeaderTimeoutMs};
  Callers.IdleTimeout = {this->Desired.IdleTimeoutMs};
  Callers.MaxConnections = this->Limits.MaxCallers;
  if (this->Limits.MaxCallerBodyBytes > 0)
    Callers.MaxBodyBytes =
        std::min(Callers.MaxBodyBytes, this->Limits.MaxCallerBodyBytes);
  this->CallerServer.setLimits(Callers);
  HttpServerLimits Checks;
  Checks.MaxHeaderBytes = MaxCheckHeaderBytes;
  Checks.MaxBodyBytes = 0;
  Checks.MaxConnections = this->Limits.MaxChecks;
  this->ReadyServer.setLimits(Checks);
  this->MetricsServer.setLimits(Checks);
}

bool Instance::Components::journalReadable() const {
  return this->Journal.caughtUp() &&
         this->Time.monotonic() - this->Journal.lastContact() <
             JournalFreshness;
}

asio::awaitable<HttpResponse> Instance::Components::ready() {
  const bool Ready = !this->ShuttingDown && this->Desired.Version > 0 &&
                     this->journalReadable();
  co_return HttpResponse{Ready ? 200 : 503, {}, {}};
}

asio::awaitable<HttpResponse>
Instance::Components::metrics(HttpRequest Request) const {
  HttpResponse Response;
  Response.Status = Request.Target == "/metrics" ? 200 : 404;
  if (Response.Status == 200) {
    entryMetrics().LogLinesDropped.set(
        static_cast<std::int64_t>(droppedLogLines()));
    entryMetrics().CallerMemory.set(
        static_cast<std::int64_t>(this->CallerMemory->held()));
    entryMetrics().ClosedForMemory.set(
        static_cast<std::int64_t>(this->CallerMemory->closedConnections() +
                                  this->PeerMemory->closedConnections()));
    entryMetrics().ClosedForRoom.set(
        static_cast<std::int64_t>(this->CallerServer.closedForRoom()));
    Response.Body = entryMetrics().Registry.print();
  }
  co_return Response;
}

void Instance::Components::replaceOperatorRecords(const TopicRecords &Records) {
  const EvacuatedDomains Before =
      std::exchange(this->Evacuated, readEvacuations(Records));
  for (const std::string &Domain : Before.Names)
    if (!this->Evacuated.contains(Domain))
      this->noteEvacuation(Domain, false);
  for (const std::string &Domain : this->Evacuated.Names)
    if (!Before.contains(Domain))
      this->noteEvacuation(Domain, true);
  for (const JournalRecord &Record : Records)
    this->applyDesired(Record);
}

void Instance::Components::applyOperatorRecord(const JournalRecord &Record) {
  this->applyDesired(Record);
  const EvacuationChange Change = applyEvacuation(this->Evacuated, Record);
  if (Change != EvacuationChange::None)
    this->noteEvacuation(evacuatedDomainOf(Record.Key),
                         Change == EvacuationChange::Began);
}

void Instance::Components::noteEvacuation(std::string_view Domain, bool Began) {
  if (this->Settings.EvacuationTimeout.Ms == 0)
    return;
  logEvent(LogLevel::Info, Began ? "domain_evacuated" : "domain_restored",
           {{"domain", printableKey(Domain)}});
  const auto &Known = this->Settings.KnownDomains;
  if (Began && std::ranges::find(Known, Domain) == Known.end())
    logEvent(LogLevel::Warning, "evacuation_unknown_domain",
             {{"domain", printableKey(Domain)}});
  entryMetrics().DomainsEvacuated.set(
      static_cast<std::int64_t>(this->Evacuated.Names.size()));
  this->QueueDispatcher.requestRound();
}

bool Instance::Components::evacuationsKnown() const {
  const bool Read = this->EvacuationsReadAt.Ms != 0;
  const Duration Age = this->Time.monotonic() - this->EvacuationsReadAt;
  const Duration Timeout = this->Settings.EvacuationTimeout;
  return Timeout.Ms == 0 || (Read && evacuationsCurrent(Age, Timeout));
}

void Instance::Components::applyDesired(const JournalRecord &Record) {
  if (Record.Key != DesiredStateKey || Record.Value.empty())
    return;
  Result<DesiredState> Decoded = decodeDesiredState(Record.Value);
  if (!Decoded) {
    logEvent(LogLevel::Error, "desired_state_invalid",
             {{"findings", formatFindings(Decoded.error().Details)},
              {"message", Decoded.error().Message}});
    return;
  }
  if (Decoded.value().Version <= this->Desired.Version)
    return;
  this->Desired = std::move(Decoded.value());
  this->limitServers();
  entryMetrics().DesiredVersion.set(this->Desired.Version);
  logEvent(LogLevel::Info, "desired_state",
           {{"version", this->Desired.Version},
            {"queues", static_cast<std::int64_t>(this->Desired.Queues.size())},
            {"keys",
             static_cast<std::int64_t>(this->Desired.WorkspaceByKey.size())}});
  this->QueueDispatcher.requestRound();
}

void Instance::Components::replaceJournal(const TopicRecords &Records) {
  this->JobStatuses.clear();
  for (const JournalRecord &Record : Records)
    this->applyStatus(Record);
  this->QueueDispatcher.journalLoaded(Records);
  // Comes last: with our claim a term begins, which loads the journal again.
  const auto Ownership = Records.find(ownershipKey());
  if (Ownership != Records.end())
    this->applyOwnership(*Ownership);
}

void Instance::Components::applyJournal(const JournalRecord &Record) {
  this->applyStatus(Record);
  this->QueueDispatcher.apply(Record);
  if (Record.Key == ownershipKey())
    this->applyOwnership(Record);
}

void Instance::Components::applyStatus(const JournalRecord &Record) {
  if (!this->JobStatuses.apply(Record))
    logEvent(LogLevel::Warning, "journal_record_invalid",
             {{"key", Record.Key}});
}

void Instance::Components::applyOwnership(const JournalRecord &Record) {
  if (const auto Decoded = decodeRecord<OwnershipRecord>(Record.Value))
    this->QueueOwnership.apply(*Decoded);
}

asio::awaitable<void> Instance::Components::drainAndStop() {
  const Instant StartedAt = this->Time.monotonic();
  const Duration RequestGrace{this->Settings.ShutdownGrace.Ms *
                              RequestGracePercent / WholePercent};
  this->QueueOwnership.resign();
  this->CallerServer.startDraining();
  while (true) {
    const Duration Elapsed = this->Time.monotonic() - StartedAt;
    const bool RemovedFromBalancer = Elapsed >= BalancerRemovalTime;
    const std::size_t InProgress = this->CallerServer.inProgress();
    if (RemovedFromBalancer)
      this->CallerServer.closeIdle();
    const bool Idle = InProgress == 0 && !this->QueueOwnership.isOwner();
    if (Elapsed >= RequestGrace || (RemovedFromBalancer && Idle))
      break;
    co_await pauseFor(this->Io, ShutdownPollInterval);
  }
  this->QueueOwnership.lose("leaving");
  logEvent(LogLevel::Info, "stopped",
           {{"in_progress",
             static_cast<std::int64_t>(this->CallerServer.inProgress())},
            {"ms", (this->Time.monotonic() - StartedAt).Ms}});
  this->Io.stop();
}

Instance::Instance(asio::io_context &Io, const Clock &Time,
                   InstanceSettings Settings, std::string SettingsPath,
                   PacePlacement PaceMode)
    : Impl(std::make_unique<Components>(Io, Time, std::move(Settings),
                                        std::move(SettingsPath), PaceMode)) {}

Instance::~Instance() = default;

bool Instance::start() {
  Components &Parts = *this->Impl;
  logEvent(
      LogLevel::Info, "started",
      {{"name", Parts.Name},
       {"domain", Parts.Settings.FailureDomain},
       {"memory_mb", Parts.Settings.MemoryMb},
       {"file_descriptors", Parts.Settings.FileDescriptors},
       {"caller_memory_bytes",
        static_cast<std::int64_t>(Parts.Limits.CallerBytes)},
       {"max_callers", static_cast<std::int64_t>(Parts.Limits.MaxCallers)}});
  const bool Listening =
      Parts.CallerServer.listen(parseEndpoint(Parts.Settings.CallerAddress)) &&
      Parts.ReadyServer.listen(parseEndpoint(Parts.Settings.ReadyAddress));
  if (!Listening)
    return false;
  // The instance serves callers without metrics too: a port in use is only
  // logged.
  if (!Parts.Settings.MetricsAddress.empty())
    Parts.MetricsServer.listen(parseEndpoint(Parts.Settings.MetricsAddress));
  spawnCoroutine(Parts.Io, "follow_operators", Parts.OperatorFollower.run());
  spawnCoroutine(Parts.Io, "follow_journal", Parts.Journal.run());
  spawnCoroutine(Parts.Io, "ownership", Parts.QueueOwnership.run());
  return true;
}

void Instance::reload() {
  Components &Parts = *this->Impl;
  Result<InstanceSettings> Decoded = loadInstanceSettings(Parts.SettingsPath);
  if (!Decoded) {
    logEvent(LogLevel::Error, "reload_failed",
             {{"reason", Decoded.error().Message},
              {"findings", formatFindings(Decoded.error().Details)}});
    return;
  }
  Parts.Settings = std::move(Decoded.value());
  logEvent(LogLevel::Info, "reloaded", {{"path", Parts.SettingsPath}});
}

void Instance::shutDown() {
  Components &Parts = *this->Impl;
  if (Parts.ShuttingDown)
    return;
  Parts.ShuttingDown = true;
  logEvent(LogLevel::Info, "stopping",
           {{"owner", Parts.QueueOwnership.isOwner() ? "yes" : "no"}});
  spawnCoroutine(Parts.Io, "shut_down", Parts.drainAndStop());
}

} // namespace pistachioflow
