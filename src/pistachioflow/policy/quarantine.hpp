#pragma once

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Quarantines workers on which different jobs fail, at most a bounded share of
/// the cell, and releases them on probation when their time is over.
void decideQuarantines(DecisionDraft &Draft);

} // namespace pistachioflow::policy
