#pragma once

#include <cstdint>

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Returns the declared run time, corrected by what the workspace's earlier
/// jobs took.
Duration correctedRuntime(const CellState &State, const JobSpec &Spec);

/// Updates the workspace's run time ratio with a job that finished after
/// \p Run.
void updateRuntimeRatio(CellState &State, const JobState &Job, Duration Run);

} // namespace pistachioflow::policy
