#include "pistachioflow/sched/preference.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// Shorter than any time in which operators expect idle workers to be used, and
/// long enough for runs to end that are just about to.
constexpr Duration MinPreferenceLimit{2'000};
/// Most runs that a reserved worker has to wait for end within this time.
constexpr Duration MinReservationLimit{10'000};

SpareCapacity countSpare(std::span<const PlacementWorker> Workers,
                         std::string_view Service, bool CountEvacuated) {
  Resources Total;
  Resources Free;
  for (const PlacementWorker &Worker : Workers) {
    if (Worker.Service != Service || (Worker.Evacuated && !CountEvacuated))
      continue;
    Total = Total + Worker.Capacity;
    Free = Free + Worker.FreeNow;
  }
  const auto MostlyFree = [](std::int64_t Unused, std::int64_t All) {
    return All > 0 && Unused > All / 2;
  };
  return {MostlyFree(Free.MilliCores, Total.MilliCores),
          MostlyFree(Free.MemoryMb, Total.MemoryMb),
          MostlyFree(Free.Accelerators, Total.Accelerators)};
}

} // namespace

Duration preferenceLimit(const PreferenceInputs &Inputs) {
  if (Inputs.LongRunning || Inputs.SpareCapacity)
    return MinPreferenceLimit;
  const double ExtraMs =
      (Inputs.RemotePenalty - 1.0) * static_cast<double>(Inputs.ExpectedMs);
  return std::max(MinPreferenceLimit,
                  Duration{static_cast<std::int64_t>(ExtraMs)});
}

Duration reservationLimit(const PreferenceInputs &Inputs) {
  if (Inputs.LongRunning || Inputs.SpareCapacity)
    return preferenceLimit(Inputs);
  return std::max(MinReservationLimit, preferenceLimit(Inputs));
}

SpareCapacity spareCapacity(std::span<const PlacementWorker> Workers,
                            std::string_view Service) {
  const SpareCapacity InService = countSpare(Workers, Service, false);
  const SpareCapacity All = countSpare(Workers, Service, true);
  return {InService.Cores || All.Cores, InService.Memory || All.Memory,
          InService.Accelerators || All.Accelerators};
}

} // namespace pistachioflow
