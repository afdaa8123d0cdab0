#include "pistachioflow/sched/preference.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// Shorter than any time in which operators expect idle workers to be used, and
/// long enough for runs to end that are just about to.
constexpr Duration MinPreferenceLimit{2'000};

} // namespace

Duration preferenceLimit(const PreferenceInputs &Inputs) {
  if (Inputs.LongRunning || Inputs.SpareCapacity)
    return MinPreferenceLimit;
  const double ExtraMs =
      (Inputs.RemotePenalty - 1.0) * static_cast<double>(Inputs.ExpectedMs);
  return std::max(MinPreferenceLimit,
                  Duration{static_cast<std::int64_t>(ExtraMs)});
}

bool hasSpareCapacity(std::span<const PlacementWorker> Workers,
                      std::string_view Service) {
  Resources Total;
  Resources Free;
  for (const PlacementWorker &Worker : Workers) {
    if (Worker.Service != Service)
      continue;
    Total = Total + Worker.Capacity;
    Free = Free + Worker.FreeNow;
  }
  if (Total.Accelerators > 0)
    return Free.Accelerators * 2 > Total.Accelerators;
  return Free.MilliCores * 2 > Total.MilliCores;
}

} // namespace pistachioflow
