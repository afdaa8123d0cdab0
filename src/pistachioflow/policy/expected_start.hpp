#pragma once

#include <optional>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

struct ExpectedStart {
  Shares At;
  Instant Start;
};

/// Finds the workers that are expected to have capacity for the job first, as
/// their gangs end. Idle homes are used only if the job starts much sooner
/// there. In a large cell only the domains with most free accelerators are
/// searched.
std::optional<ExpectedStart> findExpectedStart(DecisionDraft &Draft,
                                               const JobState &Job);

} // namespace pistachioflow::policy
