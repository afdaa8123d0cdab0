#pragma once

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// Starts queued jobs on what is free, as borrowers. The workspace that borrows
/// least for its weight goes first.
void decideShared(Plan &Draft);

} // namespace pistachioflow::policy
