#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/journal_writer.hpp"
#include "pistachioflow/platform/store_client.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// When an instance claims ownership, and when an owner shows itself.
struct OwnershipTimes {
  /// Owners write at least this often, so that silence means something.
  Duration HeartbeatInterval{300};
  /// Three lost heartbeats and a slow read; leases of running work last several
  /// times longer.
  Duration OwnerTimeout{1'200};
  /// Spread of the claims of instances that are alike.
  Duration ClaimJitter{60};
  /// Instances with less processor claim later: by this, times the inverse of
  /// their share of a core.
  Duration OneCoreClaimDelay{25};
  /// An instance takes over from a living owner with less than half of its
  /// processor once it has followed the journal for this long.
  Duration TakeoverFollowTime{5'000};
};

/// What the journal says about ownership, as this instance sees it.
struct OwnershipView {
  OwnershipRecord NewestRecord;
  Instant LastRecordAt;  ///< When a record of the newest epoch was read last.
  Instant ReadableSince; ///< Since when the journal is read without a gap.
  bool Readable = false; ///< The journal is read up to its end.
  bool ShuttingDown = false;       ///< This instance is shutting down.
  std::int64_t MilliCores = 1'000; ///< Of this instance.
};

/// How much later than the quickest an instance with this processor claims.
Duration claimDelay(const OwnershipTimes &Times, std::int64_t MilliCores);

/// Returns whether an instance that is not the owner should claim at \p Now.
/// \p Spread delays the claim, so that instances do not all claim at once.
/// Thread safety: pure.
bool shouldClaim(const OwnershipView &View, const OwnershipTimes &Times,
                 Duration Spread, Instant Now);

/// Claims, keeps and gives up the ownership of all queues.
///
/// A claim is an append under the next epoch, conditional on the end that this
/// instance has read; it counts once it is read back. The store refuses every
/// later append of an older epoch, and workers every order.
///
/// Thread safety: none; use from the thread that runs the io_context.
class Ownership {
public:
  struct Callbacks {
    std::function<void(std::int64_t Epoch)> OnGained;
    std::function<void(std::string_view Reason)> OnLost;
    /// Returns the offset up to which the journal was read.
    std::function<std::int64_t()> JournalPosition;
    /// Returns whether the journal is read up to its end without a gap.
    std::function<bool()> JournalReadable;
  };

  /// \p MilliCores is this instance's share of processors.
  Ownership(asio::io_context &Io, StoreClient &Store, const Clock &Time,
            std::string Instance, std::int64_t MilliCores,
            std::size_t CallBytes, Callbacks Watcher);

  /// Runs until the io_context stops. Start it once, with co_spawn.
  asio::awaitable<void> run();

  /// Applies a record of the journal.
  void apply(const OwnershipRecord &Record);

  /// Gives up ownership and never claims again.
  asio::awaitable<void> resign();

  /// Gives up ownership because a newer owner was met.
  void lose(std::string_view Reason);

  bool isOwner() const { return this->Writer != nullptr; }
  std::int64_t epoch() const { return this->View.NewestRecord.Epoch; }
  /// The writer of the owner's records. Precondition: owner().
  std::shared_ptr<JournalWriter> writer() { return this->Writer; }

private:
  asio::awaitable<void> claim();
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
  std::int64_t ClaimSequence = 0;
  std::int64_t HeartbeatCount = 0;
  bool HeartbeatInProgress = false;
};

} // namespace pistachioflow
