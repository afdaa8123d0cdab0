#pragma once

#include <string>

#include "measure.hpp"

namespace pistachioflow::capacity {

/// What was read of a real daemon at rest, by scripts/capacity.
struct IdleDaemon {
  double ResidentMb = 0;
  double Threads = 0;
  double Core = 0; ///< Share of one core.
};

/// Returns the tables of docs/CAPACITY.md in Markdown.
std::string capacityTables(const Measured &Figures, const IdleDaemon &Idle);

} // namespace pistachioflow::capacity
