#pragma once

#include <string_view>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/sched/desired_state.hpp"

namespace pistachioflow {

/// Decodes the operators' configuration from the JSON in the store. A
/// "tenant" there is a workspace. Errors: InvalidInput with every finding.
Result<DesiredState> decodeDesiredState(std::string_view Text);

} // namespace pistachioflow
