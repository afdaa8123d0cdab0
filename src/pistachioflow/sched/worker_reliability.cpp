#include "pistachioflow/sched/worker_reliability.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// After failures of one job, which may be the job's own fault.
constexpr Duration FirstBar{400};
/// After failures of several jobs; doubles with each further job.
constexpr Duration RepeatedBar{2'000};
constexpr Duration RefusalBar{300};
/// Longer bars would keep a worker out for long after it has recovered.
constexpr Duration LongestBar{6'000};
/// Longer than a task takes to show whether it lives.
constexpr Duration ProbationLasts{1'500};
/// Workers turn bad at any time: older proof counts for little.
constexpr Duration ProofLasts{2'500};

void bar(WorkerReliability &Trust, Duration Span, Instant Now) {
  Trust.LastFailureAt = Now;
  Trust.SuspendedUntil =
      std::max(Trust.SuspendedUntil, Now + std::min(Span, LongestBar));
}

Duration doubled(Duration Span, std::size_t Times) {
  constexpr std::size_t MostDoublings = 8;
  return Span * (std::int64_t{1} << std::min(Times, MostDoublings));
}

} // namespace

void recordEarlyFailure(WorkerReliability &Trust, std::string_view JobId,
                        Instant Now) {
  Trust.FailedJobs.emplace(JobId);
  const std::size_t Jobs = Trust.FailedJobs.size();
  bar(Trust, Jobs == 1 ? FirstBar : doubled(RepeatedBar, Jobs - 2), Now);
}

void recordStuckRun(WorkerReliability &Trust, Instant Now) {
  bar(Trust, RepeatedBar, Now);
}

void recordRefusal(WorkerReliability &Trust, Instant Now) {
  const auto Earlier = static_cast<std::size_t>(Trust.Refusals++);
  bar(Trust, doubled(RefusalBar, Earlier), Now);
}

void recordSuccess(WorkerReliability &Trust, Instant PlacedAt, Instant Now) {
  if (PlacedAt <= Trust.LastFailureAt)
    return; // It says nothing about what is started now.
  Trust = WorkerReliability{};
  Trust.VerifiedAt = Now;
}

bool isSuspended(const WorkerReliability &Trust, Instant Now) {
  return Now < Trust.SuspendedUntil;
}

bool isOnProbation(const WorkerReliability &Trust, Instant Now) {
  return Trust.LastFailureAt.Ms != 0 &&
         Now < Trust.SuspendedUntil + ProbationLasts;
}

bool isVerified(const WorkerReliability &Trust, Instant Now) {
  return Trust.VerifiedAt.Ms != 0 && Now - Trust.VerifiedAt <= ProofLasts;
}

} // namespace pistachioflow
