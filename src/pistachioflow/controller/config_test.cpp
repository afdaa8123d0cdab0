#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

#include "pistachioflow/controller/config.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

std::vector<LimitsEntry> gold(std::uint32_t Ceiling) {
  return {{{"gold"}, {}, Ceiling, 1, false, 0, 0}};
}

LimitsEdited limitsEdit(Revision BasedOn, std::uint32_t Ceiling,
                        const std::string &Operator = "operator-1") {
  return {BasedOn, gold(Ceiling), Operator};
}

PlansEdited plansEdit(Revision BasedOn, const std::string &Plan) {
  return {BasedOn, {{{"chess"}, {Plan}}}, "operator-1"};
}

Record edit(const std::string &Id, Payload What) {
  return {{RecordVersion, {Id}, {"instance-1"}, 0, {0}}, std::move(What)};
}

struct Instance {
  explicit Instance(LogService &Log, std::uint64_t Seed = 1,
                    ConfigSettings Settings = {}, ListsCheck Check = {})
      : Config(Log, Time, {"instance-" + std::to_string(Seed)}, Seed, Settings,
               std::move(Check)) {}

  ManualClock Time;
  ConfigController Config;
};

std::uint32_t ceilingOf(const Instance &On) {
  const Lists Now = On.Config.lists();
  return Now.Limits.Entries.empty()
             ? 0
             : Now.Limits.Entries.front().CeilingAccelerators;
}

} // namespace

TEST_CASE("the fold accepts an edit only on the last revision") {
  struct Case {
    const char *Name;
    Payload What;
    ReasonCode Why;
    Revision Last;
  };
  const auto Given = GENERATE(values<Case>({
      {"on the last", limitsEdit(2, 9), ReasonCode::EditAccepted, 3},
      {"on an older one", limitsEdit(1, 9), ReasonCode::EditRefusedStale, 2},
      {"on a later one", limitsEdit(3, 9), ReasonCode::EditRefusedStale, 2},
      {"without the plan in use", LimitsEdited{2, {}, "operator-1"},
       ReasonCode::EditRefusedInvalid, 2},
      {"to an unknown plan", plansEdit(1, "lead"),
       ReasonCode::EditRefusedInvalid, 1},
      {"to a known plan", plansEdit(1, "gold"), ReasonCode::EditAccepted, 2},
  }));
  INFO(Given.Name);
  ConfigState State;
  foldConfig(State, edit("a", limitsEdit(0, 1)));
  foldConfig(State, edit("b", limitsEdit(1, 2)));
  foldConfig(State, edit("c", plansEdit(0, "gold")));
  foldConfig(State, edit("x", Given.What));
  const EditOutcome *Outcome = findEdit(State, {"x"});
  REQUIRE(Outcome);
  CHECK(Outcome->Why == Given.Why);
  CHECK(Outcome->Last == Given.Last);
  const ConfigState Before = State;
  foldConfig(State, edit("x", Given.What));
  CHECK(encodeConfig(State) == encodeConfig(Before));
}

TEST_CASE("a stale edit is told of both revisions and of who won") {
  ConfigState State;
  foldConfig(State, edit("a", limitsEdit(0, 1, "winner")));
  foldConfig(State, edit("b", limitsEdit(0, 2, "other")));
  const Result<Revision> Told = toResult(*findEdit(State, {"b"}));
  REQUIRE(Told.has_error());
  CHECK(Told.error().Code == ErrorCode::StaleRevision);
  CHECK(Told.error().Message.find("winner") != std::string::npos);
  REQUIRE(Told.error().Details.size() == 1);
  CHECK(Told.error().Details.front().Expected == "1");
  CHECK(Told.error().Details.front().Found == "0");
}

TEST_CASE("the edits that are remembered are bounded") {
  ConfigState State;
  for (Revision At = 0; At < 2 * RememberedEdits; ++At)
    foldConfig(State, edit("e" + std::to_string(At), limitsEdit(At, 1)));
  CHECK(State.Edits.size() == RememberedEdits);
  CHECK(State.Now.Limits.At == 2 * RememberedEdits);
}

TEST_CASE("a snapshot of the configuration comes back whole or not at all") {
  ConfigState State;
  foldConfig(State, edit("a", limitsEdit(0, 7)));
  const std::vector<char> Bytes = encodeConfig(State);
  const ConfigState Back = decodeConfig(Bytes).value();
  CHECK(encodeConfig(Back) == Bytes);
  for (std::size_t Length = 1; Length < Bytes.size(); ++Length) {
    const Result<ConfigState> Cut =
        decodeConfig({Bytes.begin(), Bytes.begin() + Length});
    REQUIRE(Cut.has_error());
    CHECK(Cut.error().Code == ErrorCode::InvalidInput);
  }
  std::vector<char> Later = Bytes;
  Later.front() = 100;
  CHECK(decodeConfig(Later).error().Code == ErrorCode::Unsupported);
}

TEST_CASE("new work is taken until the bound has passed") {
  const auto [Now, Takes] = GENERATE(table<Instant, bool>(
      {{{1'000}, true}, {{8'999}, true}, {{9'000}, false}}));
  CHECK(mayTakeNewWork({1'000}, {8'000}, Now) == Takes);
}

TEST_CASE("an accepted edit is in force everywhere after one read") {
  MemoryLog Log;
  Instance First(Log, 1);
  Instance Second(Log, 2);
  CHECK(First.Config.editLimits(limitsEdit(0, 5), {}).value() == 1);
  CHECK(First.Config.editPlans(plansEdit(0, "gold"), {}).value() == 1);
  CHECK(ceilingOf(Second) == 0);
  REQUIRE(Second.Config.refresh().has_value());
  CHECK(ceilingOf(Second) == 5);
  CHECK(Second.Config.progress().Limits == 1);
  Instance Restarted(Log, 3);
  REQUIRE(Restarted.Config.refresh().has_value());
  CHECK(ceilingOf(Restarted) == 5);
}

TEST_CASE("an edit that cannot stand is refused before it is appended") {
  struct Case {
    const char *Name;
    Revision BasedOn;
    std::uint32_t Ceiling;
    ErrorCode Code;
  };
  const auto Given = GENERATE(values<Case>({
      {"stale", 4, 5, ErrorCode::StaleRevision},
      {"invalid", 0, 5, ErrorCode::InvalidInput},
      {"refused by the check", 0, 99, ErrorCode::Refused},
  }));
  INFO(Given.Name);
  MemoryLog Log;
  Instance Node(Log, 1, {}, [](const Lists &After) {
    return After.Limits.Entries.front().CeilingAccelerators > 50
               ? Findings{{"limits[0]", "at most 50", "more"}}
               : Findings{};
  });
  LimitsEdited Edit = limitsEdit(Given.BasedOn, Given.Ceiling);
  if (Given.Code == ErrorCode::InvalidInput)
    Edit.Entries.front().Weight = 0;
  const Result<Revision> Told = Node.Config.editLimits(Edit, {});
  REQUIRE(Told.has_error());
  CHECK(Told.error().Code == Given.Code);
  CHECK_FALSE(Told.error().Details.empty());
  CHECK(Log.read(configStream(), 0, 10).value().Entries.empty());
}

TEST_CASE("of racing edits one wins and every other is told why") {
  MemoryLog Log;
  constexpr int Racers = 8;
  std::vector<Result<Revision>> Told(Racers, Result<Revision>(Revision{0}));
  std::vector<std::thread> Threads;
  for (int Racer = 0; Racer < Racers; ++Racer)
    Threads.emplace_back([&Log, &Told, Racer] {
      Instance Node(Log, 1 + Racer);
      Told[Racer] = Node.Config.editLimits(limitsEdit(0, 1 + Racer), {});
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  int Winner = -1;
  for (int Racer = 0; Racer < Racers; ++Racer) {
    if (Told[Racer].has_value()) {
      CHECK(Winner == -1);
      Winner = Racer;
      continue;
    }
    CHECK(Told[Racer].error().Code == ErrorCode::StaleRevision);
  }
  REQUIRE(Winner != -1);
  Instance Reader(Log, 100);
  REQUIRE(Reader.Config.refresh().has_value());
  CHECK(ceilingOf(Reader) == static_cast<std::uint32_t>(1 + Winner));
}

TEST_CASE("an edit with a lost answer can be repeated and counts once") {
  MemoryLog Log;
  Instance Node(Log, 1);
  REQUIRE(Node.Config.refresh().has_value());
  int Call = 0;
  // The read before it succeeds, its answer is lost, and then the log is down.
  Log.setFaults([&Call] {
    ++Call;
    return Call == 1 ? LogFault::None
                     : (Call == 2 ? LogFault::LostAnswer : LogFault::Down);
  });
  const RecordId Id{"edit-1"};
  const Result<Revision> Told = Node.Config.editLimits(limitsEdit(0, 5), Id);
  REQUIRE(Told.has_error());
  CHECK(Told.error().Code == ErrorCode::UnknownOutcome);
  Log.setFaults({});
  const bool Elsewhere = GENERATE(true, false);
  Instance Other(Log, 2);
  Instance &Again = Elsewhere ? Other : Node;
  CHECK(Again.Config.editLimits(limitsEdit(0, 5), Id).value() == 1);
  CHECK(Again.Config.lists().Limits.At == 1);
  CHECK(Log.read(configStream(), 0, 10).value().Entries.size() == 1);
}

TEST_CASE("with the log down an edit surely has no effect") {
  MemoryLog Log;
  Instance Node(Log, 1);
  REQUIRE(Node.Config.editLimits(limitsEdit(0, 5), {}).has_value());
  Log.setFaults([] { return LogFault::Down; });
  const Result<Revision> Told = Node.Config.editLimits(limitsEdit(1, 6), {});
  REQUIRE(Told.has_error());
  CHECK(Told.error().Code == ErrorCode::Unavailable);
  CHECK(ceilingOf(Node) == 5);
  CHECK_FALSE(Node.Config.progress().LogReachable);
}

TEST_CASE("a cut off instance lives on what a peer forwards") {
  MemoryLog Log;
  MemoryLog OwnView;
  Instance Node(OwnView, 1);
  Instance Peer(Log, 2);
  REQUIRE(Node.Config.refresh().has_value());
  REQUIRE(Peer.Config.editLimits(limitsEdit(0, 5), {}).has_value());
  REQUIRE(Peer.Config.editLimits(limitsEdit(1, 6), {}).has_value());
  OwnView.setFaults([] { return LogFault::Down; });
  Node.Time.advance({10'000});
  CHECK(Node.Config.refresh().has_error());
  CHECK_FALSE(Node.Config.mayTakeNewWork());

  const Instant AskedAt = Node.Time.monotonic();
  const Offset From = Node.Config.progress().Next;
  auto Entries = Peer.Config.entriesFrom(From, 10'000);
  REQUIRE(Entries.size() == 2);
  // A gap is not taken, and being behind is not being in touch.
  Node.Config.takeForwarded({Entries.back()}, 2, AskedAt);
  CHECK(ceilingOf(Node) == 0);
  CHECK_FALSE(Node.Config.mayTakeNewWork());
  Node.Config.takeForwarded({Entries.front()}, 2, AskedAt);
  CHECK(ceilingOf(Node) == 5);
  CHECK_FALSE(Node.Config.mayTakeNewWork());
  Node.Config.takeForwarded(Entries, 2, AskedAt);
  CHECK(ceilingOf(Node) == 6);
  CHECK(Node.Config.mayTakeNewWork());
  Node.Time.advance({8'000});
  CHECK_FALSE(Node.Config.mayTakeNewWork());
}

TEST_CASE("an instance that never read the stream takes nothing from peers") {
  MemoryLog Log;
  Log.setFaults([] { return LogFault::Down; });
  Instance Node(Log, 1);
  CHECK(Node.Config.refresh().has_error());
  Node.Config.takeForwarded({{0, encodeRecord(edit("a", limitsEdit(0, 5)))}}, 1,
                            {0});
  CHECK(ceilingOf(Node) == 0);
  CHECK_FALSE(Node.Config.mayTakeNewWork());
}

TEST_CASE("snapshots keep the lists beyond the retention of the log") {
  MemoryLog Log;
  ConfigSettings Settings;
  Settings.SnapshotAfterRecords = 20;
  Instance Low(Log, 1, Settings);
  Instance High(Log, 2, Settings);
  constexpr Revision Edits = 200;
  for (Revision At = 0; At < Edits; ++At) {
    REQUIRE(Low.Config.editLimits(limitsEdit(At, 1 + At % 50), {}).has_value());
    REQUIRE(Low.Config.snapshotIfDue(0).has_value());
    REQUIRE(High.Config.refresh().has_value());
    REQUIRE(High.Config.snapshotIfDue(1).has_value());
    const Offset Next = Low.Config.progress().Next;
    if (Next > 40)
      Log.expireBelow(configStream(), Next - 40);
  }
  Log.setRetention(40);
  REQUIRE(Low.Config.mapCells({{{{"domain-1"}, {"cell-1"}}}}).has_value());
  CHECK(Low.Config.state()->Owner.Owner == InstanceId{"instance-1"});
  Instance Restarted(Log, 3, Settings);
  REQUIRE(Restarted.Config.refresh().has_value());
  REQUIRE(High.Config.refresh().has_value());
  CHECK(encodeConfig(*Restarted.Config.state()) ==
        encodeConfig(*High.Config.state()));
  CHECK(Restarted.Config.lists().Limits.At == Edits);
}

TEST_CASE("a quiet stream is snapshot again before the log drops it") {
  MemoryLog Log;
  Instance Node(Log, 1);
  REQUIRE(Node.Config.editLimits(limitsEdit(0, 5), {}).has_value());
  REQUIRE(Node.Config.snapshotIfDue(0).has_value());
  CHECK(Log.read(configStream(), 0, 10).value().Entries.size() == 1);
  for (int Round = 1; Round <= 3; ++Round) {
    Node.Time.advance(ConfigSettings().SnapshotAfter);
    REQUIRE(Node.Config.snapshotIfDue(0).has_value());
    const Offset Next = 1 + 2 * Round;
    Log.expireBelow(configStream(), Next - 1);
    Instance Restarted(Log, 2);
    REQUIRE(Restarted.Config.refresh().has_value());
    CHECK(ceilingOf(Restarted) == 5);
  }
}

TEST_CASE("a log that shows older lists never takes those in force back") {
  MemoryLog Log;
  MemoryLog Wiped;
  struct Switching final : LogService {
    LogService *To = nullptr;
    Result<Offset> append(const StreamName &Name,
                          std::string_view Bytes) override {
      return this->To->append(Name, Bytes);
    }
    Result<LogPage> read(const StreamName &Name, Offset From,
                         std::size_t Limit) override {
      return this->To->read(Name, From, Limit);
    }
  } Either;
  Either.To = &Log;
  Instance Node(Either, 1);
  REQUIRE(Node.Config.editLimits(limitsEdit(0, 5), {}).has_value());
  Either.To = &Wiped;
  CHECK(Node.Config.refresh().has_error());
  for (int Entry = 0; Entry < 3; ++Entry)
    REQUIRE(Wiped.append(configStream(), "\xc0").has_value());
  Wiped.expireBelow(configStream(), 2);
  CHECK(Node.Config.refresh().has_error());
  CHECK(ceilingOf(Node) == 5);
}
