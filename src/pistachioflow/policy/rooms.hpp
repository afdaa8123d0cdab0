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
/// the reservations of other jobs keep, and without workers where it failed.
Rooms roomToBorrow(const Plan &Draft, const JobState &Job);

/// Returns the same with what is kept for reservations that the job lets pass,
/// since it is expected to end before them.
Rooms roomToBackfill(const Plan &Draft, const JobState &Job);

/// Returns what is free, reservations included.
Rooms roomOfFree(const Plan &Draft, const JobState &Job);

/// Takes the workers where the job has failed out of \p Room.
void leaveOutFailed(const Plan &Draft, const JobState &Job, Rooms &Room);

/// Finds a place in \p Room that leaves the least fragments and uses the least
/// of the idle homes, weighed by the settings.
std::optional<Shares> placeTightly(Plan &Draft, const GangShape &Shape,
                                   const Rooms &Room);

} // namespace pistachioflow::policy
