#include "pistachioflow/policy/queue_order.hpp"

#include <algorithm>

namespace pistachioflow::policy {

namespace {

constexpr Duration ShortestRuntime{1'000};

} // namespace

std::int64_t queueOrder(const JobState &Job) {
  const Duration Behind = std::min(remainingRuntime(Job), MaxOvertaking);
  return (Job.SubmittedAt + Behind).Ms;
}

Duration remainingRuntime(const JobState &Job) {
  const Duration Left{Job.ExpectedRuntime.Ms - Job.SavedProgress.Ms};
  return std::max(Left, ShortestRuntime);
}

Instant expectedEnd(const JobState &Job, Instant Now) {
  const Instant Planned = Job.CheckpointAt + remainingRuntime(Job);
  if (Planned > Now)
    return Planned;
  const Duration Run = Now - Job.CheckpointAt;
  return Now + std::max(Duration{Run.Ms / 2}, ShortestRuntime);
}

} // namespace pistachioflow::policy
