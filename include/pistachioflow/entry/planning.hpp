#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/worker_link.hpp"
#include "pistachioflow/sched/desired_state.hpp"
#include "pistachioflow/sched/job_table.hpp"
#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

using WorkerLinks = std::map<std::string, std::shared_ptr<WorkerLink>>;

/// How long tasks of each queue run: what was seen, blended with callers'
/// estimates by how well each has predicted. Thread safety: none.
class DurationModel {
public:
  /// Learns from a run that ended as done without a checkpoint.
  void learn(const std::string &Queue, std::int64_t EstimatedMs,
             std::int64_t ActualMs);

  /// How long a task of a step will probably run.
  std::int64_t expectedMs(const std::string &Queue,
                          std::int64_t EstimatedMs) const;

private:
  /// Mean and variance of logarithms.
  struct LogStatistics {
    double Mean = 0;
    double SquaredDeviations = 0;
    double Count = 0;

    void add(double Value);
    double variance() const;
  };
  struct QueueStatistics {
    LogStatistics Actual;
    LogStatistics Ratio; ///< Actual over estimated.
  };
  std::map<std::string, QueueStatistics> Queues;
};

/// Everything a round of placement looks at.
struct PlanningView {
  JobTable &Table;
  const WorkerLinks &Workers;
  const DesiredState &Desired;
  const DurationModel &Durations;
  Instant Now;
  /// Guaranteed work that has waited this long takes room from work of its own
  /// priority.
  Duration ReclaimAfter;
  Duration StopTimeout; ///< A worker ends a stopped run within this.
};

/// A decision in terms of the table.
struct UnitPlacement {
  Unit *Placed = nullptr;
  std::vector<PlaceRecord> Places;
};

/// A unit that gives way, and to which.
struct UnitPreemption {
  Unit *Victim = nullptr;
  Unit *Beneficiary = nullptr;
};

/// Workers that lower priorities leave to a unit.
struct UnitReservation {
  Unit *Beneficiary = nullptr;
  std::vector<std::string> Workers;
};

struct PlanningResult {
  std::vector<UnitPlacement> Starts;
  std::vector<UnitPreemption> Preemptions;
  std::vector<UnitReservation> Reservations;
  std::size_t Waiting = 0;
};

/// Where members of gangs go that their workers refused.
struct MovePlan {
  struct Move {
    MemberRef Ref;
    PlaceRecord Place;
  };
  std::vector<Move> Moves;
  std::vector<Unit *>
      Unplaceable; ///< No worker is left for one of the members.
};

/// Until a run probably ends.
struct RemainingTime {
  Duration Span;
  bool FromProgress = false; ///< Else by what such runs take.
};

/// Predicts the end of a placed unit from the progress that its workers report.
RemainingTime remainingTime(const PlanningView &View, const Unit &Of);

/// Whether a run has to leave a draining worker: it would probably not end in
/// time. What is stopped in time keeps its checkpoint and waits for no lease.
inline bool mustLeave(Instant LeavesAt, const RemainingTime &Run, Instant Now) {
  return Run.Span > LeavesAt - Now;
}

/// Finds other workers for refused members, so that the members of their gangs
/// that have started need not stop. Answers bursts of gangs while some workers
/// shed load. Changes nothing. Thread safety: none.
MovePlan planMoves(const PlanningView &View);

/// Ranks what waits, and places it. Changes nothing. Thread safety: none.
PlanningResult planRound(const PlanningView &View);

/// The terms in force for a job: its queue's, or those it was accepted under.
const QueueTerms &termsOf(const DesiredState &Desired, const Job &Of);

} // namespace pistachioflow
