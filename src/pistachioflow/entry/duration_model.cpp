#include "pistachioflow/entry/duration_model.hpp"

#include <cmath>

namespace pistachioflow {

void DurationModel::LogStatistics::add(double Value) {
  this->Count += 1;
  const double Before = Value - this->Mean;
  this->Mean += Before / this->Count;
  this->SquaredDeviations += Before * (Value - this->Mean);
}

double DurationModel::LogStatistics::variance() const {
  // A wide prior keeps the weight of few samples low.
  constexpr double PriorVariance = 1.0;
  return (this->SquaredDeviations + PriorVariance) / (this->Count + 1.0);
}

void DurationModel::learn(const std::string &Queue, std::int64_t EstimatedMs,
                          std::int64_t ActualMs) {
  if (EstimatedMs <= 0 || ActualMs <= 0)
    return;
  QueueStatistics &Entry = this->Queues[Queue];
  const double Actual = std::log(static_cast<double>(ActualMs));
  Entry.Actual.add(Actual);
  Entry.Ratio.add(Actual - std::log(static_cast<double>(EstimatedMs)));
}

std::int64_t DurationModel::expectedMs(const std::string &Queue,
                                       std::int64_t EstimatedMs) const {
  const auto Match = this->Queues.find(Queue);
  if (Match == this->Queues.end() || EstimatedMs <= 0)
    return EstimatedMs;
  const QueueStatistics &Entry = Match->second;
  const double ByEstimate =
      std::log(static_cast<double>(EstimatedMs)) + Entry.Ratio.Mean;
  const double ActualWeight = Entry.Ratio.variance();
  const double EstimateWeight = Entry.Actual.variance();
  const double Blend =
      (ActualWeight * Entry.Actual.Mean + EstimateWeight * ByEstimate) /
      (ActualWeight + EstimateWeight);
  return static_cast<std::int64_t>(std::exp(Blend));
}

} // namespace pistachioflow
