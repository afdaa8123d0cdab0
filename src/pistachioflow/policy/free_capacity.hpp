#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// By slot, what one gang may use there.
using FreeCapacity = std::vector<Amount>;

/// Returns the capacity that the job may borrow: without what is held for
/// waiting jobs and other jobs' reservations, and workers where it failed.
FreeCapacity freeToBorrow(const DecisionDraft &Draft, const JobState &Job);

/// Returns the same plus reserved capacity whose reservation starts after the
/// job's expected end.
FreeCapacity freeToBackfill(const DecisionDraft &Draft, const JobState &Job);

/// Returns the free capacity, reserved capacity included.
FreeCapacity freeWithReservations(const DecisionDraft &Draft,
                                  const JobState &Job);

/// Removes the workers where the job has failed from \p Available.
void excludeFailedWorkers(const DecisionDraft &Draft, const JobState &Job,
                          FreeCapacity &Available);

/// Finds the placement in \p Available with the least fragmentation and use of
/// idle homes, weighted by the settings.
std::optional<Shares> findTightPlacement(DecisionDraft &Draft,
                                         const GangShape &Shape,
                                         const FreeCapacity &Available);

} // namespace pistachioflow::policy
