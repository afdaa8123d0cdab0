#include "pistachioflow/sched/worker_reliability.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// After failures of one job, which may itself be at fault.
constexpr Duration FirstSuspension{400};
/// After failures of two jobs; doubles with each further job.
constexpr Duration RepeatedSuspension{2'000};
constexpr Duration RefusalSuspension{300};
/// Longer suspensions would exclude workers long after they have recovered.
constexpr Duration MaxSuspension{6'000};
/// Longer than EarlyFailureWindow, so that a task started meanwhile can
/// succeed.
constexpr Duration ProbationPeriod{1'500};
/// Workers may fail at any time: older successes mean little.
constexpr Duration VerificationLifetime{2'500};

void suspend(WorkerReliability &Worker, Duration Span, Instant Now) {
  Worker.LastFailureAt = Now;
  Worker.SuspendedUntil =
      std::max(Worker.SuspendedUntil, Now + std::min(Span, MaxSuspension));
}

Duration doubled(Duration Span, std::size_t Times) {
  constexpr std::size_t MaxDoublings = 8;
  return Span * (std::int64_t{1} << std::min(Times, MaxDoublings));
}

} // namespace

void recordEarlyFailure(WorkerReliability &Worker, std::string_view JobId,
                        Instant Now) {
  Worker.FailedJobs.emplace(JobId);
  const std::size_t Jobs = Worker.FailedJobs.size();
  suspend(Worker,
          Jobs == 1 ? FirstSuspension : doubled(RepeatedSuspension, Jobs - 2),
          Now);
}

void recordStuckRun(WorkerReliability &Worker, Instant Now) {
  suspend(Worker, RepeatedSuspension, Now);
}

void recordRefusal(WorkerReliability &Worker, Instant Now) {
  const auto Earlier = static_cast<std::size_t>(Worker.Refusals++);
  suspend(Worker, doubled(RefusalSuspension, Earlier), Now);
}

void recordSuccess(WorkerReliability &Worker, Instant PlacedAt, Instant Now) {
  if (PlacedAt <= Worker.LastFailureAt)
    return; // The run began before the latest failure.
  Worker = WorkerReliability{};
  Worker.VerifiedAt = Now;
}

bool isSuspended(const WorkerReliability &Worker, Instant Now) {
  return Now < Worker.SuspendedUntil;
}

bool isOnProbation(const WorkerReliability &Worker, Instant Now) {
  return Worker.LastFailureAt.Ms != 0 &&
         Now < Worker.SuspendedUntil + ProbationPeriod;
}

bool isVerified(const WorkerReliability &Worker, Instant Now) {
  return Worker.VerifiedAt.Ms != 0 &&
         Now - Worker.VerifiedAt <= VerificationLifetime;
}

} // namespace pistachioflow
