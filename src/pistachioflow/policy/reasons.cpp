#include "pistachioflow/policy/reasons.hpp"

#include <algorithm>

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
  const auto Add = [&](const WorkspaceId &Workspace) {
    for (EntryRef &Entry : entriesOf(State, Workspace))
      if (std::ranges::find(Why.Entries, Entry) == Why.Entries.end())
        Why.Entries.push_back(std::move(Entry));
  };
  for (const Home &Of : State.Homes)
    Add(Of.Workspace);
  if (!Why.Entries.empty())
    return Why;
  for (const PlanEntry &Plan : State.Configuration.Plans.Entries)
    Add(Plan.Workspace);
  return Why;
}

} // namespace pistachioflow::policy
