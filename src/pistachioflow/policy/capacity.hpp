#pragma once

#include <cstdint>
#include <span>

#include "pistachioflow/policy/cell_index.hpp"

namespace pistachioflow::policy {

/// Fills \p Index's capacity, slots and worker names from \p State's workers.
void buildCapacity(CellIndex &Index, const CellState &State);

/// Recomputes the homes of every slot and workspace, and their use.
void indexHomes(CellIndex &Index, const CellState &State);

/// Returns the part of \p Parts on \p Slot, or null.
HomePart *findPart(std::vector<HomePart> &Parts, SlotIndex Slot);

/// Returns the accelerators of the whole gang.
std::int64_t acceleratorsOf(const JobState &Job);

/// Tells whether the active gang is stopping or being reclaimed.
bool isStoppingOrReclaimed(const JobState &Job);

/// Tells whether the active gang may be preempted for any job.
bool isPreemptible(const JobState &Job);

} // namespace pistachioflow::policy
