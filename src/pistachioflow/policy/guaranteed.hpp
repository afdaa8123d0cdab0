#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Starts queued jobs in their workspace's idle homes. If borrowers occupy a
/// home, it moves to free workers, or else their capacity is reclaimed.
void decideGuaranteed(DecisionDraft &Draft);

} // namespace pistachioflow::policy
