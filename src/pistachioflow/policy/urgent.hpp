#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Starts urgent jobs, oldest first, on anything that is free, reservations
/// included; where nothing is, reclaims from borrowers that are not urgent.
void decideUrgent(DecisionDraft &Draft);

} // namespace pistachioflow::policy
