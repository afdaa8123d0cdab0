#pragma once

#include <string>
#include <vector>

#include "pistachioflow/explain/cell_texts.hpp"

namespace pistachioflow::explain {

/// What an edit of the lists would change.
struct WhatIfReport {
  std::vector<Decision> Caused;  ///< Decided with the edit, not without.
  std::vector<Decision> Avoided; ///< Decided without the edit, not with.
};

/// Runs the decisions on two copies of the state, with and without \p Edited.
/// Nothing is applied to the state itself. Thread safety: as the functions of
/// cell_texts.hpp.
WhatIfReport whatIf(const CellView &View, const Lists &Edited);

/// Returns the report in plain sentences.
std::string whatIfText(const WhatIfReport &Report);

/// Returns who would be preempted if \p Workspace asked for \p Shape now.
std::vector<JobId> preemptedFor(const CellView &View,
                                const WorkspaceId &Workspace,
                                const GangShape &Shape);

} // namespace pistachioflow::explain
