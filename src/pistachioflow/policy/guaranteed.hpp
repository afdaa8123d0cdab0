#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Starts queued jobs in their workspace's idle homes. Where borrowers are in
/// the way, a home moves to free workers, or else the borrowers are reclaimed.
void decideGuaranteed(DecisionDraft &Draft);

} // namespace pistachioflow::policy
