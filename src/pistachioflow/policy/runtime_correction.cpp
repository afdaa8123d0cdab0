#include "pistachioflow/policy/runtime_correction.hpp"

#include <algorithm>

namespace pistachioflow::policy {

namespace {

constexpr std::int64_t Permille = 1'000;
constexpr std::int64_t LowestRatio = 50;
constexpr std::int64_t HighestRatio = 20'000;

/// The newest job counts for one part in this many.
constexpr std::int64_t Smoothing = 8;

} // namespace

Duration correctedRuntime(const CellState &State, const JobSpec &Spec) {
  const auto Found = State.Ratios.find(Spec.Workspace);
  if (Found == State.Ratios.end())
    return Spec.DeclaredRuntime;
  return {Spec.DeclaredRuntime.Ms * Found->second.RuntimePermille / Permille};
}

void updateRuntimeRatio(CellState &State, const JobState &Job, Duration Run) {
  if (Job.Spec.DeclaredRuntime.Ms <= 0)
    return;
  const std::int64_t ObservedRatio =
      std::clamp(Run.Ms * Permille / Job.Spec.DeclaredRuntime.Ms, LowestRatio,
                 HighestRatio);
  std::int64_t &Ratio = State.Ratios[Job.Spec.Workspace].RuntimePermille;
  Ratio += (ObservedRatio - Ratio) / Smoothing;
}

} // namespace pistachioflow::policy
