#include "pistachioflow/daemon/stream_history.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/explain/record_events.hpp"

namespace pistachioflow {

namespace {

constexpr Offset HistoryRecords = 5'000;
constexpr std::size_t PageRecords = 500;

explain::RecordFate toFate(const FoldedRecord &Folded) {
  explain::RecordFate Fate;
  Fate.Void = !Folded.Valid;
  for (std::size_t I = 0; I < Folded.Applied.size(); ++I) {
    if (!Folded.Applied[I])
      Fate.DroppedDecisions.push_back(I);
  }
  return Fate;
}

/// Returns where to begin so that at most HistoryRecords are read.
Result<Offset> firstOffset(LogService &Log, const StreamName &Stream) {
  const Result<LogPage> Page = Log.read(Stream, 0, 1);
  if (Page.has_value())
    return Page.value().Next > HistoryRecords
               ? std::max(Page.value().First,
                          Page.value().Next - HistoryRecords)
               : Page.value().First;
  if (Page.error().Code == ErrorCode::Expired)
    return Page.error().FirstOffset;
  return Page.error();
}

Result<std::vector<StreamRecord>> readRecords(LogService &Log,
                                              const StreamName &Stream) {
  BOOST_OUTCOME_TRY(From, firstOffset(Log, Stream));
  std::vector<StreamRecord> Records;
  while (true) {
    BOOST_OUTCOME_TRY(Page, Log.read(Stream, From, PageRecords));
    if (Page.Entries.empty())
      return Records;
    for (const LogEntry &Entry : Page.Entries) {
      Result<Record> Read = decodeRecord(Entry.Bytes);
      if (Read.has_value())
        Records.push_back({Entry.At, std::move(Read.value())});
    }
    From = Page.Entries.back().At + 1;
  }
}

void addEvents(std::vector<TimelineEvent> &Events,
               std::vector<TimelineEvent> Added) {
  for (TimelineEvent &Event : Added) {
    if (!explain::isRoutine(Event))
      Events.push_back(std::move(Event));
  }
}

/// Void where a record of a later epoch came before it.
bool comesTooLate(const Record &Value, Epoch &Highest) {
  if (Value.Header.AuthorEpoch == 0)
    return false;
  Highest = std::max(Highest, Value.Header.AuthorEpoch);
  return Value.Header.AuthorEpoch < Highest;
}

bool wasRefused(const ConfigState &State, const Record &Value) {
  const EditOutcome *Outcome = findEdit(State, Value.Header.Id);
  return Outcome != nullptr && Outcome->Why != ReasonCode::EditAccepted;
}

} // namespace

void StreamHistory::take(const StreamName &Stream, const StreamRecord &Read,
                         const FoldedRecord &Fate) {
  for (TimelineEvent &Event :
       explain::eventsOf(Read.What, Stream, Read.At, toFate(Fate))) {
    if (!explain::isRoutine(Event))
      this->Folded.add(std::move(Event));
  }
}

void StreamHistory::addFolded(const StreamName &Stream,
                              std::vector<TimelineEvent> &Events) const {
  for (TimelineEvent &Event : this->Folded.events()) {
    if (Event.Stream == Stream)
      Events.push_back(std::move(Event));
  }
}

Result<void> StreamHistory::read(const StreamName &Stream,
                                 std::vector<TimelineEvent> &Events) const {
  // What was folded comes first: a second copy of an event is dropped later,
  // and only the fold knows which decisions no longer fitted.
  this->addFolded(Stream, Events);
  BOOST_OUTCOME_TRY(Records, readRecords(this->Log, Stream));
  Epoch Highest = 0;
  for (const StreamRecord &Read : Records) {
    explain::RecordFate Fate;
    Fate.Void = comesTooLate(Read.What, Highest);
    addEvents(Events, explain::eventsOf(Read.What, Stream, Read.At, Fate));
  }
  return outcome::success();
}

Result<void>
StreamHistory::readConfig(const ConfigState &State,
                          std::vector<TimelineEvent> &Events) const {
  const StreamName Stream{"config"};
  BOOST_OUTCOME_TRY(Records, readRecords(this->Log, Stream));
  for (const StreamRecord &Read : Records) {
    explain::RecordFate Fate;
    Fate.Void = wasRefused(State, Read.What);
    addEvents(Events, explain::eventsOf(Read.What, Stream, Read.At, Fate));
  }
  return outcome::success();
}

} // namespace pistachioflow
