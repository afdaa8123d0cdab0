#pragma once

#include "pistachioflow/policy/cell_index.hpp"

namespace pistachioflow::policy {

/// Returns why the lists in force forbid the job, or None.
ReasonCode whyListsForbid(const WorkspaceIndex *Workspace, const JobSpec &Spec);

} // namespace pistachioflow::policy
