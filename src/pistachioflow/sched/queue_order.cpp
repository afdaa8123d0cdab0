#include "pistachioflow/sched/queue_order.hpp"

namespace pistachioflow {

namespace {

/// A late answer is still worth something up to this multiple of the objective.
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
  const Instant InTime = LatestStart(ObjectiveMs);
  if (Now <= InTime)
    return {Inputs.Priority, 0, InTime};
  const Instant Late = LatestStart(LateFactor * ObjectiveMs);
  if (Now <= Late)
    return {Inputs.Priority, 1, Late};
  return {Inputs.Priority, 2, Inputs.ReleasedAt};
}

} // namespace pistachioflow
