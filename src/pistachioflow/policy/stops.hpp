#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Decides what follows from cancellations, lost workers, used-up tries, taken
/// checkpoints, passed deadlines and overuse: jobs end, gangs stop or are
/// throttled.
void decideStops(DecisionDraft &Draft);

} // namespace pistachioflow::policy
