#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pistachioflow/explain/cell_texts.hpp"

namespace pistachioflow::explain {

/// What holds a queued job.
struct WaitingReport {
  std::vector<std::string> HeldBy; ///< Plain sentences.
  /// When the job could start at the earliest if every running gang ended as
  /// expected and nobody else took the room; nothing: not foreseeable.
  std::optional<Instant> Soonest;
};

/// Precondition: \p Job is queued. Thread safety: as the functions of
/// cell_texts.hpp.
WaitingReport whyWaiting(const CellView &View, const policy::JobState &Job);

} // namespace pistachioflow::explain
