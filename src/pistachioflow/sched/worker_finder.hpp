#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include "candidate_workers.hpp"
#include "fit_bounds.hpp"

namespace pistachioflow {

/// Looks for the workers of one round's units, by one of three free amounts,
/// and remembers of which kinds too few tasks fit. Thread safety: none.
class WorkerFinder {
public:
  /// \p Workers must outlive it. Whoever releases capacity of one has to say
  /// so.
  explicit WorkerFinder(std::span<const PlacementWorker> Workers)
      : Workers(Workers) {}

  /// Returns a worker for each task of the unit, or nothing if there are too
  /// few; see searchWorkers().
  std::optional<WorkerChoice> find(const WaitingUnit &Unit,
                                   std::span<const std::string_view> Racks,
                                   Resources PlacementWorker::*Free);

  /// To be called when capacity was released.
  void forgetAll();
  /// To be called when capacity will be released that is not free now.
  void forgetLater();

  /// Returns how often all workers were looked through.
  std::size_t searches() const { return this->Searches; }

private:
  FitBounds &boundsFor(Resources PlacementWorker::*Free);

  std::span<const PlacementWorker> Workers;
  FitBounds Now;
  FitBounds AfterStops;
  FitBounds AfterExpectedEnds;
  std::size_t Searches = 0;
};

} // namespace pistachioflow
