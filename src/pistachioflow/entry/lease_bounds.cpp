#include "pistachioflow/entry/lease_bounds.hpp"

#include <algorithm>

#include "pistachioflow/platform/instance_settings.hpp"

namespace pistachioflow {

namespace {

/// A lease outlives this many holds, so that one may fail.
constexpr std::int64_t HoldsPerLease = 4;
constexpr Duration MinHoldWait{250};
/// An owner without the store disregards one of this many workers, which may
/// be down by themselves.
constexpr std::size_t WorkersPerSilentOne = 4;

static_assert(MinMaxLease >= StartLease);
static_assert(MinMaxLease >= HoldWait + HoldAnswerTime + HoldRetryPause);

std::size_t toleratedSilent(std::size_t Occupied) {
  return Occupied / WorkersPerSilentOne;
}

/// Returns an instant after which no newer epoch has fenced enough workers for
/// fencesEarlierOwners().
Instant notFencedBefore(const RenewalEvidence &Evidence) {
  std::vector<Instant> Answers = Evidence.Occupied;
  Answers.insert(Answers.end(), Evidence.GivenUp.begin(),
                 Evidence.GivenUp.end());
  const std::size_t Tolerated = toleratedSilent(Evidence.Occupied.size());
  if (Answers.size() <= Tolerated)
    return Evidence.StoredAt;
  const auto Decisive =
      Answers.begin() + static_cast<std::ptrdiff_t>(Tolerated);
  std::nth_element(Answers.begin(), Decisive, Answers.end());
  return std::max(Evidence.StoredAt, *Decisive);
}

} // namespace

Duration maxLocalLease(Duration Granted) {
  constexpr std::int64_t SlowClockPercent = 102;
  constexpr std::int64_t WholePercent = 100;
  constexpr Duration Margin{300};
  return Duration{Granted.Ms * SlowClockPercent / WholePercent} + Margin;
}

Duration shortReach(Duration MaxLease) { return MaxLease + FreshnessMargin; }

Duration longReach(Duration MaxLease) {
  return std::max(MaxLease, OutageRideThrough) + OutageMargin;
}

Instant latestLeaseEnd(Duration MaxLease, const RenewalEvidence &Evidence) {
  return std::min(Evidence.StoredAt + longReach(MaxLease),
                  notFencedBefore(Evidence) + shortReach(MaxLease));
}

Duration holdWait(Duration Lease) {
  return std::clamp(Duration{Lease.Ms / HoldsPerLease}, MinHoldWait, HoldWait);
}

bool fencesEarlierOwners(std::size_t Shown, std::size_t Occupied) {
  return Shown > toleratedSilent(Occupied);
}

Instant earlierLeasesEnd(Duration MaxLease, const EarlierLeases &Earlier) {
  const Duration Long = maxLocalLease(longReach(MaxLease));
  const Instant Latest = Earlier.GainedAt + Long;
  if (Earlier.FencedAt.Ms == 0)
    return Latest;
  // The epochs before the previous one know other runs, so that only time shows
  // that their owners have stopped.
  const Instant OlderEpochs = Earlier.PreviousEpochSeenAt + Long;
  const Instant PreviousEpoch =
      Earlier.FencedAt + maxLocalLease(shortReach(MaxLease));
  return std::min(Latest, std::max(OlderEpochs, PreviousEpoch));
}

} // namespace pistachioflow
