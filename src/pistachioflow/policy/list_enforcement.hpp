#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Stops gangs that exceed a ceiling of the lists in force or have no plan.
void decideListEnforcement(DecisionDraft &Draft);

} // namespace pistachioflow::policy
