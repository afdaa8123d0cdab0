#include "pistachioflow/policy/reasons.hpp"

#include <algorithm>
#include <set>

namespace pistachioflow::policy {

std::vector<EntryRef> entriesOf(const CellState &State,
                                const WorkspaceId &Workspace) {
  const Lists &Now = State.Configuration;
  std::vector<EntryRef> Entries{
      {ListKind::Plans, Workspace.Value, Now.Plans.At}};
  const auto Plan =
      std::ranges::find(Now.Plans.Entries, Workspace, &PlanEntry::Workspace);
  if (Plan != Now.Plans.Entries.end())
    Entries.push_back({ListKind::Limits, Plan->Plan.Value, Now.Limits.At});
  return Entries;
}

Reason reasonFor(const CellState &State, const WorkspaceId &Workspace,
                 ReasonCode Code, std::initializer_list<Quantity> Numbers,
                 std::string PassedOver) {
  return {Code, entriesOf(State, Workspace), Numbers, std::move(PassedOver)};
}

Reason reasonForAll(const CellState &State, ReasonCode Code,
                    std::initializer_list<Quantity> Numbers,
                    std::string PassedOver) {
  Reason Why{Code, {}, Numbers, std::move(PassedOver)};
  const Lists &Now = State.Configuration;
  std::set<PlanId> Named;
  for (const LimitsEntry &Limits : Now.Limits.Entries)
    if (!Limits.Guarantees.empty())
      Named.insert(Limits.Plan);
  for (const PlanEntry &Plan : Now.Plans.Entries)
    if (Named.contains(Plan.Plan))
      Why.Entries.push_back(
          {ListKind::Plans, Plan.Workspace.Value, Now.Plans.At});
  for (const PlanId &Plan : Named)
    Why.Entries.push_back({ListKind::Limits, Plan.Value, Now.Limits.At});
  return Why;
}

} // namespace pistachioflow::policy
