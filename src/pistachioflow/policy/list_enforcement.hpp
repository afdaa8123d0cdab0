#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Brings the cell under the lists in force: stops gangs above a ceiling or
/// without a plan.
void decideListEnforcement(DecisionDraft &Draft);

} // namespace pistachioflow::policy
