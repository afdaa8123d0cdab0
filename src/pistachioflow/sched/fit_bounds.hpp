#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

/// What decides on which workers a task of a unit fits, besides the workers.
struct FitKind {
  std::string_view Service;
  std::string_view RequiredLabel;
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  bool IsGang = false;
  bool IsUrgent = false;
  bool AcceptsAnyWorker = false;
  bool IgnoresReservations = false;
  bool AcceptsSuspended = false;
  bool LastAttempt = false;

  auto operator<=>(const FitKind &) const = default;
};

/// Returns the kind of a unit. Precondition: its step has no MaxPerWorker,
/// since then its siblings count as well.
FitKind fitKind(const WaitingUnit &Unit);

/// Upper bounds of how many tasks of a kind fit on the workers, as searches
/// that found too few have shown. They hold until capacity is released.
///
/// Load pattern: a full queue of many jobs of a few kinds. Each unit that does
/// not fit would look through all workers again. Thread safety: none.
class FitBounds {
public:
  /// Whether a search for \p Tasks tasks is known to find too few: on all
  /// workers together, or on each of \p Racks by itself if any are named.
  bool excludes(const FitKind &Kind, std::int64_t Tasks,
                std::span<const std::string_view> Racks) const;

  /// Notes that \p Fitting tasks fit on all workers together and \p OnOneRack
  /// on the best of \p Racks. Precondition: too few were found, so that neither
  /// figure was cut off at the number of tasks.
  void learn(const FitKind &Kind, std::int64_t Tasks, std::int64_t Fitting,
             std::span<const std::string_view> Racks, std::int64_t OnOneRack);

  /// Forgets everything, since capacity was released.
  void clear() { this->Bounds.clear(); }

private:
  struct Bound {
    std::int64_t Anywhere = UnlimitedTasks;
    std::vector<std::string_view> Racks;
    std::int64_t OnOneRack = UnlimitedTasks;
  };

  std::map<FitKind, Bound> Bounds;
};

} // namespace pistachioflow
