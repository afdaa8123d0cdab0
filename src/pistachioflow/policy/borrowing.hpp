#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Starts queued jobs on what is free, as borrowers. The workspace that borrows
/// least for its weight goes first.
void decideBorrowing(DecisionDraft &Draft);

} // namespace pistachioflow::policy
