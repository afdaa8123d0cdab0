#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "pistachioflow/entry/planning.hpp"
#include "pistachioflow/sched/guarantee_ledger.hpp"
#include "pistachioflow/sched/placement.hpp"
#include "pistachioflow/sched/preference.hpp"

/// Describes the job table and the workers to the placement. Nothing here
/// decides or changes the table. Thread safety: none.
namespace pistachioflow {

/// Returns all workers as they are now. The result points into \p View.
std::vector<PlacementWorker> collectWorkers(const PlanningView &View);

/// Returns what each workspace's urgent work uses of its guarantee.
std::vector<GuaranteeUse> guaranteeUses(const PlanningView &View,
                                        std::span<Unit *const> Active);

/// Returns the placed units, and adds what they will release to the later free
/// amounts of \p Workers.
std::vector<PlacedUnit> collectPlaced(const PlanningView &View,
                                      std::span<Unit *const> Active,
                                      std::vector<PlacementWorker> &Workers);

/// Whether the stops that a unit waits for should have ended by now.
bool claimExpired(const PlanningView &View, const Unit &Waiting);

/// Returns a waiting unit without its group, reservations and preferences,
/// which depend on other units. The result points into \p View.
WaitingUnit describeWaiting(const PlanningView &View, const Unit &Waiting);

/// Applies recent reservations of earlier rounds to the inputs of this one.
void applyEarlierReservations(const PlanningView &View,
                              std::span<Unit *const> Units,
                              std::span<WaitingUnit> Waiting,
                              std::span<PlacementWorker> Workers);

/// Adds to the inputs of a round what is known of the pace of workers.
class PaceInputs {
public:
  /// Describes the workers.
  PaceInputs(const PlanningView &View, std::span<PlacementWorker> Workers);

  /// Lets a unit choose by pace where it matters. The result refers to this
  /// object.
  void describe(const Unit &Waiting, WaitingUnit &Entry);

private:
  const PlanningView &View;
  double Spread = 1;
  std::map<std::string_view, bool> DecidesFor;          ///< By service.
  std::map<std::size_t, std::vector<double>> Slowdowns; ///< By kind.
};

/// Notes whether preferences, and reservations for gangs, have kept a unit from
/// free workers for long enough. With capacity to spare all of that time
/// counts; in a full cluster a unit that fitted nowhere for a moment waits
/// anew, as a run off its rack costs capacity.
void boundPreferences(const PlanningView &View, const Unit &Waiting,
                      const SpareCapacity &Spare, WaitingUnit &Entry);

} // namespace pistachioflow
