#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Packs the homes again if lists or workers have changed, and reports each
/// guaranteed gang without one. Returns whether it did; the capacity in
/// \p Draft is outdated then.
bool decideHomes(DecisionDraft &Draft);

} // namespace pistachioflow::policy
