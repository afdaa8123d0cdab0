#pragma once

#include <initializer_list>
#include <string>
#include <vector>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Returns the entries of the two lists that apply to the workspace. A missing
/// entry is included, at the revision that lacks it.
std::vector<EntryRef> entriesOf(const CellState &State,
                                const WorkspaceId &Workspace);

/// Returns a reason about one workspace.
Reason reasonFor(const CellState &State, const WorkspaceId &Workspace,
                 ReasonCode Code, std::initializer_list<Quantity> Numbers,
                 std::string PassedOver = {});

/// Returns a reason about the guarantees as a whole: every line of limits that
/// has some, and every line of plans that names it.
Reason reasonForAll(const CellState &State, ReasonCode Code,
                    std::initializer_list<Quantity> Numbers,
                    std::string PassedOver = {});

} // namespace pistachioflow::policy
