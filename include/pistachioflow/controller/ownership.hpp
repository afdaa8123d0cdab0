#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/record.hpp"

namespace pistachioflow {

/// Who owns a stream, by the order of its records alone. Part of the stream's
/// folded state, and so of its snapshot.
struct OwnershipState {
  InstanceId Owner; ///< Empty: nobody.
  Epoch At = 0;     ///< The epoch of the last valid claim.
  InstanceId Successor;
  bool Released = false;

  bool operator==(const OwnershipState &) const = default;
  MSGPACK_DEFINE(Owner, At, Successor, Released)
};

/// Folds one record and tells whether it is valid. Claims, renewals, releases,
/// decisions and snapshots are void under any epoch or author but the owner's;
/// facts and key records of any author are valid.
bool foldOwnership(OwnershipState &State, const Record &Value);

struct LeaseSettings {
  Duration Lease{3'000};
  /// The owner stops this long before its lease ends. It covers the difference
  /// of the clocks' rates and the time that an order is on its way.
  Duration Margin{500};
  Duration RenewEvery{800};
  /// How much longer each rank of candidates waits than the one before it.
  Duration StaggerBy{400};
};

/// A record of this process that it has not read back yet.
struct SentRecord {
  RecordId Id;
  Instant SentAt;
};

/// What one process knows of one stream's owner, on its own monotonic clock.
/// Not thread safe. Kept by the note functions below; a view that is filled by
/// hand without HeldEpoch owns nothing.
struct LeaseView {
  OwnershipState State;
  Instant SeenAt;     ///< When the last sign of the owner was read.
  Instant ProvenFrom; ///< Own lease: sent time of the last renewal read back.
  Instant SentAt;     ///< Own lease: sent time of the last append.

  /// The epoch whose claim this very process sent and read back. A process that
  /// was restarted under the same instance id holds nothing.
  Epoch HeldEpoch = 0;
  /// Own lease: when every lease of the owners before has surely ended.
  Instant ActsFrom;
  bool ReleaseSent = false; ///< Of HeldEpoch; nothing is done after it.
  /// Own lease: when this process stopped acting in order to release.
  std::optional<Instant> StoppedAt;
  std::vector<SentRecord> Unread;  ///< Own signs, oldest first.
  std::optional<Instant> ReadAt;   ///< Start of the last read up to the end.
  std::optional<Instant> FailedAt; ///< When the log last could not be read.
};

// A process keeps its LeaseView up to date in this order: noteSending before
// each append of its own; then for each read either noteReadFailed, or
// noteSnapshot if the batch restarted, noteRecord for each record, and
// noteReadEnd if the batch reached the end.

/// Notes that \p Value is about to be appended by this process.
/// Precondition: \p Now was read before the append is sent.
void noteSending(LeaseView &View, const Record &Value, Instant Now);

/// Folds one record that was read and tells whether it is valid.
/// Precondition: \p Now was read after the record had arrived.
bool noteRecord(LeaseView &View, const Record &Value,
                const LeaseSettings &Settings, Instant Now);

/// Replaces the folded state by that of a snapshot, read at \p Now.
void noteSnapshot(LeaseView &View, const OwnershipState &State, Instant Now);

/// Notes a read that reached the end of the stream and began at \p Began.
void noteReadEnd(LeaseView &View, Instant Began);

/// Notes that the stream could not be read at \p Now. Silence of an owner while
/// nobody can read says nothing about it.
void noteReadFailed(LeaseView &View, Instant Now);

enum class LeaseStep { Wait, Claim, Renew };

/// Tells what the instance \p Self should append now. \p Candidate is whom the
/// rendezvous hash prefers; others wait longer before they claim.
/// Precondition: \p Self is not leaving.
LeaseStep nextLeaseStep(const LeaseView &View, const InstanceId &Self,
                        const InstanceId &Candidate,
                        const LeaseSettings &Settings, Instant Now);

/// As above, with the rank of \p Self from claimRank in place of a candidate.
LeaseStep nextLeaseStep(const LeaseView &View, const InstanceId &Self,
                        std::size_t Rank, const LeaseSettings &Settings,
                        Instant Now);

/// Tells whether \p Self may act as the owner at \p Now. Call it after every
/// wait and before every order.
bool mayAct(const LeaseView &View, const InstanceId &Self,
            const LeaseSettings &Settings, Instant Now);

/// Stops acting under the epoch that is held; the first step of a release.
void noteStopping(LeaseView &View, Instant Now);

/// Tells whether \p Self may append an OwnerReleased. The next owner acts at
/// once, so that every earlier lease must have ended.
/// Precondition: no order of this process is on its way any more.
bool mayRelease(const LeaseView &View, const InstanceId &Self, Instant Now);

/// As above, for a process that cannot tell which orders are on their way: it
/// has stopped acting by noteStopping and waits for the margin.
bool mayRelease(const LeaseView &View, const InstanceId &Self,
                const LeaseSettings &Settings, Instant Now);

/// Returns the preferred owner of \p Scope among \p Live by rendezvous hashing;
/// an empty id where \p Live is empty.
InstanceId preferredOwner(const StreamName &Scope,
                          std::span<const InstanceId> Live);

/// Returns how many of \p Live come before \p Self in the rendezvous order of
/// \p Scope, the silent owner \p Silent left out.
std::size_t claimRank(const StreamName &Scope, std::span<const InstanceId> Live,
                      const InstanceId &Self, const InstanceId &Silent);

} // namespace pistachioflow
