#pragma once

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// Decides what follows from cancellations, lost workers, used-up tries, taken
/// checkpoints, passed deadlines and overuse: jobs end, gangs stop or are
/// throttled.
void decideStops(Plan &Draft);

} // namespace pistachioflow::policy
