#pragma once

#include <span>
#include <string>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/model/timeline.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::explain {

/// What the explanations of one cell are drawn from. The caller guards the
/// state while a function runs, or passes a copy.
struct CellView {
  const policy::CellState &State;
  policy::Settings Prefer;
  Instant Now; ///< Wall clock, as the records have it.
  /// The events of the cell's stream and of the instance's memory.
  std::span<const TimelineEvent> Events;
};

// Each returns plain sentences, one a line: what is, what happened, because of
// which list entries, and what would have to change.
// Thread safety: may be called from any thread.

/// Errors: NotFound where neither the state nor the events know the job.
Result<std::string> explainJob(const CellView &View, const JobId &Job);

/// Errors: NotFound where the lists and the cell know nothing of it.
Result<std::string> explainWorkspace(const CellView &View,
                                     const WorkspaceId &Workspace);

/// Errors: NotFound.
Result<std::string> explainWorker(const CellView &View, const WorkerId &Worker);

/// Tells the history of a request or any other subject from events alone.
/// Errors: NotFound where no event concerns it.
Result<std::string> explainFromEvents(std::span<const TimelineEvent> Events,
                                      SubjectKind Kind,
                                      const std::string &Subject);

} // namespace pistachioflow::explain
