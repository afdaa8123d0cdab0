#pragma once

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// Starts queued jobs in their workspace's idle homes. Where borrowers are in
/// the way, a home moves to free workers, or else the borrowers are reclaimed.
void decideGuaranteed(Plan &Draft);

} // namespace pistachioflow::policy
