#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/duration_model.hpp"
#include "pistachioflow/entry/evacuated_domains.hpp"
#include "pistachioflow/entry/pace_learning.hpp"
#include "pistachioflow/entry/worker_link.hpp"
#include "pistachioflow/sched/desired_state.hpp"
#include "pistachioflow/sched/job_table.hpp"
#include "pistachioflow/sched/placement.hpp"
#include "pistachioflow/sched/wait_reason.hpp"

namespace pistachioflow {

using WorkerLinks =
    std::map<std::string, std::shared_ptr<WorkerLink>, std::less<>>;

/// Inputs of a placement round.
struct PlanningView {
  JobTable &Table;
  const WorkerLinks &Workers;
  const DesiredState &Desired;
  const DurationModel &Durations;
  Instant Now;
  /// Guaranteed work that has waited this long may preempt work of its own
  /// priority.
  Duration ReclaimAfter;
  Duration StopTimeout;       ///< A worker ends a stopped run within this time.
  double RemotePenalty = 1.0; ///< Slowdown factor off the preferred rack.
  const EvacuatedDomains *Evacuated = nullptr; ///< Null: none.
  PacePlacement PaceMode = PacePlacement::Off;
  const PaceModel *Paces = nullptr; ///< Null: nothing is known of paces.
};

/// Start of a unit: one place for each task.
struct UnitPlacement {
  Unit *Placed = nullptr;
  std::vector<PlaceRecord> Places;
  std::string Detail; ///< Why these workers, for the log.
};

/// Preemption of a unit for the benefit of another.
struct UnitPreemption {
  Unit *Victim = nullptr;
  Unit *Beneficiary = nullptr;
};

/// Claim of a unit on the capacity that is being preempted for it.
struct UnitClaim {
  Unit *Beneficiary = nullptr;
  CapacityClaim Claim;
};

/// Workers that units of lower rank leave to a unit.
struct UnitReservation {
  Unit *Beneficiary = nullptr;
  std::vector<std::string> Workers;
};

/// A unit that has waited for long, and why it was not placed.
struct LongWait {
  Unit *Waiting = nullptr;
  WaitReason Reason = WaitReason::Capacity;
};

struct PlanningResult {
  std::vector<UnitPlacement> Starts;
  std::vector<UnitPreemption> Preemptions;
  std::vector<UnitClaim> Claims;
  std::vector<Unit *> DroppedClaims; ///< Waiting units that lose their claim.
  std::vector<UnitReservation> Reservations;
  std::vector<Unit *> HeldBack;    ///< Kept from free workers by preferences.
  std::vector<LongWait> LongWaits; ///< Those that are due for a log line.
  std::size_t Waiting = 0;
  bool Incomplete = false; ///< The next round has to follow without an event.
};

/// New workers for refused gang members.
struct MovePlan {
  struct Move {
    MemberRef Ref;
    PlaceRecord Place;
  };
  std::vector<Move> Moves;
  std::vector<Unit *>
      /// Gangs with a refused member that fits on no other worker.
      Unplaceable;
};

/// The remaining time of a task that runs until its job is cancelled.
inline constexpr Duration NeverEnds{std::numeric_limits<std::int64_t>::max()};

/// Expected time to the end of a run.
struct RemainingTime {
  Duration Span;
  bool FromProgress = false; ///< Otherwise derived from DurationModel.
};

/// Returns what is free on a worker now: what its entry shows, less the runs of
/// members and unwanted runs. Negative if the worker has shrunk.
Resources freeCapacity(const JobTable &Table, const WorkerLink &Worker);

/// Predicts the end of a placed unit from reported progress, or else from the
/// durations of such tasks.
RemainingTime remainingTime(const PlanningView &View, const Unit &Unit);

/// Whether a run must be stopped on a draining worker because it would probably
/// not end in time. A run stopped in time keeps its checkpoint, and its unit
/// need not wait for the lease to expire.
inline bool mustLeave(Instant LeavesAt, const RemainingTime &Run, Instant Now) {
  return Run.Span > LeavesAt - Now;
}

/// Finds other workers for refused gang members, so that the members that have
/// started need not stop. Load pattern: bursts of gangs while some workers shed
/// load. Changes nothing. Thread safety: none.
MovePlan planMoves(const PlanningView &View);

/// Reserves the workers that run urgent work for the next urgent gang, by
/// WorkerLink::ReservedForUrgentUntil. Thread safety: none.
void reserveForUrgent(const PlanningView &View);

/// Ranks the waiting units and plans their placement. Changes nothing. Thread
/// safety: none.
PlanningResult planRound(const PlanningView &View);

/// Carries out the decisions of a round in the table that it was planned from.
/// Thread safety: none.
void applyPlan(JobTable &Table, const PlanningResult &Plan, Instant Now);

/// Returns the terms in force for a job: those of its queue, or those stored
/// with the job if the queue no longer exists.
const QueueTerms &termsOf(const DesiredState &Desired, const Job &Job);

} // namespace pistachioflow
