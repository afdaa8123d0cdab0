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
  Duration Heartbeat{300};
  /// Three lost heartbeats and a slow read; leases of running work last several
  /// times longer.
  Duration Silence{1'200};
  /// Spread of the claims of instances that are alike.
  Duration ClaimSpread{60};
  /// Instances with less processor claim later: by this, times the inverse of
  /// their share of a core.
  Duration ClaimDelayOfACore{25};
  /// An instance takes over from a living owner with less than half of its
  /// processor once it has followed the journal for this long.
  Duration SteadyBeforeRelief{5'000};
};

/// What the journal says about ownership, as this instance sees it.
struct OwnershipView {
  OwnershipRecord Newest;
  Instant HeardAt;       ///< When a record of the newest epoch was read last.
  Instant HealthySince;  ///< Since when the journal is read without a gap.
  bool Readable = false; ///< The journal is read up to its end.
  bool Leaving = false;  ///< This instance is shutting down.
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
  struct Observer {
    std::function<void(std::int64_t Epoch)> Gained;
    std::function<void(std::string_view Reason)> Lost;
    /// Returns the offset up to which the journal was read.
    std::function<std::int64_t()> Position;
    /// Returns whether the journal is read up to its end without a gap.
    std::function<bool()> Readable;
  };

  /// \p MilliCores is this instance's share of processors.
  Ownership(asio::io_context &Io, StoreClient &Store, const Clock &Time,
            std::string Instance, std::int64_t MilliCores,
            std::size_t CallBytes, Observer Watcher);

  /// Runs until the io_context stops. Start it once, with co_spawn.
  asio::awaitable<void> run();

  /// Applies a record of the journal.
  void apply(const OwnershipRecord &Record);

  /// Gives up ownership and never claims again.
  asio::awaitable<void> leave();

  /// Gives up ownership because a newer owner was met.
  void lose(std::string_view Reason);

  bool owner() const { return this->Writer != nullptr; }
  std::int64_t epoch() const { return this->View.Newest.Epoch; }
  /// The writer of the owner's records. Precondition: owner().
  std::shared_ptr<JournalWriter> writer() { return this->Writer; }

private:
  asio::awaitable<void> claim();
  asio::awaitable<void> beat();

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  std::string Instance;
  std::size_t CallBytes;
  Observer Watcher;
  OwnershipTimes Times;
  OwnershipView View;
  std::mt19937_64 Random;
  std::shared_ptr<JournalWriter> Writer;
  std::int64_t ClaimedEpoch = 0;
  std::int64_t ClaimSequence = 0;
  std::int64_t Beats = 0;
  bool Beating = false;
};

} // namespace pistachioflow
