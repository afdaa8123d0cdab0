#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/event.hpp"

namespace pistachioflow::policy {

/// What one operator's deployment prefers. One value for each cluster.
struct Settings {
  /// 0 weighs completion time alone, 1 weighs fragmentation alone.
  double FragmentationWeight = 0.3;
  Duration ReclaimDeadline{4'000};
};

/// A job as the fold of its cell knows it.
struct JobState {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  Attempt Try = 0;
  bool Admitted = false;
  bool Borrowed = false;
  std::vector<Placement> Placements;
  Instant SubmittedAt;
  Instant StartedAt;

  MSGPACK_DEFINE(Spec, Phase, Try, Admitted, Borrowed, Placements, SubmittedAt,
                 StartedAt)
};

struct WorkerState {
  WorkerInfo Info;
  bool Lost = false;

  MSGPACK_DEFINE(Info, Lost)
};

/// Everything that the owner of one cell decides on. A pure fold of the cell's
/// stream. Not thread safe: its owner guards it with the cell's lock.
struct CellState {
  Lists Configuration;
  std::map<JobId, JobState> Jobs;
  std::map<WorkerId, WorkerState> Workers;
  std::vector<Home> Homes;

  MSGPACK_DEFINE(Configuration, Jobs, Workers, Homes)
};

// The four functions below are the whole interface of the decisions. They do no
// I/O, take no lock and read no clock; the same arguments give the same result.
// Thread safety: calls on different states may run at the same time.

/// Folds one fact into \p State. \p At is the record's time. Facts that no
/// longer fit (an old attempt, an unknown job) change nothing.
void observe(CellState &State, const Event &Fact, Instant At);

/// Folds one action into \p State. Returns false, and changes nothing, where
/// the action does not fit the state (any more).
bool apply(CellState &State, const Action &What, Instant At);

/// Decides what to do now. The decisions fit \p State when applied in order.
std::vector<Decision> decide(const CellState &State, const Settings &Prefer,
                             Instant Now);

/// Observes, decides and applies in one call, as a bench or a replay drives it.
std::vector<Decision> step(CellState &State, const Event &Fact,
                           const Settings &Prefer, Instant Now);

} // namespace pistachioflow::policy
