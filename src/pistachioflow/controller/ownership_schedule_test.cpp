#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pistachioflow/controller/ownership.hpp"
#include "pistachioflow/controller/schedule_test_support.hpp"
#include "pistachioflow/controller/stream.hpp"

using namespace pistachioflow;
using namespace pistachioflow::schedule;

namespace {

const StreamName Scope{"cell/a"};
const LeaseSettings Lease;
constexpr int InstanceCount = 4;
constexpr TrueTime FaultyMs = 30'000;
constexpr TrueTime QuietMs = 15'000;
constexpr TrueTime SettleMs = 9'000;
constexpr Offset RetainedEntries = 25;

/// How the processes of one schedule are held up.
struct Tempo {
  int PauseShare = 0; ///< In percent of the steps.
  TrueTime PauseMs = 0;
  TrueTime PollMs = 0;
};

constexpr Tempo Tempos[] = {
    {3, 10'000, 200}, {15, 1'500, 200}, {8, 4'000, 60}, {0, 1, 40}};

/// An order to a worker, as it took effect.
struct Act {
  TrueTime At = 0;
  std::string Process;
  Epoch Under = 0;
};

std::vector<char> encodeState(const OwnershipState &State) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, State);
  return {Buffer.data(), Buffer.data() + Buffer.size()};
}

OwnershipState decodeState(const std::vector<char> &Bytes) {
  if (Bytes.empty())
    return {};
  return msgpack::unpack(Bytes.data(), Bytes.size())->as<OwnershipState>();
}

/// One process. Each of its steps may be followed by a pause of any length, as
/// by SIGSTOP; its clock has an offset and a rate of its own.
class Process {
public:
  Process(SharedLog &Shared, Chance &Draw, const Tempo &Held,
          const std::string &Name, const std::string &Instance,
          std::vector<Act> &Trace)
      : Shared(Shared), Draw(Draw), Held(Held), Log(Shared, Draw),
        Name(Name), Self{Instance}, Trace(Trace),
        Ids(std::hash<std::string>{}(Name)), OffsetMs(Draw.below(1'000'000)),
        DriftPercent(Draw.below(9) - 4), NextAt(Shared.Now + Draw.below(300)) {
    this->Cursor.Stream = Scope;
  }

  void step() {
    // Other threads of the process act at any moment that they may.
    if (mayAct(this->View, this->Self, Lease, this->now()))
      this->order();
    switch (this->At) {
    case Place::Reading:
      this->read();
      this->At = Place::Deciding;
      break;
    case Place::Deciding:
      this->At = this->decide();
      break;
    case Place::Sending:
      static_cast<void>(this->Log.append(Scope, encodeRecord(*this->ToSend)));
      this->At = Place::Reading;
      break;
    }
    this->NextAt = this->Shared.Now + this->wait();
  }

  TrueTime nextAt() const { return this->NextAt; }
  const std::string &name() const { return this->Name; }
  FaultyLog &log() { return this->Log; }
  void becomeQuiet() {
    this->Faulty = false;
    this->Log.Faults = {};
    this->Log.CutOff = false;
  }
  void beginFaults(FaultShares Faults) { this->Log.Faults = Faults; }

private:
  enum class Place { Reading, Deciding, Sending };

  Instant now() const {
    return {this->OffsetMs +
            this->Shared.Now * (100 + this->DriftPercent) / 100};
  }

  TrueTime wait() {
    if (this->Faulty && this->Draw.percent(this->Held.PauseShare))
      return this->Draw.below(this->Held.PauseMs);
    constexpr TrueTime StepMs = 30;
    const bool IsIdle = this->At == Place::Reading;
    return 1 + this->Draw.below(IsIdle ? this->Held.PollMs : StepMs);
  }

  void read() {
    this->ReadBegan = this->now();
    this->Batch.reset();
    Result<StreamBatch> Read = readNew(this->Log, this->Cursor);
    if (Read.has_value())
      this->Batch = std::move(Read.value());
    else
      CHECK(Read.error().Code == ErrorCode::Unavailable);
  }

  void note() {
    const Instant Now = this->now();
    if (!this->Batch) {
      noteReadFailed(this->View, Now);
      return;
    }
    if (this->Batch->Restarted)
      noteSnapshot(this->View, decodeState(this->Batch->Snapshot), Now);
    for (const StreamRecord &Entry : this->Batch->Records)
      noteRecord(this->View, Entry.What, Lease, Now);
    if (this->Batch->AtEnd)
      noteReadEnd(this->View, this->ReadBegan);
  }

  Place decide() {
    this->note();
    if (!this->Batch)
      return Place::Reading;
    // The list of instances is stale now and then, and so is the rank.
    const std::size_t Rank = this->Draw.below(this->Faulty ? 3 : 1);
    const LeaseStep Step =
        nextLeaseStep(this->View, this->Self, Rank, Lease, this->now());
    if (Step == LeaseStep::Claim)
      return this->send(this->View.State.At + 1, OwnerClaimed{this->Self});
    if (Step == LeaseStep::Renew)
      return this->send(this->View.State.At, OwnerRenewed{});
    return this->actOrRelease();
  }

  Place actOrRelease() {
    if (this->Faulty && this->Draw.percent(1))
      noteStopping(this->View, this->now());
    if (mayRelease(this->View, this->Self, Lease, this->now())) {
      const std::string Successor =
          "instance-" + std::to_string(this->Draw.below(InstanceCount));
      return this->send(this->View.State.At, OwnerReleased{{Successor}});
    }
    if (!mayAct(this->View, this->Self, Lease, this->now()))
      return Place::Reading;
    if (this->Draw.percent(10))
      return this->send(
          this->View.State.At,
          SnapshotTaken{this->Cursor.Next, encodeState(this->View.State)});
    return this->Draw.percent(30)
               ? this->send(this->View.State.At, DecisionsMade{})
               : Place::Reading;
  }

  /// An order takes effect a little after the last look at the clock.
  void order() {
    const TrueTime Way = this->Draw.below(Lease.Margin.Ms / 2);
    this->Trace.push_back(
        {this->Shared.Now + Way, this->Name, this->View.State.At});
  }

  Place send(Epoch Under, Payload What) {
    this->ToSend =
        Record{{RecordVersion, this->Ids.next(), this->Self, Under, {0}},
               std::move(What)};
    noteSending(this->View, *this->ToSend, this->now());
    return Place::Sending;
  }

  SharedLog &Shared;
  Chance &Draw;
  const Tempo Held;
  FaultyLog Log;
  const std::string Name;
  const InstanceId Self;
  std::vector<Act> &Trace;
  RecordIdSource Ids;
  const std::int64_t OffsetMs;
  const std::int64_t DriftPercent;
  TrueTime NextAt;
  bool Faulty = true;
  Place At = Place::Reading;
  StreamCursor Cursor;
  LeaseView View;
  Instant ReadBegan;
  std::optional<StreamBatch> Batch;
  std::optional<Record> ToSend;
};

/// Runs one schedule: faults for a while, then quiet.
class Schedule {
public:
  explicit Schedule(std::uint64_t Seed)
      : Draw(Seed), Held(Tempos[Seed % std::size(Tempos)]) {
    for (int Number = 0; Number < InstanceCount; ++Number)
      this->add("instance-" + std::to_string(Number));
  }

  void run() {
    while (this->Shared.Now < FaultyMs) {
      this->stepNext();
      this->disturb();
    }
    for (auto &Running : this->Processes)
      Running->becomeQuiet();
    while (this->Shared.Now < FaultyMs + QuietMs)
      this->stepNext();
  }

  SharedLog Shared;
  std::vector<Act> Trace;
  int Restarts = 0;
  int Expiries = 0;

private:
  void add(const std::string &Instance) {
    const std::string Name = Instance + "#" + std::to_string(this->Made++);
    this->Processes.push_back(std::make_unique<Process>(
        this->Shared, this->Draw, this->Held, Name, Instance, this->Trace));
    this->Processes.back()->beginFaults({5, 5, 5, 5});
  }

  void stepNext() {
    const auto Next =
        std::min_element(this->Processes.begin(), this->Processes.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left->nextAt() < Right->nextAt();
                         });
    this->Shared.advanceTo((*Next)->nextAt());
    (*Next)->step();
  }

  void disturb() {
    if (this->Draw.percent(1))
      this->cutOrHeal();
    if (this->Draw.below(1'000) < 3)
      this->kill();
    if (this->Draw.percent(5))
      this->expire();
  }

  /// Cuts one instance, or all, off from the log; or heals all.
  void cutOrHeal() {
    const bool Heal = this->Draw.percent(60);
    const bool Everyone = this->Draw.percent(30);
    const auto Chosen = this->Draw.below(this->Processes.size());
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
      if (Heal || Everyone || Index == static_cast<std::size_t>(Chosen))
        this->Processes[Index]->log().CutOff = !Heal;
    }
  }

  /// Replaces a process, under its own instance id or a new one; now and then
  /// the old one goes on beside it.
  void kill() {
    const auto Chosen = this->Draw.below(this->Processes.size());
    const std::string Old = this->Processes[Chosen]->name();
    if (this->Draw.percent(80))
      this->Processes.erase(this->Processes.begin() + Chosen);
    this->add(this->Draw.percent(50) ? Old.substr(0, Old.find('#'))
                                     : "new-" + std::to_string(this->Made));
    ++this->Restarts;
  }

  /// Lets the log drop what a kept snapshot covers.
  void expire() {
    const std::vector<Effect> &All = this->Shared.History[Scope];
    if (All.size() <= RetainedEntries)
      return;
    const Offset Oldest = All.size() - RetainedEntries;
    for (Offset At = All.size(); At-- > Oldest;) {
      const Record Value = decodeRecord(All[At].Bytes).value();
      const auto *Snapshot = std::get_if<SnapshotTaken>(&Value.What);
      if (!Snapshot || Snapshot->EndOffset < Oldest)
        continue;
      this->Shared.Kept.expireBelow(Scope, Oldest);
      ++this->Expiries;
      return;
    }
  }

  Chance Draw;
  const Tempo Held;
  std::vector<std::unique_ptr<Process>> Processes;
  int Made = 0;
};

/// Who owns which epoch, by the records of the whole history. Written apart
/// from the fold under test.
struct Claimed {
  std::string Owner;
  TrueTime At = 0;
};

std::map<Epoch, Claimed> claimsOf(const std::vector<Effect> &History) {
  std::map<Epoch, Claimed> Owners;
  std::set<std::string> Seen;
  for (const Effect &Entry : History) {
    const Record Value = decodeRecord(Entry.Bytes).value();
    if (!Seen.insert(Value.Header.Id.Value).second)
      continue;
    const Epoch Last = Owners.empty() ? 0 : Owners.rbegin()->first;
    if (std::holds_alternative<OwnerClaimed>(Value.What) &&
        Value.Header.AuthorEpoch == Last + 1)
      Owners[Last + 1] = {Value.Header.Author.Value, Entry.At};
  }
  return Owners;
}

std::string instanceOf(const std::string &Process) {
  return Process.substr(0, Process.find('#'));
}

void checkTrace(std::vector<Act> Trace,
                const std::map<Epoch, Claimed> &Owners) {
  std::stable_sort(
      Trace.begin(), Trace.end(),
      [](const Act &Left, const Act &Right) { return Left.At < Right.At; });
  Act Newest;
  std::map<Epoch, std::string> Actors;
  for (const Act &Order : Trace) {
    // One actor at any time: nobody acts under an epoch once another process
    // did under a newer one. An order on its way may be overtaken by one of the
    // same process, which had claimed its own stream again.
    if (Order.Process != Newest.Process)
      REQUIRE(Order.Under >= Newest.Under);
    if (Order.Under >= Newest.Under)
      Newest = Order;
    const auto Actor = Actors.emplace(Order.Under, Order.Process).first;
    REQUIRE(Actor->second == Order.Process);
    const auto Owner = Owners.find(Order.Under);
    REQUIRE(Owner != Owners.end());
    REQUIRE(Owner->second.Owner == instanceOf(Order.Process));
    REQUIRE(Owner->second.At <= Order.At);
  }
}

} // namespace

TEST_CASE("at most one process acts at any time, under any schedule") {
  constexpr std::uint64_t Seeds = 1'200;
  std::size_t Acts = 0;
  std::size_t Epochs = 0;
  int Restarts = 0;
  int Expiries = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    Schedule Run(Seed);
    Run.run();
    const auto Owners = claimsOf(Run.Shared.History[Scope]);
    checkTrace(Run.Trace, Owners);
    // Once the faults have ended, somebody acts again within the bound.
    const auto Settled = [](const Act &Order) {
      return Order.At > FaultyMs && Order.At <= FaultyMs + SettleMs;
    };
    REQUIRE(std::any_of(Run.Trace.begin(), Run.Trace.end(), Settled));
    Acts += Run.Trace.size();
    Epochs += Owners.size();
    Restarts += Run.Restarts;
    Expiries += Run.Expiries;
  }
  CHECK(Acts > 100 * Seeds);
  CHECK(Epochs > 4 * Seeds);
  CHECK(Restarts > 0);
  CHECK(Expiries > 0);
  WARN("acts " << Acts << ", epochs " << Epochs << ", restarts " << Restarts
               << ", expiries " << Expiries);
}
