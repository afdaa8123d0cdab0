#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <utility>

#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

const StreamName Stream{"cell/a"};

Record renewal(const std::string &Id) {
  return {{RecordVersion, {Id}, {"instance-1"}, 1, {0}}, OwnerRenewed{}};
}

Record snapshot(const std::string &Id, Offset UpTo) {
  const std::string State = "state-" + std::to_string(UpTo);
  return {{RecordVersion, {Id}, {"instance-1"}, 1, {0}},
          SnapshotTaken{UpTo, {State.begin(), State.end()}}};
}

void append(MemoryLog &Log, const Record &Value) {
  REQUIRE(Log.append(Stream, encodeRecord(Value)).has_value());
}

void appendRenewals(MemoryLog &Log, int From, int End) {
  for (int Number = From; Number < End; ++Number)
    append(Log, renewal("r" + std::to_string(Number)));
}

StreamCursor freshCursor() {
  StreamCursor Cursor;
  Cursor.Stream = Stream;
  return Cursor;
}

/// Reads up to the end and returns everything in one batch.
StreamBatch readAll(LogService &Log, StreamCursor &Cursor) {
  StreamBatch All;
  while (!All.AtEnd) {
    StreamBatch Next = readNew(Log, Cursor).value();
    if (Next.Restarted)
      All = {};
    All.Restarted |= Next.Restarted;
    if (Next.Restarted)
      All.Snapshot = Next.Snapshot;
    All.AtEnd = Next.AtEnd;
    All.Damaged += Next.Damaged;
    std::move(Next.Records.begin(), Next.Records.end(),
              std::back_inserter(All.Records));
  }
  return All;
}

std::string text(const std::vector<char> &Bytes) {
  return {Bytes.begin(), Bytes.end()};
}

/// Passes calls on to a MemoryLog and lets a test change what comes back.
class ShapedLog final : public LogService {
public:
  Result<Offset> append(const StreamName &Name,
                        std::string_view Bytes) override {
    return this->Inner.append(Name, Bytes);
  }
  Result<LogPage> read(const StreamName &Name, Offset From,
                       std::size_t Limit) override {
    Result<LogPage> Page = this->Inner.read(Name, From, Limit);
    if (Page.has_value() && this->Shape)
      this->Shape(Page.value());
    return Page;
  }

  MemoryLog Inner;
  std::function<void(LogPage &)> Shape;
};

/// Holds an append back: its sender gets no answer, and it takes effect later.
class DelayingLog final : public LogService {
public:
  Result<Offset> append(const StreamName &Name,
                        std::string_view Bytes) override {
    ++this->Appends;
    if (std::exchange(this->DelayNext, false)) {
      this->Delayed = Bytes;
      return Error{ErrorCode::UnknownOutcome, "no answer", {}};
    }
    return this->Inner.append(Name, Bytes);
  }
  Result<LogPage> read(const StreamName &Name, Offset From,
                       std::size_t Limit) override {
    return this->Inner.read(Name, From, Limit);
  }

  MemoryLog Inner;
  bool DelayNext = true;
  std::string Delayed;
  int Appends = 0;
};

} // namespace

TEST_CASE("a new reader of an empty stream restarts with nothing") {
  MemoryLog Log;
  StreamCursor Cursor = freshCursor();
  const StreamBatch Batch = readNew(Log, Cursor).value();
  CHECK(Batch.Restarted);
  CHECK(Batch.AtEnd);
  CHECK(Batch.Records.empty());
  CHECK_FALSE(readNew(Log, Cursor).value().Restarted);
}

TEST_CASE("second copies of a record are dropped") {
  MemoryLog Log;
  StreamCursor Cursor = freshCursor();
  append(Log, renewal("a"));
  append(Log, renewal("b"));
  append(Log, renewal("a"));
  CHECK(readAll(Log, Cursor).Records.size() == 2);
  append(Log, renewal("b"));
  append(Log, renewal("c"));
  const StreamBatch Batch = readNew(Log, Cursor).value();
  REQUIRE(Batch.Records.size() == 1);
  CHECK(Batch.Records.front().At == 4);
  CHECK(Cursor.Next == 5);
}

TEST_CASE("the ids that are kept are bounded") {
  MemoryLog Log;
  StreamCursor Cursor = freshCursor();
  appendRenewals(Log, 0, 3 * static_cast<int>(DuplicateWindow));
  CHECK(readAll(Log, Cursor).Records.size() == 3 * DuplicateWindow);
  CHECK(Cursor.Recent.size() == DuplicateWindow);
  CHECK(Cursor.RecentSet.size() == DuplicateWindow);
}

TEST_CASE("a reader restarts from the latest snapshot that is of use") {
  struct Case {
    const char *Name;
    std::vector<Offset> SnapshotsUpTo; ///< Appended after ten records.
    Offset Expired;
    std::string Snapshot;
    std::size_t Records; ///< From the snapshot on, snapshots included.
  };
  const auto Given = GENERATE(values<Case>({
      {"no snapshot, nothing expired", {}, 0, "", 10},
      {"snapshot, nothing expired", {8}, 0, "state-8", 3},
      {"snapshot up to the first kept", {8}, 8, "state-8", 3},
      {"the later of two", {4, 9}, 2, "state-9", 3},
      {"an older one was appended later", {9, 4}, 2, "state-4", 8},
      {"the older one reaches below", {9, 4}, 6, "state-9", 3},
  }));
  INFO(Given.Name);
  MemoryLog Log;
  appendRenewals(Log, 0, 10);
  for (const Offset UpTo : Given.SnapshotsUpTo)
    append(Log, snapshot("s" + std::to_string(UpTo), UpTo));
  Log.expireBelow(Stream, Given.Expired);
  StreamCursor Cursor = freshCursor();
  const StreamBatch Batch = readAll(Log, Cursor);
  CHECK(Batch.Restarted);
  CHECK(text(Batch.Snapshot) == Given.Snapshot);
  CHECK(Batch.Records.size() == Given.Records);
  CHECK(Cursor.Next == 10 + Given.SnapshotsUpTo.size());
}

TEST_CASE("expired records without a snapshot are a typed error") {
  const bool IsFresh = GENERATE(true, false);
  MemoryLog Log;
  appendRenewals(Log, 0, 10);
  StreamCursor Cursor = freshCursor();
  if (!IsFresh)
    readAll(Log, Cursor);
  appendRenewals(Log, 10, 20);
  append(Log, snapshot("s", 14));
  Log.expireBelow(Stream, 15);
  const Offset Before = Cursor.Next;
  const Result<StreamBatch> Batch = readNew(Log, Cursor);
  REQUIRE(Batch.has_error());
  CHECK(Batch.error().Code == ErrorCode::Expired);
  CHECK(Batch.error().FirstOffset == 15);
  CHECK(Cursor.Next == Before);
}

TEST_CASE("a reader that was away too long restarts from a snapshot") {
  MemoryLog Log;
  appendRenewals(Log, 0, 10);
  StreamCursor Cursor = freshCursor();
  readAll(Log, Cursor);
  appendRenewals(Log, 10, 2'000);
  append(Log, snapshot("s", 1'990));
  Log.expireBelow(Stream, 1'500);
  const StreamBatch Batch = readAll(Log, Cursor);
  CHECK(Batch.Restarted);
  CHECK(text(Batch.Snapshot) == "state-1990");
  CHECK(Batch.Records.front().At == 1'990);
}

TEST_CASE("a restarted reader drops the same copies as one that never was") {
  const Offset UpTo = GENERATE(5, 700, 1'024, 1'500, 3'000);
  MemoryLog Log;
  StreamCursor Steady = freshCursor();
  readAll(Log, Steady);
  appendRenewals(Log, 0, 3'000);
  append(Log, snapshot("s", UpTo));
  readAll(Log, Steady);
  StreamCursor Restarted = freshCursor();
  REQUIRE(readAll(Log, Restarted).Restarted);
  CHECK(Restarted.Recent == Steady.Recent);
  appendRenewals(Log, 2'950, 3'050);
  CHECK(readAll(Log, Steady).Records.size() == 50);
  CHECK(readAll(Log, Restarted).Records.size() == 50);
}

TEST_CASE("a damaged entry is skipped and counted by every reader") {
  MemoryLog Log;
  append(Log, renewal("a"));
  REQUIRE(Log.append(Stream, "\xc1 not a record").has_value());
  append(Log, renewal("b"));
  StreamCursor Cursor = freshCursor();
  const StreamBatch Batch = readAll(Log, Cursor);
  CHECK(Batch.Damaged == 1);
  CHECK(Batch.Records.size() == 2);
}

TEST_CASE("a record of a later version stops the reader in front of it") {
  const bool IsFresh = GENERATE(true, false);
  MemoryLog Log;
  StreamCursor Cursor = freshCursor();
  if (!IsFresh)
    readAll(Log, Cursor);
  append(Log, renewal("a"));
  Record Later = renewal("b");
  Later.Header.Version = RecordVersion + 1;
  append(Log, Later);
  append(Log, renewal("c"));
  const StreamBatch Batch = readNew(Log, Cursor).value();
  CHECK(Batch.Records.size() == 1);
  CHECK_FALSE(Batch.AtEnd);
  for (int Try = 0; Try < 2; ++Try) {
    const Result<StreamBatch> Next = readNew(Log, Cursor);
    REQUIRE(Next.has_error());
    CHECK(Next.error().Code == ErrorCode::Unsupported);
    CHECK(Cursor.Next == 1);
  }
}

TEST_CASE("a log that hides entries is never believed") {
  struct Case {
    const char *Name;
    std::function<void(LogPage &)> Shape;
  };
  const auto Given = GENERATE(values<Case>({
      {"leaves out one",
       [](LogPage &Page) { Page.Entries.erase(Page.Entries.begin() + 1); }},
      {"starts late",
       [](LogPage &Page) { Page.Entries.erase(Page.Entries.begin()); }},
      {"says nothing", [](LogPage &Page) { Page.Entries.clear(); }},
      {"went back",
       [](LogPage &Page) {
         Page = LogPage{{}, 0, 2};
       }},
  }));
  INFO(Given.Name);
  ShapedLog Log;
  appendRenewals(Log.Inner, 0, 5);
  StreamCursor Cursor = freshCursor();
  readAll(Log, Cursor);
  appendRenewals(Log.Inner, 5, 10);
  Log.Shape = Given.Shape;
  const Result<StreamBatch> Batch = readNew(Log, Cursor);
  REQUIRE(Batch.has_error());
  CHECK(Batch.error().Code == ErrorCode::Unavailable);
  CHECK(Cursor.Next == 5);
  Log.Shape = nullptr;
  CHECK(readAll(Log, Cursor).Records.size() == 5);
}

TEST_CASE("forwarded entries are taken only without a gap") {
  struct Case {
    const char *Name;
    std::vector<Offset> Offsets;
    Offset Next;
  };
  const auto Given = GENERATE(values<Case>({
      {"the next ones", {3, 4}, 5},
      {"some known already", {1, 2, 3, 4}, 5},
      {"a gap in front", {4, 5}, 3},
      {"a gap inside", {3, 5, 6}, 4},
      {"only known ones", {0, 1}, 3},
      {"none", {}, 3},
      {"out of order", {4, 3}, 3},
  }));
  INFO(Given.Name);
  MemoryLog Log;
  appendRenewals(Log, 0, 3);
  StreamCursor Cursor = freshCursor();
  readAll(Log, Cursor);
  std::vector<LogEntry> Entries;
  for (const Offset At : Given.Offsets)
    Entries.push_back({At, encodeRecord(renewal("r" + std::to_string(At)))});
  const StreamBatch Batch = readForwarded(Entries, Cursor).value();
  CHECK(Cursor.Next == Given.Next);
  CHECK(Batch.Records.size() == Given.Next - 3);
  CHECK_FALSE(Batch.AtEnd);
}

TEST_CASE("record ids differ and depend on the seed alone") {
  RecordIdSource One(1);
  RecordIdSource Same(1);
  RecordIdSource Other(2);
  std::unordered_set<RecordId> Seen;
  for (int Draw = 0; Draw < 1'000; ++Draw) {
    const RecordId Id = One.next();
    CHECK(Id == Same.next());
    CHECK(Seen.insert(Id).second);
    CHECK(Seen.insert(Other.next()).second);
  }
}

TEST_CASE("an append is confirmed or surely absent") {
  struct Case {
    const char *Name;
    std::vector<LogFault> Faults; ///< Of the calls in order; none after them.
    AppendState State;
    std::size_t Copies;
  };
  using enum LogFault;
  const auto Given = GENERATE(values<Case>({
      {"well", {}, AppendState::InStream, 1},
      {"down", {Down}, AppendState::NotInStream, 0},
      {"answer lost", {LostAnswer}, AppendState::InStream, 1},
      {"answer lost, then down", {LostAnswer, Down}, AppendState::Unknown, 1},
  }));
  INFO(Given.Name);
  MemoryLog Log;
  appendRenewals(Log, 0, 3);
  std::size_t Call = 0;
  Log.setFaults([&Call, &Given] {
    return Call < Given.Faults.size() ? Given.Faults[Call++] : None;
  });
  CHECK(appendOrConfirm(Log, Stream, renewal("x"), 3) == Given.State);
  CHECK(Log.read(Stream, 3, 10).value().Entries.size() == Given.Copies);
}

TEST_CASE("a repeated call after an unknown end appends no second copy") {
  const Offset From = GENERATE(0, 3);
  MemoryLog Log;
  appendRenewals(Log, 0, 3);
  int Call = 0;
  Log.setFaults([&Call] {
    ++Call;
    return Call == 1 ? LogFault::LostAnswer
                     : (Call == 2 ? LogFault::Down : LogFault::None);
  });
  REQUIRE(appendOrConfirm(Log, Stream, renewal("x"), From) ==
          AppendState::Unknown);
  CHECK(appendOrConfirm(Log, Stream, renewal("x"), From, true) ==
        AppendState::InStream);
  CHECK(Log.read(Stream, 0, 10).value().Entries.size() == 4);
}

TEST_CASE("a copy that arrives late is not effective a second time") {
  DelayingLog Log;
  StreamCursor Cursor = freshCursor();
  CHECK(appendOrConfirm(Log, Stream, renewal("x"), 0) == AppendState::InStream);
  CHECK(Log.Appends == 2);
  REQUIRE(Log.Inner.append(Stream, Log.Delayed).has_value());
  CHECK(Log.Inner.read(Stream, 0, 10).value().Entries.size() == 2);
  CHECK(readAll(Log, Cursor).Records.size() == 1);
}

TEST_CASE("an append whose stream expired meanwhile ends unknown") {
  MemoryLog Log;
  appendRenewals(Log, 0, 20);
  Log.expireBelow(Stream, 15);
  CHECK(appendOrConfirm(Log, Stream, renewal("x"), 3, true) ==
        AppendState::Unknown);
  CHECK(Log.read(Stream, 15, 10).value().Entries.size() == 5);
}
