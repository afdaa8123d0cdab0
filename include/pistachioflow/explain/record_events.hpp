#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pistachioflow/model/record.hpp"
#include "pistachioflow/model/timeline.hpp"

namespace pistachioflow::explain {

/// What the fold of its stream made of a record.
struct RecordFate {
  /// The fold ignored the whole record: a stale epoch, a claim that came
  /// second, an edit of an old revision.
  bool Void = false;
  /// The decisions, by their index, that no longer fitted the state.
  std::vector<std::size_t> DroppedDecisions;
};

/// Returns the events that a record stands for, in its own order. Every payload
/// has at least one; an empty batch has none, nor has the mere passing of time.
/// Thread safety: may be called from any thread.
std::vector<TimelineEvent> eventsOf(const Record &Value,
                                    const StreamName &Stream, std::uint64_t At,
                                    const RecordFate &Fate = {});

/// Tells whether the event only says that its author goes on as before: a
/// renewal, a snapshot, a usage report.
bool isRoutine(const TimelineEvent &Event);

/// Tells whether the event is about the subject, or concerns it.
bool concerns(const TimelineEvent &Event, SubjectKind Kind,
              const std::string &Subject);

} // namespace pistachioflow::explain
