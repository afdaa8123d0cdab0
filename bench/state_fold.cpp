// Measures folding, recovery, gossip and the times of the ownership and
// configuration logic. Usage: state_fold [SECTION...]; without one, all.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "pistachioflow/controller/config.hpp"
#include "pistachioflow/controller/ownership.hpp"
#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/peer/peer_exchange.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

const StreamName Stream{"cell/a"};
constexpr int Teams = 110; ///< Workspaces with a plan at the target size.

double secondsOf(const std::function<void()> &Work) {
  const auto Began = std::chrono::steady_clock::now();
  Work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
      .count();
}

Record make(RecordIdSource &Ids, Epoch At, Payload What) {
  return {{RecordVersion, Ids.next(), {"instance-1"}, At, {1'700'000'000'000}},
          std::move(What)};
}

std::vector<PlanEntry> plans(int Count) {
  std::vector<PlanEntry> Entries;
  for (int Number = 0; Number < Count; ++Number)
    Entries.push_back({{"workspace-" + std::to_string(Number)},
                       {"plan-" + std::to_string(Number % 10)}});
  return Entries;
}

std::vector<LimitsEntry> limits(int Count) {
  std::vector<LimitsEntry> Entries;
  for (int Number = 0; Number < Count; ++Number) {
    GangShape Shape;
    Shape.Tasks = 8;
    Shape.AcceleratorsPerTask = 8;
    Entries.push_back({{"plan-" + std::to_string(Number)},
                       {{Shape, 2}, {Shape, 1}},
                       400,
                       1,
                       true,
                       50,
                       20});
  }
  return Entries;
}

DecisionsMade decisions(std::size_t Count) {
  DecisionsMade Made;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const JobId Job{"job-" + std::to_string(Number)};
    Made.Observed.push_back(GangFinished{Job, 1});
    Made.Decisions.push_back(
        {StartGang{Job, 1, {{{"worker-17"}, 8}, {{"worker-18"}, 8}}, true},
         {ReasonCode::PlacedBorrowing,
          {{ListKind::Limits, "plan-1", 4}, {ListKind::Plans, "chess", 9}},
          {{Measure::AcceleratorsFree, 12}},
          "worker-2"}});
  }
  return Made;
}

JobSubmitted submission() {
  GangShape Shape;
  Shape.Tasks = 16;
  Shape.AcceleratorsPerTask = 8;
  return {{{"job-1234567"}, {"workspace-1"}, Shape, {3'600'000}, false, true}};
}

void recordBytes() {
  RecordIdSource Ids(1);
  const std::vector<std::pair<const char *, Payload>> Kinds = {
      {"OwnerRenewed", OwnerRenewed{}},
      {"OwnerClaimed", OwnerClaimed{{"instance-1"}}},
      {"OwnerReleased", OwnerReleased{{"instance-2"}}},
      {"FactsObserved, 1 submission", FactsObserved{{submission()}}},
      {"DecisionsMade, 1 start", decisions(1)},
      {"DecisionsMade, 32 starts", decisions(32)},
      {"KeysAppended, 1 begin",
       KeysAppended{
           {{RequestBegun{{"workspace-1"}, "round-1", {"request-1"}, 1, 2}}}}},
      {"PlansEdited, 4 workspaces", PlansEdited{9, plans(4), "operator"}},
      {"PlansEdited, 110 workspaces", PlansEdited{9, plans(Teams), "operator"}},
      {"LimitsEdited, 4 plans", LimitsEdited{9, limits(4), "operator"}},
      {"LimitsEdited, 110 plans", LimitsEdited{9, limits(Teams), "operator"}},
  };
  for (const auto &[Name, What] : Kinds)
    std::printf("record_bytes kind=\"%s\" bytes=%zu\n", Name,
                encodeRecord(make(Ids, 1, What)).size());
}

/// Fills a stream: a claim, then records of an owner's ticks, with a snapshot
/// after every \p SnapshotEvery records (0: none).
void fill(MemoryLog &Log, std::size_t Length, std::size_t SnapshotEvery) {
  RecordIdSource Ids(7);
  const std::vector<char> State(256U << 10U, 's');
  const auto Append = [&](Payload What) {
    static_cast<void>(
        Log.append(Stream, encodeRecord(make(Ids, 1, std::move(What)))));
  };
  Append(OwnerClaimed{{"instance-1"}});
  for (std::size_t At = 1; At < Length; ++At) {
    if (SnapshotEvery != 0 && At % SnapshotEvery == 0)
      Append(SnapshotTaken{At, State});
    else
      Append(decisions(2));
  }
}

void recover(std::size_t Length, std::size_t SnapshotEvery) {
  MemoryLog Log;
  fill(Log, Length, SnapshotEvery);
  std::size_t Folded = 0;
  const LeaseSettings Settings;
  const double Seconds = secondsOf([&] {
    StreamCursor Cursor;
    Cursor.Stream = Stream;
    LeaseView View;
    for (bool AtEnd = false; !AtEnd;) {
      const StreamBatch Batch = readNew(Log, Cursor).value();
      if (!Batch.Snapshot.empty())
        noteSnapshot(View, {{"instance-1"}, 1, {}, false}, {1});
      for (const StreamRecord &Entry : Batch.Records)
        Folded += noteRecord(View, Entry.What, Settings, {1}) ? 1 : 0;
      AtEnd = Batch.AtEnd;
    }
  });
  std::printf("recovery records=%zu snapshot_every=%zu folded=%zu ms=%.2f "
              "us_per_folded=%.2f\n",
              Length, SnapshotEvery, Folded, Seconds * 1e3,
              Seconds * 1e6 /
                  static_cast<double>(std::max<std::size_t>(Folded, 1)));
}

void recovery() {
  for (const std::size_t Length : {1'000, 10'000, 100'000}) {
    recover(Length, 0);
    recover(Length, 500);
  }
}

void configFold() {
  for (const int Entries : {4, Teams}) {
    RecordIdSource Ids(1);
    ConfigState State;
    foldConfig(State, make(Ids, 0, LimitsEdited{0, limits(Teams), "op"}));
    constexpr int Edits = 2'000;
    std::vector<Record> Records;
    for (Revision At = 0; At < Edits; ++At)
      Records.push_back(make(Ids, 0, PlansEdited{At, plans(Entries), "op"}));
    const double Seconds = secondsOf([&] {
      for (const Record &Value : Records)
        foldConfig(State, Value);
    });
    std::printf("config_fold workspaces=%d us_per_edit=%.1f snapshot_bytes=%zu "
                "accepted=%llu\n",
                Entries, Seconds * 1e6 / Edits, encodeConfig(State).size(),
                static_cast<unsigned long long>(State.Now.Plans.At));
  }
}

/// Appends of an owner at rest: it decides nothing and only renews.
void appendsAtRest() {
  constexpr std::int64_t Minutes = 10;
  constexpr std::int64_t PollMs = 100;
  const LeaseSettings Settings;
  RecordIdSource Ids(1);
  LeaseView View;
  const InstanceId Self{"instance-1"};
  int Appends = 0;
  noteReadEnd(View, {0});
  for (std::int64_t Now = 0; Now < Minutes * 60'000; Now += PollMs) {
    const LeaseStep Step = nextLeaseStep(View, Self, Self, Settings, {Now});
    if (Step == LeaseStep::Wait)
      continue;
    const bool IsClaim = Step == LeaseStep::Claim;
    const Record Value =
        make(Ids, IsClaim ? View.State.At + 1 : View.State.At,
             IsClaim ? Payload(OwnerClaimed{Self}) : Payload(OwnerRenewed{}));
    noteSending(View, Value, {Now});
    noteRecord(View, Value, Settings, {Now + 1});
    noteReadEnd(View, {Now});
    ++Appends;
  }
  const double Rate = Appends / (Minutes * 60.0);
  std::printf("appends_at_rest poll_ms=%lld per_scope_per_s=%.3f "
              "scopes=1 keys=4 per_s=%.2f scopes=21 per_s=%.2f\n",
              static_cast<long long>(PollMs), Rate, Rate * 5, Rate * 21);
}

/// Virtual time from the death of an owner to the moment when a successor that
/// polls every \p PollMs may act. \p Rank is that of the best live candidate.
std::int64_t failover(std::uint64_t Seed, std::int64_t PollMs,
                      std::int64_t LogMs, std::size_t Rank) {
  std::mt19937_64 Draw(Seed);
  const LeaseSettings Settings;
  RecordIdSource Ids(Seed);
  const InstanceId Old{"instance-1"};
  const InstanceId New{"instance-2"};
  const auto Below = [&Draw](std::int64_t End) {
    return static_cast<std::int64_t>(Draw() % static_cast<std::uint64_t>(End));
  };
  LeaseView View;
  Record Claim = make(Ids, 1, OwnerClaimed{Old});
  // The last sign took effect at 0; the owner died within the next renewal.
  const std::int64_t DiedAt = Below(Settings.RenewEvery.Ms);
  std::int64_t Now = Below(PollMs);
  noteRecord(View, Claim, Settings, {Now + LogMs});
  noteReadEnd(View, {Now});
  constexpr std::int64_t GiveUpMs = 60'000;
  while (Now < GiveUpMs) {
    Now += LogMs;
    if (nextLeaseStep(View, New, Rank, Settings, {Now}) == LeaseStep::Claim) {
      Record Own = make(Ids, 2, OwnerClaimed{New});
      Own.Header.Author = New;
      noteSending(View, Own, {Now});
      Now += 2 * LogMs; // The append and the read back.
      noteRecord(View, Own, Settings, {Now});
      if (mayAct(View, New, Settings, {Now}))
        return Now - DiedAt;
    }
    Now += PollMs;
    noteReadEnd(View, {Now});
  }
  return Now;
}

void failovers() {
  constexpr int Seeds = 10'000;
  for (const std::int64_t PollMs : {100, 250}) {
    for (const std::size_t Rank : {0, 1, 2}) {
      std::vector<std::int64_t> Times;
      for (int Seed = 0; Seed < Seeds; ++Seed)
        Times.push_back(failover(Seed, PollMs, 5, Rank));
      std::sort(Times.begin(), Times.end());
      std::printf("failover_logic poll_ms=%lld log_ms=5 rank=%zu p50_ms=%lld "
                  "max_ms=%lld\n",
                  static_cast<long long>(PollMs), Rank,
                  static_cast<long long>(Times[Times.size() / 2]),
                  static_cast<long long>(Times.back()));
    }
  }
}

LocalStatus status(std::size_t Runners, std::size_t Owned) {
  LocalStatus Status;
  Status.Domain = {"domain-1"};
  Status.Host = "10.20.30.40";
  Status.HttpPort = 8'080;
  Status.PeerPort = 8'081;
  Status.Plans = Status.Limits = 1'000;
  Status.ConfigNext = 100'000;
  for (std::size_t Number = 0; Number < Owned; ++Number)
    Status.Owned.push_back({"cell/" + std::to_string(Number)});
  for (std::size_t Number = 0; Number < Runners; ++Number)
    Status.InFlight.push_back({{"runner-" + std::to_string(Number)}, 3});
  return Status;
}

void gossip() {
  constexpr double BudgetBytes = 25'000;
  constexpr std::size_t Instances = 9;
  for (const std::size_t Runners : {0, 10, 50}) {
    const std::size_t Bytes =
        encodePeerMessage(
            {PeerMessageVersion, {"instance-1"}, 1'000'000, status(Runners, 2)})
            .size();
    for (const double PerSecond : {1.0, 4.0}) {
      const double PerPeer = static_cast<double>(Bytes) * PerSecond;
      std::printf("gossip_bytes runners_busy=%zu message=%zu per_s=%.0f "
                  "instances=9 sent_per_s=%.0f peers_in_budget=%.0f\n",
                  Runners, Bytes, PerSecond, PerPeer * (Instances - 1),
                  BudgetBytes / PerPeer);
    }
  }
}

std::string processLine(const std::string &Key) {
  std::ifstream File("/proc/self/status");
  for (std::string Line; std::getline(File, Line);) {
    if (Line.rfind(Key + ":", 0) == 0)
      return Line.substr(Line.find_first_not_of(" \t", Key.size() + 1));
  }
  return "unknown";
}

void printProcess(const char *When) {
  std::printf("process when=\"%s\" threads=%s rss=\"%s\"\n", When,
              processLine("Threads").c_str(), processLine("VmRSS").c_str());
}

void exchangeAtRest() {
  SystemClock Time;
  printProcess("before");
  std::vector<std::unique_ptr<PeerExchange>> Nodes;
  std::vector<PeerAddress> Addresses;
  const auto Add = [&] {
    PeerSettings Settings;
    Settings.Self = {"instance-" + std::to_string(Nodes.size())};
    Settings.Seed = Nodes.size();
    Nodes.push_back(
        std::make_unique<PeerExchange>(Settings, Time, PeerHandlers{}));
    Addresses.push_back(
        {Settings.Self, "127.0.0.1", Nodes.back()->start().value()});
  };
  Add();
  printProcess("one exchange");
  for (int Number = 1; Number < 9; ++Number)
    Add();
  printProcess("nine exchanges, not connected");
  for (auto &Node : Nodes) {
    Node->setPeers(Addresses);
    Node->publish(status(50, 2));
  }
  const auto EveryoneHeard = [&] {
    return std::all_of(Nodes.begin(), Nodes.end(), [](const auto &Node) {
      return Node->peers().size() == 8;
    });
  };
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!EveryoneHeard() && std::chrono::steady_clock::now() < Limit)
    std::this_thread::yield();
  printProcess("nine exchanges, full mesh");
  const PeerCounters Counts = Nodes.front()->counters();
  std::printf("exchange sent=%llu bytes=%llu dropped=%llu refused=%llu\n",
              static_cast<unsigned long long>(Counts.SentMessages),
              static_cast<unsigned long long>(Counts.SentBytes),
              static_cast<unsigned long long>(Counts.Dropped),
              static_cast<unsigned long long>(Counts.Refused));
}

} // namespace

int main(int Count, char **Arguments) {
  const std::map<std::string, void (*)()> Sections = {
      {"records", recordBytes},     {"recovery", recovery},
      {"config", configFold},       {"appends", appendsAtRest},
      {"failover", failovers},      {"gossip", gossip},
      {"exchange", exchangeAtRest},
  };
  for (const auto &Section : Sections) {
    const bool IsAsked =
        Count == 1 ||
        std::any_of(Arguments + 1, Arguments + Count,
                    [&](const char *Asked) { return Section.first == Asked; });
    if (IsAsked)
      Section.second();
  }
  return 0;
}
