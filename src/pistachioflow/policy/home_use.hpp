#pragma once

#include <map>
#include <span>
#include <vector>

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Tells whether gangs of shape \p Shape may use homes of shape \p Of: they do
/// not leave more than half of one idle. Smaller ones would keep the workspace
/// from the gangs that it was promised, and so they borrow.
bool mayUseHome(const GangShape &Shape, const GangShape &Of);

/// Tells whether the workspace's homes have room for the gang at \p Placements.
bool fitsHome(const CellIndex &Index, const JobSpec &Spec,
              std::span<const Placement> Placements);

/// Decides which active gangs use the state's homes, and which borrow. Gangs
/// that used a home before go first, then those that started first.
///
/// The index still counts the use of the earlier homes; call indexHomes() next.
void classifyGangs(CellState &State);

} // namespace pistachioflow::policy
