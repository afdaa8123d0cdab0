#pragma once

#include <string>

#include "pistachioflow/api/backend.hpp"
#include "pistachioflow/daemon/node.hpp"

namespace pistachioflow {

/// Returns the events that this instance knows, in one order.
/// Thread safety: may be called from any thread. Reads the log.
TimelineView gatherTimeline(Node &Parts, const TimelineQuery &Query);

/// Returns why \p Subject is as it is, in plain sentences. Errors: NotFound.
/// Thread safety: may be called from any thread. Reads the log.
Result<std::string> explainSubject(Node &Parts, SubjectKind Kind,
                                   const std::string &Subject);

/// Returns what the cells would decide with \p Edited that they would not
/// decide now. Thread safety: may be called from any thread.
std::string trialText(Node &Parts, const Lists &Edited);

} // namespace pistachioflow
