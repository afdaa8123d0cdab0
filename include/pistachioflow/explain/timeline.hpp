#pragma once

#include <span>
#include <string>
#include <vector>

#include "pistachioflow/model/timeline.hpp"

namespace pistachioflow::explain {

/// One event at its place in the order of all.
struct PlacedEvent {
  TimelineEvent Event;
  /// Its wall clock, or that of the latest event that is surely earlier.
  Instant NotBefore;
  /// An event of another source lies so close that the clocks do not tell
  /// which came first.
  bool OrderUncertain = false;
};

/// The events of all processes in one order.
struct MergedTimeline {
  std::vector<PlacedEvent> Events;
  /// Clocks of two instances differ at least by this, as the streams show.
  Duration ClockDifference;
};

/// Brings events of several instances into one order and drops second copies.
/// Events of one stream keep the order of their offsets; streams and memories
/// are merged by their clocks. Events with the same place in a stream, and
/// those that one instance held in memory, must be in their own order.
/// Thread safety: may be called from any thread.
MergedTimeline mergeTimeline(std::vector<TimelineEvent> Events);

/// Returns the events that concern the subject. A workspace is concerned by
/// every event of its jobs and requests.
std::vector<TimelineEvent> selectEvents(std::span<const TimelineEvent> Events,
                                        SubjectKind Kind,
                                        const std::string &Subject);

/// Returns one line for each event, without the routine ones.
std::string timelineText(const MergedTimeline &Merged);

} // namespace pistachioflow::explain
