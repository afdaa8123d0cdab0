#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/journal_writer.hpp"
#include "pistachioflow/entry/lease_bounds.hpp"
#include "pistachioflow/platform/store_client.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// When an instance claims ownership, and how often an owner writes.
struct OwnershipTimes {
  /// Owners write a heartbeat at least this often, so that a missing one shows
  /// a lost owner.
  Duration HeartbeatInterval{300};
  /// An owner without records for this long is lost: three missing heartbeats
  /// and a slow read. Leases of running work last several times longer.
  /// Precondition: at least MinClaimTime.
  Duration OwnerTimeout{MinClaimTime};
  /// Range of the random delay that separates the claims of equal instances.
  Duration ClaimJitter{60};
  /// Claim delay of an instance with one core. It is inversely proportional to
  /// the instance's share of processors, so that smaller instances claim later.
  Duration OneCoreClaimDelay{25};
  /// An instance takes over from a responsive owner that has less than half of
  /// its own processors after it has read the journal without a gap for this
  /// long.
  Duration TakeoverFollowTime{5'000};
  /// After a claim that was rejected since another instance has claimed: its
  /// record is read within this time.
  Duration RejectedClaimPause{500};
};

/// What this instance knows about ownership from the journal.
struct OwnershipView {
  OwnershipRecord NewestRecord;
  Instant LastRecordAt; ///< When a record of the newest epoch was last read.
  /// Since when the newest epoch is known to need a successor; 0: it does not.
  Instant VacantSince;
  Instant ReadableSince; ///< Since when the journal is Readable.
  Instant NoClaimBefore; ///< Set after a rejected claim.
  bool Readable = false; ///< The journal is read up to its end without a gap.
  bool ShuttingDown = false;
  std::int64_t MilliCores = 1'000; ///< This instance's share of processors.
};

/// Returns how long an instance with \p MilliCores waits before it claims.
Duration claimDelay(const OwnershipTimes &Times, std::int64_t MilliCores);

/// Returns whether the epoch of \p Record needs a successor: there is no owner,
/// it resigned, or it was an earlier process of \p Instance, an instance name
/// with the start of its process. Load pattern: every process is killed at
/// once; the owner's instance need not wait for its own lost heartbeats.
bool needsSuccessor(const OwnershipRecord &Record, std::string_view Instance);

/// Returns whether an instance that is not the owner should claim at \p Now.
/// \p Jitter delays the claim, so that instances do not all claim at once.
/// Thread safety: pure.
bool shouldClaim(const OwnershipView &View, const OwnershipTimes &Times,
                 Duration Jitter, Instant Now);

/// Claims, renews and gives up the ownership of all queues.
///
/// A claim is an append under the next epoch. Unless the owner has resigned or
/// is known to be gone, it is conditional: the journal must still end where
/// this instance has read to, since new records may be the owner's. It is
/// effective once it is read back. From then on the store refuses appends of
/// older epochs, and workers refuse starts, stops and holds of older epochs.
///
/// Thread safety: none; use from the thread that runs the io_context.
class Ownership {
public:
  struct Callbacks {
    std::function<void(std::int64_t Epoch)> OnGained;
    std::function<void(std::string_view Reason)> OnLost;
    /// Returns the offset of the next record of the journal to read.
    std::function<std::int64_t()> JournalPosition;
    /// Returns whether the journal is read up to its end without a gap.
    std::function<bool()> JournalReadable;
    /// Reads the journal up to its end.
    std::function<asio::awaitable<void>()> RefreshJournal;
  };

  /// \p MilliCores is this instance's share of processors.
  Ownership(asio::io_context &Io, StoreClient &Store, const Clock &Time,
            std::string Instance, std::int64_t MilliCores,
            std::size_t MaxCallBytes, Callbacks Hooks);

  /// Claims and renews ownership until the io_context stops. Start it once,
  /// with co_spawn.
  asio::awaitable<void> run();

  /// Applies an ownership record of the journal.
  void apply(const OwnershipRecord &Record);

  /// Asks for a successor and never claims again. An owner continues until
  /// the successor's claim is read, or until lose().
  void resign();

  /// Gives up ownership without a record, for instance because a newer owner
  /// exists. Does nothing when this instance is not the owner.
  void lose(std::string_view Reason);

  bool isOwner() const { return this->Writer != nullptr; }
  std::int64_t epoch() const { return this->View.NewestRecord.Epoch; }
  /// Times of this instance's newest claim. Precondition: isOwner().
  ClaimTimes claimTimes() const { return this->Claim; }
  /// The writer of the owner's records. Precondition: isOwner().
  std::shared_ptr<JournalWriter> writer() { return this->Writer; }

private:
  asio::awaitable<void> claim();
  void updateVacancy(Instant Now);
  asio::awaitable<void> sendHeartbeat();

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  std::string Instance;
  std::size_t MaxCallBytes;
  Callbacks Hooks;
  OwnershipTimes Times;
  OwnershipView View;
  std::mt19937_64 Random;
  std::shared_ptr<JournalWriter> Writer;
  std::int64_t ClaimedEpoch = 0;
  ClaimTimes Claim;
  Instant EpochSeenAt; ///< When the newest epoch was first read.
  std::int64_t ClaimSequence = 0;
  std::int64_t HeartbeatCount = 0;
  bool HeartbeatInProgress = false;
};

} // namespace pistachioflow
