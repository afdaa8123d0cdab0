#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Admits or refuses each new job, and refuses second jobs of the same name.
/// Decides nothing until both lists and a worker are known.
void decideAdmissions(DecisionDraft &Draft);

/// Returns why the lists or the workers forbid the job, or None.
ReasonCode whyForbidden(const CellIndex &Index, const JobSpec &Spec,
                        WorkCount &Work);

} // namespace pistachioflow::policy
