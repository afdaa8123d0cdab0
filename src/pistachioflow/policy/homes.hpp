#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Packs the homes again where lists or workers have changed, and reports each
/// guaranteed gang that has none any more. Returns whether it did; the plan's
/// capacity is out of date then.
bool decideHomes(DecisionDraft &Draft);

} // namespace pistachioflow::policy
