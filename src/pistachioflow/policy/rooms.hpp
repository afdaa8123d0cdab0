#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// By slot, what one gang may use there.
using Rooms = std::vector<Amount>;

/// Returns what is free for a job that borrows: without what waiting jobs and
/// reservations keep, and without workers where the job failed.
Rooms roomToBorrow(const Plan &Draft, const JobState &Job);

/// Finds a place in \p Room that leaves the least fragments and uses the least
/// of the idle homes, weighed by the settings.
std::optional<Shares> placeTightly(Plan &Draft, const GangShape &Shape,
                                   const Rooms &Room);

} // namespace pistachioflow::policy
