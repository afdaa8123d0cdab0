#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/event.hpp"
#include "pistachioflow/policy/cell_index.hpp"
#include "pistachioflow/policy/job_state.hpp"

namespace pistachioflow::policy {

/// What one operator's deployment prefers. One value for each cluster.
struct Settings {
  /// 0 weighs completion time alone, 1 weighs fragmentation alone.
  double FragmentationWeight = 0.3;
  Duration ReclaimDeadline{4'000};
};

/// The presets of the two deployments.
constexpr Settings ChessPreset{0.2, {4'000}};
constexpr Settings CuringPreset{0.8, {4'000}};

/// Capacity that is kept for one large job.
struct Reservation {
  JobId Job;
  std::vector<Placement> Placements;
  Instant ExpectedStart;
  Instant CreatedAt;

  MSGPACK_DEFINE(Job, Placements, ExpectedStart, CreatedAt)
};

/// What the ended jobs of one workspace really took.
struct ObservedRatios {
  std::int64_t RuntimePermille = 1'000; ///< Real over declared run time.
  std::int64_t CoresPermille = 1'000;   ///< Used over declared cores.

  MSGPACK_DEFINE(RuntimePermille, CoresPermille)
};

/// A guaranteed gang that has no home, as reported last.
struct AtRisk {
  WorkspaceId Workspace;
  GangShape Shape;

  bool operator==(const AtRisk &) const = default;
  MSGPACK_DEFINE(Workspace, Shape)
};

/// Everything that the owner of one cell decides on. A pure fold of the cell's
/// stream. Not thread safe: its owner guards it with the cell's lock. Change it
/// through observe() and apply() alone, which keep the index in step.
struct CellState {
  Lists Configuration;
  std::map<JobId, JobState> Jobs;
  std::map<WorkerId, WorkerState> Workers;
  std::vector<Home> Homes;
  bool HomesStale = false; ///< Lists or workers changed since they were packed.
  std::vector<AtRisk> GuaranteesAtRisk;
  std::vector<Reservation> Reservations;
  std::map<WorkspaceId, ObservedRatios> Ratios;
  std::vector<JobId> Duplicates; ///< Submitted again with another spec.
  Instant ObservedAt;

  MSGPACK_DEFINE(Configuration, Jobs, Workers, Homes, HomesStale,
                 GuaranteesAtRisk, Reservations, Ratios, Duplicates, ObservedAt)

  CellIndex Index;
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
