#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "pistachioflow/explain/timeline.hpp"

namespace pistachioflow::explain {

/// What a page has to say about the events that are not in it.
struct PageNotes {
  std::span<const std::string> Missing; ///< What did not answer, and why.
  std::uint64_t Dropped = 0;            ///< Events lost from bounded memory.
};

/// Draws the events as one HTML page that needs nothing else: a lane for each
/// subject, a numbered mark for each event, and a table with the sentences.
/// Routine events are left out. Thread safety: may be called from any thread.
std::string timelinePage(const MergedTimeline &Merged, const PageNotes &Notes);

} // namespace pistachioflow::explain
