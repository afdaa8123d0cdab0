#include "pistachioflow/controller/ownership.hpp"

#include <algorithm>
#include <variant>

#include <xxhash.h>

namespace pistachioflow {

namespace {

/// A sign that is forgotten proves nothing when it is read back after all.
constexpr std::size_t MaxUnread = 64;

bool isByOwner(const OwnershipState &State, const RecordHeader &Header) {
  return !State.Released && !State.Owner.empty() &&
         Header.Author == State.Owner && Header.AuthorEpoch == State.At;
}

bool foldClaim(OwnershipState &State, const RecordHeader &Header,
               const OwnerClaimed &Claim) {
  if (Header.AuthorEpoch != State.At + 1 || Claim.Owner.empty() ||
      Claim.Owner != Header.Author)
    return false;
  State = {Claim.Owner, Header.AuthorEpoch, {}, false};
  return true;
}

bool foldRelease(OwnershipState &State, const RecordHeader &Header,
                 const OwnerReleased &Release) {
  if (!isByOwner(State, Header))
    return false;
  State.Released = true;
  State.Successor = Release.Successor;
  return true;
}

/// Tells whether only the owner may append this kind of record.
bool needsOwner(const Payload &What) {
  return std::holds_alternative<OwnerRenewed>(What) ||
         std::holds_alternative<DecisionsMade>(What) ||
         std::holds_alternative<SnapshotTaken>(What);
}

bool isSign(const Payload &What) {
  return needsOwner(What) || std::holds_alternative<OwnerClaimed>(What) ||
         std::holds_alternative<OwnerReleased>(What);
}

/// Removes the record \p Id from the own signs; returns when it was first sent.
std::optional<Instant> takeSent(LeaseView &View, const RecordId &Id) {
  const auto IsSame = [&Id](const SentRecord &Sent) { return Sent.Id == Id; };
  const auto Found =
      std::find_if(View.Unread.begin(), View.Unread.end(), IsSame);
  if (Found == View.Unread.end())
    return std::nullopt;
  const Instant SentAt = Found->SentAt;
  std::erase_if(View.Unread, IsSame);
  return SentAt;
}

/// Returns from when on the process that claimed after \p Before may act.
Instant actsFrom(const LeaseView &View, const OwnershipState &Before,
                 const LeaseSettings &Settings) {
  const bool WasOwn = Before.At != 0 && Before.At == View.HeldEpoch;
  if (WasOwn)
    return View.ActsFrom;
  if (Before.Owner.empty() || Before.Released)
    return Instant{0};
  return View.SeenAt + Settings.Lease;
}

bool holds(const LeaseView &View, const InstanceId &Self) {
  return View.HeldEpoch != 0 && View.HeldEpoch == View.State.At &&
         View.State.Owner == Self;
}

Instant leaseEnd(const LeaseView &View, const LeaseSettings &Settings) {
  return View.ProvenFrom + Settings.Lease - Settings.Margin;
}

/// Tells whether a sign that was sent a moment ago may still be on its way.
bool awaitsOwnSign(const LeaseView &View, const LeaseSettings &Settings,
                   Instant Now) {
  return !View.Unread.empty() && Now - View.SentAt < Settings.RenewEvery;
}

LeaseStep stepOfHolder(const LeaseView &View, const LeaseSettings &Settings,
                       Instant Now) {
  const Instant End = leaseEnd(View, Settings);
  if (Now < End) {
    const bool Due = Now - View.SentAt >= Settings.RenewEvery;
    return Due && !View.StoppedAt ? LeaseStep::Renew : LeaseStep::Wait;
  }
  // A lease that has ended is never prolonged: the same instance claims the
  // next epoch, once it has read the stream after the end.
  const bool HasLooked = View.ReadAt.value_or(Now) >= End;
  return HasLooked && !awaitsOwnSign(View, Settings, Now) ? LeaseStep::Claim
                                                          : LeaseStep::Wait;
}

/// Returns how long the stream must show no sign before \p Self claims it.
Duration claimWait(const LeaseView &View, const InstanceId &Self,
                   std::size_t Rank, const LeaseSettings &Settings) {
  const Duration Stagger = Settings.StaggerBy * static_cast<std::int64_t>(Rank);
  if (View.State.Owner.empty())
    return Stagger;
  if (!View.State.Released)
    return Settings.Lease + Stagger;
  if (View.State.Successor == Self)
    return Duration{0};
  // A named successor goes first; after that the rendezvous order holds.
  return View.State.Successor.empty() ? Stagger : Settings.RenewEvery + Stagger;
}

/// After an outage of the log, owners come back before they are challenged.
bool readableForLong(const LeaseView &View, const LeaseSettings &Settings,
                     Instant ReadAt) {
  return !View.FailedAt || ReadAt - *View.FailedAt >= Settings.RenewEvery;
}

LeaseStep stepOfChallenger(const LeaseView &View, const InstanceId &Self,
                           std::size_t Rank, const LeaseSettings &Settings,
                           Instant Now) {
  const Instant ReadAt = View.ReadAt.value_or(Now);
  const bool Silent =
      ReadAt - View.SeenAt >= claimWait(View, Self, Rank, Settings);
  const bool MayClaim = Silent && !awaitsOwnSign(View, Settings, Now) &&
                        readableForLong(View, Settings, ReadAt);
  return MayClaim ? LeaseStep::Claim : LeaseStep::Wait;
}

std::uint64_t weightOf(const StreamName &Scope, const InstanceId &Instance) {
  const XXH64_hash_t ScopeHash =
      XXH64(Scope.Value.data(), Scope.Value.size(), 0);
  return XXH64(Instance.Value.data(), Instance.Value.size(), ScopeHash);
}

/// Tells whether \p Left comes before \p Right in the order of \p Scope.
bool isPreferred(const StreamName &Scope, const InstanceId &Left,
                 const InstanceId &Right) {
  const auto LeftWeight = weightOf(Scope, Left);
  const auto RightWeight = weightOf(Scope, Right);
  return LeftWeight != RightWeight ? LeftWeight > RightWeight : Left < Right;
}

} // namespace

bool foldOwnership(OwnershipState &State, const Record &Value) {
  if (const auto *Claim = std::get_if<OwnerClaimed>(&Value.What))
    return foldClaim(State, Value.Header, *Claim);
  if (const auto *Release = std::get_if<OwnerReleased>(&Value.What))
    return foldRelease(State, Value.Header, *Release);
  return !needsOwner(Value.What) || isByOwner(State, Value.Header);
}

void noteSending(LeaseView &View, const Record &Value, Instant Now) {
  if (!isSign(Value.What))
    return;
  View.SentAt = Now;
  View.Unread.push_back({Value.Header.Id, Now});
  if (View.Unread.size() > MaxUnread)
    View.Unread.erase(View.Unread.begin());
  if (!std::holds_alternative<OwnerReleased>(Value.What))
    return;
  View.ReleaseSent = true;
  noteStopping(View, Now);
}

bool noteRecord(LeaseView &View, const Record &Value,
                const LeaseSettings &Settings, Instant Now) {
  const OwnershipState Before = View.State;
  const bool Valid = foldOwnership(View.State, Value);
  if (!isSign(Value.What))
    return Valid;
  const std::optional<Instant> SentAt = takeSent(View, Value.Header.Id);
  if (!Valid)
    return false;
  if (SentAt && std::holds_alternative<OwnerClaimed>(Value.What)) {
    View.ActsFrom = actsFrom(View, Before, Settings);
    View.HeldEpoch = View.State.At;
    View.ReleaseSent = false;
    View.StoppedAt.reset();
  }
  if (SentAt)
    View.ProvenFrom = std::max(View.ProvenFrom, *SentAt);
  View.SeenAt = Now;
  return true;
}

void noteSnapshot(LeaseView &View, const OwnershipState &State, Instant Now) {
  View.State = State;
  View.SeenAt = Now;
}

void noteReadEnd(LeaseView &View, Instant Began) {
  if (!View.ReadAt && View.State.Owner.empty())
    View.SeenAt = Began;
  View.ReadAt = Began;
}

void noteReadFailed(LeaseView &View, Instant Now) { View.FailedAt = Now; }

LeaseStep nextLeaseStep(const LeaseView &View, const InstanceId &Self,
                        const InstanceId &Candidate,
                        const LeaseSettings &Settings, Instant Now) {
  constexpr std::uint64_t Ranks = 4;
  const std::size_t Rank =
      Self == Candidate ? 0 : 1 + weightOf({Candidate.Value}, Self) % Ranks;
  return nextLeaseStep(View, Self, Rank, Settings, Now);
}

LeaseStep nextLeaseStep(const LeaseView &View, const InstanceId &Self,
                        std::size_t Rank, const LeaseSettings &Settings,
                        Instant Now) {
  if (holds(View, Self) && !View.State.Released)
    return stepOfHolder(View, Settings, Now);
  return stepOfChallenger(View, Self, Rank, Settings, Now);
}

bool mayAct(const LeaseView &View, const InstanceId &Self,
            const LeaseSettings &Settings, Instant Now) {
  return holds(View, Self) && !View.State.Released && !View.StoppedAt &&
         Now >= View.ActsFrom && Now < leaseEnd(View, Settings);
}

void noteStopping(LeaseView &View, Instant Now) {
  if (!View.StoppedAt)
    View.StoppedAt = Now;
}

bool mayRelease(const LeaseView &View, const InstanceId &Self, Instant Now) {
  return holds(View, Self) && !View.State.Released && Now >= View.ActsFrom;
}

bool mayRelease(const LeaseView &View, const InstanceId &Self,
                const LeaseSettings &Settings, Instant Now) {
  return mayRelease(View, Self, Now) && View.StoppedAt &&
         Now - *View.StoppedAt >= Settings.Margin;
}

InstanceId preferredOwner(const StreamName &Scope,
                          std::span<const InstanceId> Live) {
  const auto Best = std::min_element(
      Live.begin(), Live.end(),
      [&Scope](const InstanceId &Left, const InstanceId &Right) {
        return isPreferred(Scope, Left, Right);
      });
  return Best == Live.end() ? InstanceId{} : *Best;
}

std::size_t claimRank(const StreamName &Scope, std::span<const InstanceId> Live,
                      const InstanceId &Self, const InstanceId &Silent) {
  return static_cast<std::size_t>(
      std::count_if(Live.begin(), Live.end(), [&](const InstanceId &Other) {
        return Other != Silent && Other != Self &&
               isPreferred(Scope, Other, Self);
      }));
}

} // namespace pistachioflow
