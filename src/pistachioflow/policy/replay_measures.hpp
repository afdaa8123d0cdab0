#pragma once

#include <cstdint>

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Averages the fragmentation of a cell's free accelerators.
class FragmentationMeasures {
public:
  /// Adds one sample.
  void add(const CellState &State);

  /// Returns the mean of the largest free block of a rack over all that is
  /// free, where something was.
  double largestFreeShare() const;

  /// Returns the mean share of what is free that lies in racks with less free
  /// than the largest shape that is promised or queued.
  double fragmented() const;

private:
  double LargestSum = 0;
  double FragmentedSum = 0;
  std::uint64_t Count = 0;
};

} // namespace pistachioflow::policy
