#include <algorithm>

#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/history.hpp"
#include "pistachioflow/explain/what_if.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

using policy::JobState;

std::string limitsText(const LimitsEntry &Limits, Revision At) {
  return "Plan " + Limits.Plan.Value + " (limits at revision " +
         std::to_string(At) + "): at most " +
         counted(Limits.CeilingAccelerators, "accelerator") + ", weight " +
         std::to_string(Limits.Weight) + ", urgent jobs " +
         (Limits.AllowsUrgent ? "allowed" : "not allowed") + ", " +
         counted(Limits.RequestsPerSecond, "request") + " per second, " +
         std::to_string(Limits.ConcurrentRequests) + " at the same time.\n";
}

std::string homesText(const CellView &View, const WorkspaceId &Workspace,
                      const GangShape &Shape) {
  std::string Text;
  for (const Home &Given : View.State.Homes) {
    if (Given.Workspace == Workspace && Given.Shape == Shape)
      Text += "    held on " + placesText(Given.Placements) + "\n";
  }
  const policy::AtRisk Risk{Workspace, Shape};
  if (std::ranges::find(View.State.GuaranteesAtRisk, Risk) !=
      View.State.GuaranteesAtRisk.end())
    Text += "    AT RISK: too few workers are left to hold it\n";
  return Text.empty() ? "    not held on any workers yet\n" : Text;
}

std::string preemptedText(const CellView &View, const WorkspaceId &Workspace,
                          const GangShape &Shape) {
  std::string Names;
  for (const JobId &Victim : preemptedFor(View, Workspace, Shape))
    Names += (Names.empty() ? "" : ", ") + Victim.Value;
  if (Names.empty())
    return "    asked for now, it would preempt nobody\n";
  return "    asked for now, it would preempt " + Names + "\n";
}

std::string guaranteesText(const CellView &View, const WorkspaceId &Workspace,
                           const LimitsEntry &Limits) {
  if (Limits.Guarantees.empty())
    return "It has no guarantee: all that it uses is borrowed.\n";
  std::string Text = "Guaranteed:\n";
  for (const Guarantee &Item : Limits.Guarantees) {
    Text += "  " + counted(Item.Count, "gang") + " of " +
            shapeText(Item.Shape) + "\n";
    Text += homesText(View, Workspace, Item.Shape);
    Text += preemptedText(View, Workspace, Item.Shape);
  }
  return Text;
}

std::string jobLine(const JobState &Job) {
  std::string Text =
      "  " + Job.Spec.Job.Value + ": " + std::string(toString(Job.Phase));
  if (policy::isActive(Job))
    Text += " on " + placesText(Job.Placements) +
            (Job.Borrowed ? ", borrowing" : ", within the guarantee");
  return Text + "\n";
}

std::string useText(const CellView &View, const WorkspaceId &Workspace) {
  std::uint64_t Used = 0;
  std::uint64_t Borrowed = 0;
  std::string Lines;
  for (const auto &[Name, Job] : View.State.Jobs) {
    if (Job.Spec.Workspace != Workspace || policy::hasEnded(Job))
      continue;
    Lines += jobLine(Job);
    if (!policy::isActive(Job))
      continue;
    Used += Job.Spec.Shape.accelerators();
    Borrowed += Job.Borrowed ? Job.Spec.Shape.accelerators() : 0;
  }
  return "It uses " + counted(Used, "accelerator") + ", " +
         std::to_string(Borrowed) + " of them borrowed.\n" + Lines;
}

std::string planText(const CellView &View, const WorkspaceId &Workspace) {
  const Lists &Now = View.State.Configuration;
  const auto Plan =
      std::ranges::find(Now.Plans.Entries, Workspace, &PlanEntry::Workspace);
  const std::string At =
      " (plans at revision " + std::to_string(Now.Plans.At) + ")";
  if (Plan == Now.Plans.Entries.end())
    return "Workspace " + Workspace.Value + " has no plan" + At +
           ", so its jobs and requests are refused.\n";
  std::string Text = "Workspace " + Workspace.Value + " has plan " +
                     Plan->Plan.Value + At + ".\n";
  const auto Limits =
      std::ranges::find(Now.Limits.Entries, Plan->Plan, &LimitsEntry::Plan);
  if (Limits == Now.Limits.Entries.end())
    return Text + "The plan has no entry in limits at revision " +
           std::to_string(Now.Limits.At) + ", so everything is refused.\n";
  return Text + limitsText(*Limits, Now.Limits.At) +
         guaranteesText(View, Workspace, *Limits);
}

bool isKnown(const CellView &View, const WorkspaceId &Workspace) {
  const auto &Plans = View.State.Configuration.Plans.Entries;
  if (std::ranges::find(Plans, Workspace, &PlanEntry::Workspace) != Plans.end())
    return true;
  return std::ranges::any_of(View.State.Jobs, [&](const auto &Entry) {
    return Entry.second.Spec.Workspace == Workspace;
  });
}

} // namespace

Result<std::string> explainWorkspace(const CellView &View,
                                     const WorkspaceId &Workspace) {
  if (!isKnown(View, Workspace))
    return explainFromEvents(View.Events, SubjectKind::Workspace,
                             Workspace.Value);
  const std::vector<TimelineEvent> Events =
      selectEvents(View.Events, SubjectKind::Workspace, Workspace.Value);
  return planText(View, Workspace) + useText(View, Workspace) +
         historyText(Events) + changesText(Events);
}

} // namespace pistachioflow::explain
