#pragma once

#include <cstddef>
#include <vector>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

// How far an owner's leases may reach, and how long its successor waits for
// them. docs/design/leases.md derives the constants. Thread safety: all
// functions are pure. Instants are on the monotonic clock of one process.

/// Nobody claims the ownership sooner after a record of the owner.
constexpr Duration MinClaimTime{1'200};
/// Longest wait of a hold, the long poll that renews a worker's leases. The
/// worker answers early when a run ends; otherwise leases are renewed this
/// often, several times within their length.
constexpr Duration HoldWait{1'500};
/// Added to a hold's wait for its timeout.
constexpr Duration HoldAnswerTime{1'000};
/// Pause after a hold that failed.
constexpr Duration HoldRetryPause{150};
/// Lease of a start. The hold that follows renews it well within this time.
constexpr Duration StartLease{3'000};
/// An outage of the store of this length ends no run.
constexpr Duration OutageRideThrough{10'000};
/// From the newest acknowledged append to the start of an outage, and from the
/// end of an outage until leases are renewed again.
constexpr Duration OutageMargin{2'000};
/// Age that the newest sign of the owner's epoch may have before it shortens
/// leases.
constexpr Duration FreshnessMargin{1'000};

/// Returns the longest that a lease of \p Granted may last on this process's
/// clock: a worker's clock may be 2% slow, and a run whose lease has expired
/// takes a moment to end.
Duration maxLocalLease(Duration Granted);

/// Returns how far leases reach beyond the newest sign that no newer epoch has
/// fenced enough workers.
Duration shortReach(Duration MaxLease);

/// Returns how far leases reach beyond the newest append that the store has
/// acknowledged to the owner. It is at least shortReach().
Duration longReach(Duration MaxLease);

/// What shows an owner that its epoch is still the newest one.
struct RenewalEvidence {
  /// When the newest acknowledged append of this epoch was first sent.
  Instant StoredAt;
  /// For each worker that may have runs: when the newest hold that it accepted
  /// was sent; 0: none.
  std::vector<Instant> Occupied;
  /// The same for each worker whose runs were given up since StoredAt because
  /// it did not answer or had restarted, as known then.
  std::vector<Instant> GivenUp;
};

/// Returns until when the owner's leases may last. It never decreases while
/// evidence is added.
Instant latestLeaseEnd(Duration MaxLease, const RenewalEvidence &Evidence);

/// Returns the wait of a hold that grants a lease of \p Lease, or none where it
/// is not positive: short enough for three more holds within the lease.
Duration holdWait(Duration Lease);

/// Returns whether runs of earlier owners on \p Shown workers prove that an
/// earlier owner misses too many answers to renew leases without the store.
/// \p Occupied workers may have had runs according to the journal.
bool fencesEarlierOwners(std::size_t Shown, std::size_t Occupied);

/// Times of a claim that was accepted.
struct ClaimTimes {
  Instant SentAt; ///< Of the first attempt under its epoch.
  /// When this process first read a record of the epoch before.
  Instant PreviousEpochSeenAt;
};

/// What an owner knows of the leases of earlier owners.
struct EarlierLeases {
  Instant GainedAt; ///< When this owner read its own claim.
  /// When this process first read a record of the epoch before.
  Instant PreviousEpochSeenAt;
  /// Since when fencesEarlierOwners() holds; 0: it does not.
  Instant FencedAt;
};

/// Returns when every lease of an earlier owner has ended on workers that have
/// not answered this owner.
Instant earlierLeasesEnd(Duration MaxLease, const EarlierLeases &Earlier);

} // namespace pistachioflow
