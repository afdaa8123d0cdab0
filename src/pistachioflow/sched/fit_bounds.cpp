#include "fit_bounds.hpp"

#include <algorithm>

#include "candidate_workers.hpp"

namespace pistachioflow {

FitKind fitKind(const WaitingUnit &Unit) {
  const Resources PerTask = countedDemand(*Unit.Step);
  FitKind Kind;
  Kind.Service = Unit.Service;
  Kind.RequiredLabel = Unit.Step->RequiredLabel;
  Kind.MilliCores = PerTask.MilliCores;
  Kind.MemoryMb = PerTask.MemoryMb;
  Kind.Accelerators = PerTask.Accelerators;
  Kind.IsGang = Unit.TaskCount > 1;
  Kind.IsUrgent = Unit.Priority == 0;
  Kind.AcceptsAnyWorker = Unit.AcceptsAnyWorker;
  Kind.IgnoresReservations = Unit.IgnoresReservations;
  Kind.AcceptsSuspended = Unit.AcceptsSuspended;
  Kind.LastAttempt = Unit.LastAttempt;
  return Kind;
}

bool FitBounds::excludes(const FitKind &Kind, std::int64_t Tasks,
                         std::span<const std::string_view> Racks) const {
  const auto Known = this->Bounds.find(Kind);
  if (Known == this->Bounds.end())
    return false;
  if (Tasks > Known->second.Anywhere)
    return true;
  return !Racks.empty() && Tasks > Known->second.OnOneRack &&
         std::ranges::equal(Racks, Known->second.Racks);
}

void FitBounds::learn(const FitKind &Kind, std::int64_t Tasks,
                      std::int64_t Fitting,
                      std::span<const std::string_view> Racks,
                      std::int64_t OnOneRack) {
  Bound &Known = this->Bounds[Kind];
  if (Fitting < Tasks)
    Known.Anywhere = std::min(Known.Anywhere, Fitting);
  if (!Racks.empty()) {
    Known.Racks.assign(Racks.begin(), Racks.end());
    Known.OnOneRack = OnOneRack;
  }
}

} // namespace pistachioflow
