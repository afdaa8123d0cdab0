#pragma once

#include <span>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/model/lists.hpp"

namespace pistachioflow {

// The rules of the two lists that need nothing but the lists. The fold of the
// configuration stream applies them too, so that racing edits cannot leave a
// plan without limits: changing a rule needs a new record version.
// Thread safety: may be called from any thread.

/// Returns every rule that the list of plans \p Entries breaks beside \p
/// Limits.
Findings checkPlans(std::span<const PlanEntry> Entries,
                    std::span<const LimitsEntry> Limits);

/// Returns every rule that the list of limits \p Entries breaks beside \p
/// Plans.
Findings checkLimits(std::span<const LimitsEntry> Entries,
                     std::span<const PlanEntry> Plans);

} // namespace pistachioflow
