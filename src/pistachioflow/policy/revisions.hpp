#pragma once

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// Brings the cell under the lists in force: stops gangs above a ceiling or
/// without a plan.
void decideRevisions(Plan &Draft);

} // namespace pistachioflow::policy
