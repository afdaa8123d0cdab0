#pragma once

#include <map>
#include <span>
#include <vector>

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Tells whether gangs of shape \p Shape may use homes of shape \p HomeShape:
/// they leave at most half of one idle. Smaller gangs would block the gangs
/// that the home guarantees, and so they borrow.
bool mayUseHome(const GangShape &Shape, const GangShape &HomeShape);

/// Tells whether the gang at \p Placements fits its workspace's homes.
bool fitsHome(const CellIndex &Index, const JobSpec &Spec,
              std::span<const Placement> Placements);

/// Decides which active gangs use the state's homes, and which borrow. Gangs
/// that used a home before go first, then those that started first.
///
/// The index still counts the use of the earlier homes; call indexHomes() next.
void classifyGangs(CellState &State);

} // namespace pistachioflow::policy
