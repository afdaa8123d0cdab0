#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "pistachioflow/controller/cell_fold.hpp"
#include "pistachioflow/controller/config_fold.hpp"
#include "pistachioflow/controller/event_journal.hpp"
#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/model/timeline.hpp"
#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

/// The events of the streams of one instance: those that it folded, held in
/// bounded memory, and older ones, read from the log when they are asked for.
///
/// Thread safety: every method may be called from any thread.
class StreamHistory {
public:
  /// \p Log must outlive the history.
  StreamHistory(LogService &Log, std::size_t Capacity)
      : Log(Log), Folded(Capacity) {}

  /// Takes a record of a cell's stream as it is folded.
  void take(const StreamName &Stream, const StreamRecord &Read,
            const FoldedRecord &Fate);

  /// Adds the events of \p Stream to \p Events: those that the log still keeps,
  /// at most the last HistoryRecords records of it.
  /// Errors: Unavailable; the events that are held in memory are added.
  Result<void> read(const StreamName &Stream,
                    std::vector<TimelineEvent> &Events) const;

  /// Adds the events of the configuration stream; \p State tells which edits
  /// were accepted. Errors: as read.
  Result<void> readConfig(const ConfigState &State,
                          std::vector<TimelineEvent> &Events) const;

  /// Returns how many folded events were dropped from memory.
  std::uint64_t dropped() const { return this->Folded.dropped(); }

private:
  void addFolded(const StreamName &Stream,
                 std::vector<TimelineEvent> &Events) const;

  LogService &Log;
  EventJournal Folded;
};

} // namespace pistachioflow
