#include "pistachioflow/policy/list_enforcement.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/reasons.hpp"
#include "pistachioflow/policy/reclaim.hpp"

namespace pistachioflow::policy {

namespace {

std::int64_t ceilingOf(const WorkspaceIndex &Workspace) {
  return Workspace.Limits ? Workspace.Limits->CeilingAccelerators : 0;
}

Reason listsReason(const DecisionDraft &Draft, const JobState &Job,
                   ReasonCode Code, const WorkspaceIndex &Workspace) {
  return reasonFor(Draft.State, Job.Spec.Workspace, Code,
                   {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                    {Measure::AcceleratorsUsed, Workspace.Used},
                    {Measure::Ceiling, ceilingOf(Workspace)}},
                   "let it finish under the earlier lists");
}

/// Returns the gangs that can be stopped, borrowed ones and least lost work
/// first.
std::vector<const JobState *> stoppable(const DecisionDraft &Draft,
                                        const WorkspaceIndex &Workspace) {
  std::vector<const JobState *> Gangs;
  for (const TimedJob &Due : Workspace.Active)
    if (const JobState &Gang = Draft.job(Due.Job);
        !isStoppingOrReclaimed(Gang) && !Draft.DecidedJobs.contains(Due.Job))
      Gangs.push_back(&Gang);
  std::ranges::sort(Gangs, {}, [&Draft](const JobState *Gang) {
    return std::tuple(!Gang->Borrowed, lostWork(*Gang, Draft.Now),
                      Gang->Spec.Job);
  });
  return Gangs;
}

/// A gang without accelerators is never above a ceiling, but needs a plan.
bool mustStop(const WorkspaceIndex &Workspace, std::int64_t Excess) {
  return !Workspace.Limits || Excess > 0;
}

void stopExcess(DecisionDraft &Draft, const WorkspaceId &Name,
                const WorkspaceIndex &Workspace) {
  WorkspaceUsage &Use = Draft.use(Name);
  std::int64_t Excess = Use.Used - Use.Leaving - ceilingOf(Workspace);
  for (const JobState *Gang : stoppable(Draft, Workspace)) {
    if (!mustStop(Workspace, Excess))
      return;
    Excess -= acceleratorsOf(*Gang);
    Draft.decide(
        StopGang{Gang->Spec.Job, Gang->Try, AfterStop::Requeue, {}},
        listsReason(Draft, *Gang, ReasonCode::StoppedListsChanged, Workspace));
    Draft.markBeingFreed(*Gang);
    Draft.DecidedJobs.insert(Gang->Spec.Job);
  }
}

} // namespace

void decideListEnforcement(DecisionDraft &Draft) {
  const Lists &Now = Draft.State.Configuration;
  if (Now.Plans.At == 0 || Now.Limits.At == 0)
    return;
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces)
    if (Workspace.Used - Workspace.Leaving > ceilingOf(Workspace) ||
        (!Workspace.Limits && !Workspace.Active.empty()))
      stopExcess(Draft, Name, Workspace);
}

} // namespace pistachioflow::policy
