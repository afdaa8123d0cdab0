#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/platform/store_client.hpp"

namespace pistachioflow {

/// What a follower tells about its topic.
struct TopicObserver {
  std::function<void()> Reset; ///< What was applied before is void.
  std::function<void(const JournalRecord &)> Apply;
  std::function<void()> CaughtUp; ///< Everything up to the end was applied.
};

/// Follows one keyed topic: first the newest record of each key, then each
/// record as it is appended. Begins anew when records it needs are gone.
///
/// Thread safety: none; use from the thread that runs the io_context.
class TopicFollower {
public:
  /// \p Pace is the pause between two reads, so that one read brings several
  /// records.
  TopicFollower(asio::io_context &Io, StoreClient &Store, const Clock &Time,
                std::string Topic, TopicObserver Observer, Duration Pace);

  /// Runs until stop(). Start it once, with co_spawn.
  asio::awaitable<void> run();

  /// Ends run() after the read in progress.
  void stop();

  /// Begins anew with the newest record of each key.
  void reload();

  void setReadPause(Duration Changed) { this->ReadPause = Changed; }

  /// Whether everything that the topic held at the last contact was applied.
  bool caughtUp() const { return this->IsCaughtUp; }
  /// When the store answered a read last.
  Instant lastContact() const { return this->LastContact; }
  /// Since when reads fail; 0 while they are answered.
  Instant failingSince() const { return this->FailingSince; }
  /// Offset of the next record.
  std::int64_t position() const { return this->NextOffset; }

  /// Asks the store for its end and waits until everything before it was
  /// applied, or up to \p Longest. Returns whether it was: then everything that
  /// was acknowledged before the call is known.
  asio::awaitable<bool> refresh(Duration Longest);

  /// Ends a pause between two reads and waits until its read was applied, or up
  /// to \p Longest. Returns at once while a read waits for news: then nothing
  /// is known to be newer.
  asio::awaitable<void> catchUp(Duration Longest);

private:
  asio::awaitable<bool> load();
  asio::awaitable<void> readOnce();
  void noteReadFailure(std::string_view Reason);
  void markCaughtUp();

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  std::string Topic;
  TopicObserver Observer;
  Duration ReadPause;
  Signal Applied;
  Signal Wake;
  bool Pausing = false;
  bool SkipReadWait =
      false; ///< The next read returns at once, also without news.
  std::int64_t NextOffset = 0;
  std::int64_t LoadedUpTo = 0; ///< Records before it may be out of order.
  Instant LastContact;
  bool Loaded = false;
  bool IsCaughtUp = false;
  bool Stopped = false;
  Instant FailingSince;
};

} // namespace pistachioflow
