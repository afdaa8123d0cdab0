#pragma once

#include <string>
#include <vector>

#include "measure.hpp"
#include "report.hpp"

namespace pistachioflow::capacity {

/// One thing that a daemon does or holds at the target, in one role.
struct Line {
  std::string Role;
  std::string What;
  double Bytes = 0; ///< A second, sent and received.
  double Core = 0;  ///< Share of one core.
  double MemoryMb = 0;
  double Appends = 0; ///< To the log, a second, by this daemon.
  std::string Mechanism;
};

/// The mix of the target in one cell.
struct CellMix {
  double Workers = 0;
  double Gangs = 0;
  double Placements = 0; ///< Over all running gangs.
  double GangsOfWorker = 0;
};

CellMix targetCell();

/// Everything that one of \p Daemons daemons does at the target. \p FollowAll:
/// each daemon folds every cell, as it does today.
std::vector<Line> dailyLoad(const Measured &Figures, const IdleDaemon &Idle,
                            double Daemons, bool FollowAll);

/// One event that is not of every day.
struct Scenario {
  std::string Name;
  double Records = 0;
  double LogBytes = 0;
  double SecondsAtBound = 0; ///< To carry the bytes at 25 KB/s on one daemon.
  std::string Mechanism;
};

std::vector<Scenario> scenarios(const Measured &Figures);

/// How many of something one daemon carries within its bound.
struct Limit {
  std::string What;
  double Bound = 0;   ///< The count at which the bound is reached.
  double Target = 0;  ///< The count on each of 9 daemons at the target.
  std::string Change; ///< What would carry the target.
};

std::vector<Limit> limits(const Measured &Figures, const IdleDaemon &Idle);

} // namespace pistachioflow::capacity
