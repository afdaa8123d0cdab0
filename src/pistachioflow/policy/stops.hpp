#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Ends jobs, and stops or throttles gangs, because of cancellations, lost
/// workers, exhausted attempts, checkpoints, passed deadlines or overuse.
void decideStops(DecisionDraft &Draft);

} // namespace pistachioflow::policy
