#pragma once

#include <span>
#include <string>

#include "pistachioflow/explain/timeline.hpp"

namespace pistachioflow::explain {

/// Returns the events in their order as a paragraph; empty where there are
/// none. Tells where records from the beginning are missing.
std::string historyText(std::span<const TimelineEvent> Events);

/// Returns what an operator can change, once for each reason that has such an
/// advice, the latest first.
std::string changesText(std::span<const TimelineEvent> Events);

} // namespace pistachioflow::explain
