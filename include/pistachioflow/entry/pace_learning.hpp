#pragma once

#include <optional>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/worker_link.hpp"
#include "pistachioflow/sched/desired_state.hpp"
#include "pistachioflow/sched/job_table.hpp"
#include "pistachioflow/sched/worker_pace.hpp"

namespace pistachioflow {

/// Whether placements consider the pace of workers.
enum class PacePlacement {
  Off,
  Auto, ///< For a service whose workers differ by more than its queues allow.
  On,
};

/// Returns the mode called off, auto or on, or nothing.
std::optional<PacePlacement> parsePacePlacement(std::string_view Name);

/// Returns the kind of work that a unit's tasks are: their image, or their
/// queue if they name none. Borrows from \p Entry.
std::string_view taskKindOf(const Unit &Entry);

/// Returns the kinds of work on a worker.
TaskKinds taskKindsOn(const JobTable &Table, const PaceModel &Model,
                      std::string_view Worker);

/// Learns from the progress that a worker has just reported. Precondition: the
/// report has been applied at \p Now.
void learnFromProgress(PaceModel &Model, const JobTable &Table,
                       const WorkerLink &Worker, Instant Now);

/// Whether the pace of workers decides among those that a unit of \p Service
/// fits on. \p Spread is that of the workers, see paceSpread(). With Auto, it
/// has to exceed the least stretch of the service's queues: then a slow worker
/// alone makes tasks miss their objective. A spread that may be chance never
/// decides. Thread safety: pure.
bool paceDecides(PacePlacement Mode, const DesiredState &Desired,
                 std::string_view Service, double Spread);

} // namespace pistachioflow
