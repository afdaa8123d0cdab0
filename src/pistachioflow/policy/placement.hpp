#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "pistachioflow/policy/cell_index.hpp"

namespace pistachioflow::policy {

/// The tasks of a gang on one worker, by its slot.
struct SlotShare {
  SlotIndex Slot = 0;
  std::uint32_t Tasks = 0;
};

using Shares = std::vector<SlotShare>;

/// Returns what a placement costs; the lowest one is taken.
using PlacementCost = std::function<std::int64_t(std::span<const SlotShare>)>;

/// Parameters of the search for a placement of one gang.
struct PlacementSearch {
  const Capacity &Cap;
  GangShape Shape;
  std::span<const Amount> Available; ///< By slot, for this gang.
  /// Fills nearly full workers first, so that empty ones stay empty.
  bool PartlyUsedFirst = false;
};

/// Returns the cheapest placement that honours the shape's adjacency, or
/// nothing. Of equal ones the first in slot order is taken. \p Looked counts
/// the placements that were weighed.
std::optional<Shares> findPlacement(const PlacementSearch &Search,
                                    const PlacementCost &Cost,
                                    std::uint64_t &Looked);

} // namespace pistachioflow::policy
