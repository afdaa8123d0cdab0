#pragma once

#include <string>

#include "pistachioflow/model/timeline.hpp"

namespace pistachioflow::explain {

/// Returns what happened, why, because of which list entries and on which
/// numbers, in plain sentences on one line. Thread safety: may be called from
/// any thread.
std::string sentence(const TimelineEvent &Event);

/// Returns the part of a sentence that a reason stands for: its meaning, its
/// entries with their revisions, its numbers, and what was passed over.
std::string reasonSentence(const Reason &Why);

/// Returns what an operator can change in the lists so that it ends otherwise;
/// empty where that is nothing.
std::string changeSentence(const Reason &Why);

/// Returns when and by whom: time, instance, stream, offset and epoch.
std::string originText(const TimelineEvent &Event);

} // namespace pistachioflow::explain
