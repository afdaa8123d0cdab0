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

/// Scheduling preferences of one deployment. The same for a whole cluster.
struct Settings {
  /// 0 weighs completion time alone, 1 weighs fragmentation alone.
  double FragmentationWeight = 0.3;
  Duration ReclaimDeadline{4'000};
};

/// The presets of the two deployments.
constexpr Settings ChessPreset{0.2, {4'000}};
constexpr Settings CuringPreset{0.8, {4'000}};

/// Capacity that is reserved for one large job.
struct Reservation {
  JobId Job;
  std::vector<Placement> Placements;
  Instant ExpectedStart;
  Instant CreatedAt;

  MSGPACK_DEFINE(Job, Placements, ExpectedStart, CreatedAt)
};

/// Actual usage of one workspace's ended jobs, relative to what they declared.
struct ObservedRatios {
  std::int64_t RuntimePermille = 1'000; ///< Real over declared run time.
  std::int64_t CoresPermille = 1'000;   ///< Used over declared cores.

  MSGPACK_DEFINE(RuntimePermille, CoresPermille)
};

/// A guaranteed gang without a home, as last reported.
struct AtRisk {
  WorkspaceId Workspace;
  GangShape Shape;

  bool operator==(const AtRisk &) const = default;
  MSGPACK_DEFINE(Workspace, Shape)
};

/// The state that the decisions of one cell depend on. A pure fold of the
/// cell's stream. Not thread safe: the owner guards it with the cell's lock.
/// Change it only through observe() and apply(), which keep Index consistent.
struct CellState {
  Lists Configuration;
  std::map<JobId, JobState> Jobs;
  std::map<WorkerId, WorkerState> Workers;
  /// A home is the set of workers where one guaranteed gang can be placed.
  std::vector<Home> Homes;
  bool HomesStale = false; ///< Lists or workers changed since packing.
  std::vector<AtRisk> GuaranteesAtRisk;
  std::vector<Reservation> Reservations;
  std::map<WorkspaceId, ObservedRatios> Ratios;
  std::vector<JobId> Duplicates; ///< Submitted again with another spec.
  Instant ObservedAt;

  MSGPACK_DEFINE(Configuration, Jobs, Workers, Homes, HomesStale,
                 GuaranteesAtRisk, Reservations, Ratios, Duplicates, ObservedAt)

  CellIndex Index;
};

// The four functions below are the policy's interface. They are deterministic:
// no I/O, no locks, no clock. Thread safety: calls on different states may run
// concurrently.

/// Folds one event into \p State. \p At is the record's time. Outdated events
/// (of an old attempt or an unknown job) change nothing.
void observe(CellState &State, const Event &Fact, Instant At);

/// Folds one action into \p State. Returns false, and changes nothing, if the
/// action is not valid in this state.
bool apply(CellState &State, const Action &Order, Instant At);

/// Returns the decisions due at \p Now, valid if applied to \p State in order.
std::vector<Decision> decide(const CellState &State, const Settings &Prefer,
                             Instant Now);

/// Observes, decides and applies in one call, for benchmarks and replays.
std::vector<Decision> step(CellState &State, const Event &Fact,
                           const Settings &Prefer, Instant Now);

} // namespace pistachioflow::policy
