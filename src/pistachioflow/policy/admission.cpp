#include "pistachioflow/policy/admission.hpp"

#include <map>

#include "pistachioflow/policy/list_rules.hpp"
#include "pistachioflow/policy/placement.hpp"
#include "pistachioflow/policy/reasons.hpp"

namespace pistachioflow::policy {

namespace {

bool isEmptyShape(const GangShape &Shape) {
  return Shape.Tasks == 0 || perTask(Shape) == Amount{};
}

/// Tells whether the gang fits the workers when they are empty, lost ones
/// included, since they may come back.
bool fitsSomewhere(const CellIndex &Index, const GangShape &Shape,
                   WorkCount &Work) {
  if (isEmptyShape(Shape))
    return false;
  std::vector<Amount> Available;
  Available.reserve(Index.Cap.Slots.size());
  for (const WorkerSlot &Slot : Index.Cap.Slots)
    Available.push_back(Slot.Total);
  const auto AnyCost = [](std::span<const SlotShare>) { return 0; };
  return findPlacement({Index.Cap, Shape, Available}, AnyCost,
                       Work.PlacementsEvaluated)
      .has_value();
}

std::int64_t ceilingOf(const CellIndex &Index, const JobSpec &Spec) {
  const WorkspaceIndex *Workspace = findWorkspace(Index, Spec.Workspace);
  return Workspace && Workspace->Limits ? Workspace->Limits->CeilingAccelerators
                                        : 0;
}

std::string passedOver(ReasonCode Code) {
  if (Code == ReasonCode::AdmittedWithinCeiling)
    return "refuse";
  return "keep it queued";
}

Reason reasonOf(DecisionDraft &Draft, const JobState &Job, ReasonCode Code) {
  const std::int64_t Used = Draft.use(Job.Spec.Workspace).Used;
  return reasonFor(Draft.State, Job.Spec.Workspace, Code,
                   {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                    {Measure::AcceleratorsUsed, Used},
                    {Measure::Ceiling, ceilingOf(Draft.Index, Job.Spec)},
                    {Measure::ExpectedRuntimeMs, Job.ExpectedRuntime.Ms}},
                   passedOver(Code));
}

void refuseDuplicates(DecisionDraft &Draft) {
  for (const JobId &Name : Draft.State.Duplicates)
    if (Draft.State.Jobs.contains(Name))
      Draft.decide(RefuseJob{Name}, reasonOf(Draft, Draft.job(Name),
                                             ReasonCode::RefusedDuplicateJob));
}

} // namespace

ReasonCode whyForbidden(const CellIndex &Index, const JobSpec &Spec,
                        WorkCount &Work) {
  const WorkspaceIndex *Workspace = findWorkspace(Index, Spec.Workspace);
  const ReasonCode Code = whyListsForbid(Workspace, Spec);
  if (Code != ReasonCode::None)
    return Code;
  if (!fitsSomewhere(Index, Spec.Shape, Work))
    return ReasonCode::RefusedFitsNowhere;
  return ReasonCode::None;
}

void decideAdmissions(DecisionDraft &Draft) {
  const Lists &Now = Draft.State.Configuration;
  if (Now.Plans.At == 0 || Now.Limits.At == 0 || Draft.Cap.Slots.empty())
    return;
  refuseDuplicates(Draft);
  for (const TimedJob &Due : Draft.Index.Unadmitted) {
    const JobState &Job = Draft.job(Due.Job);
    if (Job.CancelRequested)
      continue;
    ++Draft.Work.JobsExamined;
    const ReasonCode Code = whyForbidden(Draft.Index, Job.Spec, Draft.Work);
    if (Code == ReasonCode::None)
      Draft.decide(AdmitJob{Due.Job},
                   reasonOf(Draft, Job, ReasonCode::AdmittedWithinCeiling));
    else
      Draft.decide(RefuseJob{Due.Job}, reasonOf(Draft, Job, Code));
  }
}

} // namespace pistachioflow::policy
