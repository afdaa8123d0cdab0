#include "pistachioflow/sched/worker_trust.hpp"

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

void bar(WorkerTrust &Trust, Duration Span, Instant Now) {
  Trust.LastStrike = Now;
  Trust.BarredUntil =
      std::max(Trust.BarredUntil, Now + std::min(Span, LongestBar));
}

Duration doubled(Duration Span, std::size_t Times) {
  constexpr std::size_t MostDoublings = 8;
  return Span * (std::int64_t{1} << std::min(Times, MostDoublings));
}

} // namespace

void noteEarlyFailure(WorkerTrust &Trust, std::string_view JobId, Instant Now) {
  Trust.FailedJobs.emplace(JobId);
  const std::size_t Jobs = Trust.FailedJobs.size();
  bar(Trust, Jobs == 1 ? FirstBar : doubled(RepeatedBar, Jobs - 2), Now);
}

void noteStuckRun(WorkerTrust &Trust, Instant Now) {
  bar(Trust, RepeatedBar, Now);
}

void noteRefusal(WorkerTrust &Trust, Instant Now) {
  const auto Earlier = static_cast<std::size_t>(Trust.Refusals++);
  bar(Trust, doubled(RefusalBar, Earlier), Now);
}

void noteSurvival(WorkerTrust &Trust, Instant PlacedAt, Instant Now) {
  if (PlacedAt <= Trust.LastStrike)
    return; // It says nothing about what is started now.
  Trust = WorkerTrust{};
  Trust.ProvenAt = Now;
}

bool isBarred(const WorkerTrust &Trust, Instant Now) {
  return Now < Trust.BarredUntil;
}

bool isOnProbation(const WorkerTrust &Trust, Instant Now) {
  return Trust.LastStrike.Ms != 0 && Now < Trust.BarredUntil + ProbationLasts;
}

bool isProven(const WorkerTrust &Trust, Instant Now) {
  return Trust.ProvenAt.Ms != 0 && Now - Trust.ProvenAt <= ProofLasts;
}

} // namespace pistachioflow
