#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

#include "pistachioflow/model/timeline.hpp"

namespace pistachioflow {

/// Keeps the last events of this process that no stream carries.
///
/// Thread safety: every method may be called from any thread.
class EventJournal {
public:
  /// Precondition: \p Capacity is at least 1.
  explicit EventJournal(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds an event; the oldest one is dropped and counted where it is full.
  void add(TimelineEvent Event);

  /// Returns the held events, oldest first.
  std::vector<TimelineEvent> events() const;

  /// Returns how many events were dropped so far.
  std::uint64_t dropped() const;

private:
  const std::size_t Capacity;
  mutable std::mutex Lock;
  std::deque<TimelineEvent> Held;
  std::uint64_t DroppedCount = 0;
};

} // namespace pistachioflow
