#pragma once

#include <span>

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
  Duration Margin{500}; ///< The owner stops this long before its lease ends.
  Duration RenewEvery{800};
};

/// What one instance knows of one stream's owner, on its own monotonic clock.
struct LeaseView {
  OwnershipState State;
  Instant SeenAt;     ///< When the last sign of the owner was read.
  Instant ProvenFrom; ///< Own lease: sent time of the last renewal read back.
  Instant SentAt;     ///< Own lease: sent time of the last append.
};

enum class LeaseStep { Wait, Claim, Renew };

/// Tells what the instance \p Self should append now. \p Candidate is whom the
/// rendezvous hash prefers; others wait longer before they claim.
LeaseStep nextLeaseStep(const LeaseView &View, const InstanceId &Self,
                        const InstanceId &Candidate,
                        const LeaseSettings &Settings, Instant Now);

/// Tells whether \p Self may act as the owner at \p Now. Call it after every
/// wait and before every order.
bool mayAct(const LeaseView &View, const InstanceId &Self,
            const LeaseSettings &Settings, Instant Now);

/// Returns the preferred owner of \p Scope among \p Live by rendezvous hashing;
/// an empty id where \p Live is empty.
InstanceId preferredOwner(const StreamName &Scope,
                          std::span<const InstanceId> Live);

} // namespace pistachioflow
