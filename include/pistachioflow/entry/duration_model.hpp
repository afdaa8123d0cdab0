#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pistachioflow {

/// Predicts task durations for each queue: blends observed durations with
/// callers' estimates, weighted by the accuracy of each. Thread safety: none.
class DurationModel {
public:
  /// Adds the duration of a run that ended as done without a checkpoint.
  void learn(const std::string &Queue, std::int64_t EstimatedMs,
             std::int64_t ActualMs);

  /// Returns the expected duration of a task.
  std::int64_t expectedMs(const std::string &Queue,
                          std::int64_t EstimatedMs) const;

private:
  /// Mean and variance of logarithms.
  struct LogStatistics {
    double Mean = 0;
    double SquaredDeviations = 0;
    double Count = 0;

    void add(double Value);
    double variance() const;
  };
  struct QueueStatistics {
    LogStatistics Actual;
    LogStatistics Ratio; ///< Actual over estimated.
  };
  std::map<std::string, QueueStatistics> Queues;
};

} // namespace pistachioflow
