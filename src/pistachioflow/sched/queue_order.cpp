#include "pistachioflow/sched/queue_order.hpp"

namespace pistachioflow {

namespace {

/// Late results are still of use up to this multiple of the objective.
constexpr double LateFactor = 3.0;

} // namespace

QueueRank rankUnit(const RankInputs &Inputs, Instant Now) {
  const double ObjectiveMs =
      Inputs.Stretch * static_cast<double>(Inputs.CriticalPathMs) +
      static_cast<double>(Inputs.AllowanceMs);
  const auto LatestStart = [&Inputs](double LimitMs) {
    return Inputs.ReleasedAt +
           Duration{static_cast<std::int64_t>(LimitMs) - Inputs.RemainingMs};
  };
  const Instant OnTimeStart = LatestStart(ObjectiveMs);
  if (Now <= OnTimeStart)
    return {Inputs.Priority, 0, OnTimeStart};
  const Instant LateStart = LatestStart(LateFactor * ObjectiveMs);
  if (Now <= LateStart)
    return {Inputs.Priority, 1, LateStart};
  return {Inputs.Priority, 2, Inputs.ReleasedAt};
}

} // namespace pistachioflow
