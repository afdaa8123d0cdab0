#include "pistachioflow/policy/list_rules.hpp"

namespace pistachioflow::policy {

ReasonCode whyListsForbid(const WorkspaceIndex *Workspace,
                          const JobSpec &Spec) {
  if (!Workspace || !Workspace->Plan)
    return ReasonCode::RefusedNoPlan;
  if (!Workspace->Limits)
    return ReasonCode::RefusedNoLimits;
  if (Spec.Urgent && !Workspace->Limits->AllowsUrgent)
    return ReasonCode::RefusedUrgentNotAllowed;
  if (Spec.Shape.accelerators() > Workspace->Limits->CeilingAccelerators)
    return ReasonCode::RefusedAboveCeiling;
  return ReasonCode::None;
}

} // namespace pistachioflow::policy
