#include "pistachioflow/daemon/node.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/peer/config_forwarding.hpp"
#include "pistachioflow/policy/packing.hpp"

namespace pistachioflow {

namespace {

// Parts of one process draw their ids from seeds that differ.
constexpr std::uint64_t ConfigSeed = 1;
constexpr std::uint64_t KeysSeed = 2;
constexpr std::uint64_t PeerSeed = 3;
constexpr std::uint64_t RequestSeed = 4;
constexpr std::uint64_t CellSeed = 5;

constexpr Duration DrainPoll{20};

KeySettings keySettings(const DaemonSettings &Settings, std::uint64_t Seed) {
  KeySettings Keys;
  Keys.Self = Settings.Instance;
  Keys.Seed = Seed + KeysSeed;
  Keys.Streams = Settings.Limits.KeyStreams;
  Keys.PollWaiting = Settings.Ticks.Keys;
  return Keys;
}

CellSettings cellSettings(const DaemonSettings &Settings) {
  CellSettings Cells;
  Cells.Lease.Lease = Settings.Leases.Lease;
  Cells.Lease.Margin = Settings.Leases.Margin;
  Cells.Lease.RenewEvery = Settings.Leases.RenewEvery;
  Cells.Snapshot.Records = Settings.Limits.SnapshotEvery;
  Cells.Prefer.FragmentationWeight = Settings.Policy.FragmentationWeight;
  Cells.Prefer.ReclaimDeadline = Settings.Policy.ReclaimDeadline;
  return Cells;
}

RequestSettings requestSettings(const DaemonSettings &Settings,
                                std::uint64_t Seed) {
  RequestSettings Requests;
  Requests.Self = Settings.Instance;
  Requests.Seed = Seed + RequestSeed;
  Requests.Dispatch.Domain = Settings.Domain;
  Requests.DrainGrace = Settings.LeaveWithin;
  return Requests;
}

PeerSettings peerSettings(const DaemonSettings &Settings, std::uint64_t Seed) {
  PeerSettings Peers;
  Peers.Self = Settings.Instance;
  Peers.BindHost = Settings.Peer.Host;
  Peers.Port = Settings.Peer.Port;
  Peers.PublishEvery = Settings.Ticks.Gossip;
  Peers.Seed = Seed + PeerSeed;
  return Peers;
}

/// Adds up what all peers have in flight at each runner.
std::vector<RunnerInFlight> sumLoads(const std::vector<PeerView> &Views) {
  std::map<RunnerId, std::uint32_t> Sums;
  for (const PeerView &View : Views) {
    for (const RunnerInFlight &Load : View.Status.InFlight)
      Sums[Load.Runner] += Load.Count;
  }
  std::vector<RunnerInFlight> Loads;
  for (const auto &[Runner, Count] : Sums)
    Loads.push_back({Runner, Count});
  return Loads;
}

} // namespace

Node::Node(const DaemonSettings &Settings, const Clock &Time,
           std::uint64_t Seed)
    : Settings(Settings), Time(Time), Journal(Settings.Limits.JournalEvents),
      Platform(Settings, Time, this->Metrics),
      History(this->Platform.Log, Settings.Limits.JournalEvents),
      Config(this->Platform.Log, Time, Settings.Instance, Seed + ConfigSeed, {},
             [this](const Lists &Edited) { return this->checkLists(Edited); }),
      Keys(this->Platform.Log, Time, keySettings(Settings, Seed)),
      Members(Settings.Instance, Time), WorkerPool(Settings.Threads.Workers),
      Ticks(Settings.Threads.Cells + Settings.Threads.Logs),
      Cells(Settings.Instance, Settings.Domain, Settings.Cell,
            cellSettings(Settings), this->cellPorts(Seed), this->historyTap()),
      Requests(requestSettings(Settings, Seed), this->requestPorts()),
      Peers(peerSettings(Settings, Seed), Time, this->peerHandlers()) {}

Node::~Node() { this->stop(); }

CellPorts Node::cellPorts(std::uint64_t Seed) {
  return CellPorts{this->Platform.Log,
                   this->Platform.Workers,
                   this->Time,
                   this->Journal,
                   this->Metrics,
                   [this](std::function<void()> Work) {
                     this->WorkerPool.post(std::move(Work));
                   },
                   Seed + CellSeed};
}

Findings Node::checkLists(const Lists &Edited) const {
  std::vector<WorkerInfo> Workers;
  for (const CellController *Cell : this->Cells.all()) {
    Cell->read([&Workers](const CellFold &Fold) {
      for (const auto &[Name, Known] : Fold.Cell.Workers) {
        if (!Known.Lost)
          Workers.push_back(Known.Info);
      }
    });
  }
  // Before any worker has joined there is nothing to hold the lists against.
  return Workers.empty() ? Findings{} : policy::checkPacking(Edited, Workers);
}

RecordTap Node::historyTap() {
  return [this](const StreamName &Stream, const StreamRecord &Read,
                const FoldedRecord &Folded) {
    this->History.take(Stream, Read, Folded);
  };
}

RequestPorts Node::requestPorts() {
  const auto CurrentLists = [this]() -> std::shared_ptr<const Lists> {
    if (!this->Config.mayTakeNewWork())
      return nullptr;
    const std::shared_ptr<const ConfigState> State = this->Config.state();
    return {State, &State->Now};
  };
  return RequestPorts{this->Time,
                      this->Platform.Runners,
                      this->Keys,
                      this->Journal,
                      this->Metrics,
                      CurrentLists,
                      [this] { return this->Members.share(); },
                      [this] { return sumLoads(this->Peers.peers()); },
                      {}};
}

PeerHandlers Node::peerHandlers() {
  PeerHandlers Handlers;
  Handlers.OnStatus = [this](const PeerView &View) {
    this->Members.takePeer(View);
  };
  forwardConfig(Handlers, this->Config, this->Time);
  return Handlers;
}

Result<std::uint16_t> Node::start() {
  BOOST_OUTCOME_TRY(Port, this->Peers.start());
  this->Started = true;
  this->Keys.start();
  this->startTicks();
  return Port;
}

void Node::startTicks() {
  const TickPeriods &Periods = this->Settings.Ticks;
  this->Ticks.every(Periods.Config, [this] { this->tickConfig(); });
  this->Ticks.every(Periods.Instances, [this] { this->tickInstances(); });
  this->Ticks.every(Periods.Instances, [this] { this->Requests.refresh(); });
  this->Ticks.every(Periods.Cell, [this] { this->tickCells(); });
  this->Ticks.every(Periods.Gossip, [this] { this->tickGossip(); });
}

void Node::tickConfig() {
  const Result<void> Read = this->Config.refresh();
  askPeersIfCutOff(this->Peers, this->Config);
  if (Read.has_error())
    return;
  const std::size_t Rank = claimRank(configStream(), this->Members.live(),
                                     this->Settings.Instance, {});
  static_cast<void>(this->Config.snapshotIfDue(Rank));
}

void Node::tickInstances() {
  const Result<std::vector<ListedInstance>> List =
      this->Platform.Instances.instances();
  if (List.has_value())
    this->Members.takeList(List.value());
  this->Peers.setPeers(this->Members.targets());
}

void Node::tickCells() {
  const std::shared_ptr<const ConfigState> State = this->Config.state();
  CellInputs Inputs;
  Inputs.Configuration = State->Now;
  Inputs.Live = this->Members.live();
  Inputs.PeerReachesLog = this->peerReachesLog();
  this->Cells.follow(State->Cells);
  this->Cells.setInputs(Inputs, State->Cells);
  this->Cells.advance();
}

bool Node::peerReachesLog() const {
  const std::vector<PeerView> Views = this->Peers.peers();
  return std::any_of(Views.begin(), Views.end(), [](const PeerView &View) {
    return View.Status.LogReachable;
  });
}

void Node::tickGossip() { this->Peers.publish(this->status()); }

LocalStatus Node::status() const {
  LocalStatus Status;
  const ConfigProgress Progress = this->Config.progress();
  Status.Domain = this->Settings.Domain;
  Status.Host = this->Settings.Http.Host;
  Status.HttpPort = this->HttpPort;
  Status.Leaving = this->Members.leaving();
  Status.LogReachable = Progress.LogReachable;
  Status.Plans = Progress.Plans;
  Status.Limits = Progress.Limits;
  Status.ConfigNext = Progress.Next;
  for (const CellController *Cell : this->Cells.all()) {
    const CellStatus Known = Cell->status();
    if (Known.Acts)
      Status.Owned.push_back({"cell/" + Known.Cell.Value});
  }
  Status.InFlight = const_cast<RequestService &>(this->Requests).localLoads();
  return Status;
}

policy::Settings Node::preferences() const {
  return cellSettings(this->Settings).Prefer;
}

bool Node::ready() const {
  return this->Started && !this->Members.leaving() &&
         this->Config.mayTakeNewWork();
}

void Node::drain(Duration Patience) {
  logEvent(LogLevel::Info, "drain_begins", {});
  this->Members.leave();
  this->tickGossip();
  this->Requests.beginDrain();
  const Instant End = this->Time.monotonic() + Patience;
  while (!this->drained() && this->Time.monotonic() < End)
    std::this_thread::sleep_for(std::chrono::milliseconds(DrainPoll.Ms));
  logEvent(LogLevel::Info, "drain_ends",
           {{"requests_in_progress",
             static_cast<std::int64_t>(this->Requests.inFlight())}});
}

/// Hands over cells as soon as possible; they do not wait for requests.
bool Node::drained() {
  const bool Released = this->Cells.release(this->Members.live());
  return Released && this->Requests.inFlight() == 0 && this->Keys.idle();
}

void Node::stop() {
  if (!this->Started.exchange(false))
    return;
  this->Ticks.stop();
  this->WorkerPool.stop();
  this->Keys.stop();
  this->Peers.stop();
}

} // namespace pistachioflow
