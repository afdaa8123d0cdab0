#pragma once

#include <vector>

#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow {

/// Tasks that a worker has and that the folded state does not want there.
struct UnwantedTasks {
  ReportedTasks Tasks;
  /// False: they ended and only their lease is left to release.
  bool Orphan = false;
};

/// Compares what a worker has with the folded state.
///
/// Preconditions: \p State was folded to the end of the stream before the
/// worker was asked, and the caller owns the cell: then no start that the
/// worker can have received is missing from it.
/// Thread safety: pure.
std::vector<UnwantedTasks> findUnwanted(const policy::CellState &State,
                                        const WorkerReport &Report);

} // namespace pistachioflow
