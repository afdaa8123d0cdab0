#include "pistachioflow/controller/stream.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

namespace {

constexpr std::size_t PageEntries = 512;

Error unavailable(std::string Message) {
  return Error{ErrorCode::Unavailable, std::move(Message), {}};
}

Error expired(Offset First) {
  return Error{
      ErrorCode::Expired, "no snapshot reaches the kept records", {}, First};
}

/// Remembers the id of the entry at Cursor.Next and moves on by one entry.
void pass(StreamCursor &Cursor, const RecordId &Id) {
  Cursor.Recent.push_back(Id);
  Cursor.RecentSet.insert(Id);
  ++Cursor.Next;
  if (Cursor.Recent.size() <= DuplicateWindow)
    return;
  Cursor.RecentSet.erase(Cursor.RecentSet.find(Cursor.Recent.front()));
  Cursor.Recent.pop_front();
}

/// Takes the entry at Cursor.Next into \p Batch. Returns false, and takes
/// nothing, where a later version of the program wrote it.
bool takeEntry(StreamBatch &Batch, StreamCursor &Cursor, Offset At,
               Result<Record> Decoded) {
  if (Decoded.has_error()) {
    if (Decoded.error().Code == ErrorCode::Unsupported)
      return false;
    ++Batch.Damaged;
    pass(Cursor, {});
    return true;
  }
  const RecordId Id = Decoded.value().Header.Id;
  if (!Cursor.RecentSet.contains(Id))
    Batch.Records.push_back({At, std::move(Decoded.value())});
  pass(Cursor, Id);
  return true;
}

/// Takes \p Entries, which start at Cursor.Next. What precedes an entry of a
/// later version is returned first; the next call then reports that entry.
Result<StreamBatch> takeEntries(std::span<const LogEntry> Entries,
                                StreamCursor &Cursor) {
  StreamBatch Batch;
  for (const LogEntry &Entry : Entries) {
    Result<Record> Decoded = decodeRecord(Entry.Bytes);
    const bool LaterVersion =
        Decoded.has_error() && Decoded.error().Code == ErrorCode::Unsupported;
    if (LaterVersion && Entry.At == Entries.front().At)
      return Decoded.error();
    if (!takeEntry(Batch, Cursor, Entry.At, std::move(Decoded)))
      return Batch;
  }
  return Batch;
}

bool isContiguous(const LogPage &Page, Offset From) {
  for (const LogEntry &Entry : Page.Entries) {
    if (Entry.At != From++)
      return false;
  }
  return true;
}

/// Reads a page and refuses one that would hide entries from the reader.
Result<LogPage> readPage(LogService &Log, const StreamName &Stream, Offset From,
                         std::size_t Limit) {
  BOOST_OUTCOME_TRY(Page, Log.read(Stream, From, Limit));
  if (Page.First > From)
    return Error{ErrorCode::Expired, "records expired", {}, Page.First};
  if (Page.Next < From)
    return unavailable("the log ends before what was read from it");
  if (!isContiguous(Page, From))
    return unavailable("the log left out entries");
  if (Page.Entries.empty() && Page.Next > From)
    return unavailable("the log withheld entries");
  return Page;
}

/// Finds the bounds of the kept part of a stream.
Result<LogPage> readBounds(LogService &Log, const StreamName &Stream) {
  Result<LogPage> Page = Log.read(Stream, 0, 1);
  if (Page.has_error() && Page.error().Code == ErrorCode::Expired)
    Page = Log.read(Stream, Page.error().FirstOffset, 1);
  return Page;
}

/// The end of a stream, read backwards from its last entry.
struct Tail {
  Offset First = 0; ///< The first offset that the log keeps.
  Offset Low = 0;   ///< The lowest offset that was read.
  std::vector<std::pair<Offset, Result<Record>>> Backwards;
};

Result<std::vector<LogEntry>>
readRange(LogService &Log, const StreamName &Stream, Offset From, Offset End) {
  std::vector<LogEntry> Entries;
  while (From < End) {
    BOOST_OUTCOME_TRY(Page, readPage(Log, Stream, From, End - From));
    if (Page.Entries.empty())
      return unavailable("the stream became shorter");
    From += Page.Entries.size();
    std::move(Page.Entries.begin(), Page.Entries.end(),
              std::back_inserter(Entries));
  }
  return Entries;
}

/// Reads the entries below Read.Low down to \p Floor.
Result<void> extendTail(LogService &Log, const StreamName &Stream, Tail &Read,
                        Offset Floor) {
  if (Floor >= Read.Low)
    return outcome::success();
  BOOST_OUTCOME_TRY(Entries, readRange(Log, Stream, Floor, Read.Low));
  for (auto Entry = Entries.rbegin(); Entry != Entries.rend(); ++Entry)
    Read.Backwards.emplace_back(Entry->At, decodeRecord(Entry->Bytes));
  Read.Low = Floor;
  return outcome::success();
}

Offset pageBelow(Offset Low, Offset First) {
  return Low - First > PageEntries ? Low - PageEntries : First;
}

/// Returns the snapshot in \p Entry if all records after it are still kept.
SnapshotTaken *usableSnapshot(std::pair<Offset, Result<Record>> &Entry,
                              Offset First) {
  if (Entry.second.has_error())
    return nullptr;
  auto *Snapshot = std::get_if<SnapshotTaken>(&Entry.second.value().What);
  if (!Snapshot || Snapshot->EndOffset < First ||
      Snapshot->EndOffset > Entry.first)
    return nullptr;
  return Snapshot;
}

/// Reads backwards until a usable snapshot is found; nullptr where none is.
Result<SnapshotTaken *> findSnapshot(LogService &Log, const StreamName &Stream,
                                     Tail &Read) {
  std::size_t Looked = 0;
  while (Read.Low > Read.First) {
    const Offset Floor = pageBelow(Read.Low, Read.First);
    BOOST_OUTCOME_TRY(extendTail(Log, Stream, Read, Floor));
    for (; Looked < Read.Backwards.size(); ++Looked) {
      if (auto *Found = usableSnapshot(Read.Backwards[Looked], Read.First))
        return Found;
    }
  }
  return nullptr;
}

/// Takes the entries of \p Read: those below \p Start only fill the window of
/// ids, the others go into \p Batch.
void takeTail(Tail Read, Offset Start, StreamCursor &Cursor,
              StreamBatch &Batch) {
  Cursor.Next = Read.Low;
  for (auto Entry = Read.Backwards.rbegin(); Entry != Read.Backwards.rend();
       ++Entry) {
    auto &[At, Decoded] = *Entry;
    if (At < Start) {
      pass(Cursor,
           Decoded.has_value() ? Decoded.value().Header.Id : RecordId{});
      continue;
    }
    if (!takeEntry(Batch, Cursor, At, std::move(Decoded)))
      return;
  }
  Batch.AtEnd = true;
}

Result<StreamBatch> restartOnce(LogService &Log, StreamCursor &Cursor) {
  BOOST_OUTCOME_TRY(Bounds, readBounds(Log, Cursor.Stream));
  if (Bounds.Next < Cursor.Next)
    return unavailable("the log ends before what was read from it");
  Tail Read{Bounds.First, Bounds.Next, {}};
  BOOST_OUTCOME_TRY(Found, findSnapshot(Log, Cursor.Stream, Read));
  if (!Found && Read.First > 0)
    return expired(Read.First);
  StreamBatch Batch;
  Batch.Restarted = true;
  const Offset Start = Found ? Found->EndOffset : 0;
  if (Found)
    Batch.Snapshot = Found->State;
  const Offset Window = std::min<Offset>(Start - Read.First, DuplicateWindow);
  BOOST_OUTCOME_TRY(extendTail(Log, Cursor.Stream, Read, Start - Window));
  StreamCursor Fresh;
  Fresh.Stream = Cursor.Stream;
  Fresh.Started = true;
  takeTail(std::move(Read), Start, Fresh, Batch);
  Cursor = std::move(Fresh);
  return Batch;
}

/// Restarts from the latest snapshot. Entries that expire meanwhile make it
/// start over.
Result<StreamBatch> restart(LogService &Log, StreamCursor &Cursor) {
  constexpr int Attempts = 3;
  Result<StreamBatch> Batch = restartOnce(Log, Cursor);
  for (int Try = 1; Try < Attempts; ++Try) {
    if (Batch.has_value() || Batch.error().Code != ErrorCode::Expired)
      break;
    Batch = restartOnce(Log, Cursor);
  }
  return Batch;
}

enum class Presence { Present, Absent, CannotTell };

Presence findRecord(LogService &Log, const StreamName &Stream,
                    const RecordId &Id, Offset From) {
  while (true) {
    const Result<LogPage> Page = readPage(Log, Stream, From, PageEntries);
    if (Page.has_error())
      return Presence::CannotTell;
    if (Page.value().Entries.empty())
      return Presence::Absent;
    for (const LogEntry &Entry : Page.value().Entries) {
      const Result<Record> Decoded = decodeRecord(Entry.Bytes);
      if (Decoded.has_value() && Decoded.value().Header.Id == Id)
        return Presence::Present;
    }
    From += Page.value().Entries.size();
  }
}

bool mayHaveTakenEffect(const Error &Failure) {
  return Failure.Code == ErrorCode::UnknownOutcome ||
         Failure.Code == ErrorCode::DeadlineExceeded;
}

} // namespace

Result<StreamBatch> readNew(LogService &Log, StreamCursor &Cursor) {
  if (!Cursor.Started)
    return restart(Log, Cursor);
  Result<LogPage> Page = readPage(Log, Cursor.Stream, Cursor.Next, PageEntries);
  if (Page.has_error() && Page.error().Code == ErrorCode::Expired)
    return restart(Log, Cursor);
  if (Page.has_error())
    return Page.error();
  BOOST_OUTCOME_TRY(Batch, takeEntries(Page.value().Entries, Cursor));
  Batch.AtEnd = Cursor.Next == Page.value().Next;
  return std::move(Batch);
}

Result<StreamBatch> readForwarded(std::span<const LogEntry> Entries,
                                  StreamCursor &Cursor) {
  while (!Entries.empty() && Entries.front().At < Cursor.Next)
    Entries = Entries.subspan(1);
  std::size_t Contiguous = 0;
  while (Contiguous < Entries.size() &&
         Entries[Contiguous].At == Cursor.Next + Contiguous)
    ++Contiguous;
  return takeEntries(Entries.first(Contiguous), Cursor);
}

RecordId RecordIdSource::next() {
  // Short enough for the string's own buffer, so that an id needs no heap.
  constexpr std::size_t Letters = 15;
  constexpr std::size_t LettersPerDraw = 8;
  constexpr unsigned BitsPerLetter = 6;
  constexpr std::string_view Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789-_";
  std::string Text;
  std::uint64_t Draw = 0;
  for (std::size_t At = 0; At < Letters; ++At) {
    if (At % LettersPerDraw == 0)
      Draw = this->Generator();
    Text += Alphabet[Draw % Alphabet.size()];
    Draw >>= BitsPerLetter;
  }
  return {Text};
}

AppendState appendOrConfirm(LogService &Log, const StreamName &Stream,
                            const Record &Value, Offset From,
                            bool MayBeInStream) {
  constexpr int Attempts = 3;
  const std::string Bytes = encodeRecord(Value);
  for (int Try = 0; Try < Attempts; ++Try) {
    if (MayBeInStream) {
      const Presence Found = findRecord(Log, Stream, Value.Header.Id, From);
      if (Found == Presence::Present)
        return AppendState::InStream;
      if (Found == Presence::CannotTell)
        return AppendState::Unknown;
    }
    const Result<Offset> Appended = Log.append(Stream, Bytes);
    if (Appended.has_value())
      return AppendState::InStream;
    if (!mayHaveTakenEffect(Appended.error()))
      return MayBeInStream ? AppendState::Unknown : AppendState::NotInStream;
    MayBeInStream = true;
  }
  const Presence Found = findRecord(Log, Stream, Value.Header.Id, From);
  return Found == Presence::Present ? AppendState::InStream
                                    : AppendState::Unknown;
}

} // namespace pistachioflow
