#include "pistachioflow/controller/event_journal.hpp"

#include <utility>

namespace pistachioflow {

void EventJournal::add(TimelineEvent Event) {
  const std::lock_guard Guard(this->Lock);
  if (this->Held.size() == this->Capacity) {
    this->Held.pop_front();
    ++this->DroppedCount;
  }
  this->Held.push_back(std::move(Event));
}

std::vector<TimelineEvent> EventJournal::events() const {
  const std::lock_guard Guard(this->Lock);
  return {this->Held.begin(), this->Held.end()};
}

std::uint64_t EventJournal::dropped() const {
  const std::lock_guard Guard(this->Lock);
  return this->DroppedCount;
}

} // namespace pistachioflow
