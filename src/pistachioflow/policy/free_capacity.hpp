#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// By slot, what one gang may use there.
using FreeCapacity = std::vector<Amount>;

/// Returns what is free for a job that borrows: without what waiting jobs and
/// the reservations of other jobs keep, and without workers where it failed.
FreeCapacity freeToBorrow(const DecisionDraft &Draft, const JobState &Job);

/// Returns the same with what is kept for reservations that the job lets pass,
/// since it is expected to end before them.
FreeCapacity freeToBackfill(const DecisionDraft &Draft, const JobState &Job);

/// Returns what is free, reservations included.
FreeCapacity freeWithReservations(const DecisionDraft &Draft,
                                  const JobState &Job);

/// Takes the workers where the job has failed out of \p Room.
void excludeFailedWorkers(const DecisionDraft &Draft, const JobState &Job,
                          FreeCapacity &Room);

/// Finds a place in \p Room that leaves the least fragments and uses the least
/// of the idle homes, weighed by the settings.
std::optional<Shares> findTightPlacement(DecisionDraft &Draft,
                                         const GangShape &Shape,
                                         const FreeCapacity &Room);

} // namespace pistachioflow::policy
