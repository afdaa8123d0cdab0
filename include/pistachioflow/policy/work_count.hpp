#pragma once

#include <cstdint>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/action.hpp"

namespace pistachioflow::policy {

struct CellState;
struct Settings;

/// Counts the work of one call of decide().
struct WorkCount {
  std::uint64_t JobsExamined = 0;
  std::uint64_t PlacementsEvaluated = 0;
  std::uint64_t VictimsEvaluated = 0;
};

/// Decides like decide() of cell.hpp, and adds to \p Work.
std::vector<Decision> decide(const CellState &State, const Settings &Prefer,
                             Instant Now, WorkCount &Work);

} // namespace pistachioflow::policy
