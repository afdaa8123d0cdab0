#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/entry/topic_fold.hpp"
#include "pistachioflow/platform/store_client.hpp"

namespace pistachioflow {

/// Follows one keyed topic: reads the newest record of each key, then each
/// record as it is appended. Starts again with the newest ones when the store
/// no longer has the next record. TopicFold decides what the observer gets.
///
/// Thread safety: none; use from the thread that runs the io_context.
class TopicFollower {
public:
  /// \p Pause is the pause between two reads, so that one read brings several
  /// records.
  TopicFollower(asio::io_context &Io, StoreClient &Store, const Clock &Time,
                std::string Topic, TopicObserver Observer, Duration Pause);

  /// Reads the topic until stop(). Start it once, with co_spawn.
  asio::awaitable<void> run();

  /// Ends run() after the read in progress.
  void stop();

  /// Starts again with the newest record of each key.
  void reload() { this->Fold.reload(); }

  void setReadPause(Duration Pause) { this->ReadPause = Pause; }

  /// Whether all that the topic held at the last contact has been applied.
  bool caughtUp() const { return this->Fold.caughtUp(); }
  /// When the store last answered a read.
  Instant lastContact() const { return this->LastContact; }
  /// Offset of the next record.
  std::int64_t position() const { return this->Fold.nextOffset(); }

  /// Asks the store for the end of the topic and waits until all records before
  /// it are applied, or up to \p Timeout. Returns whether they are: then every
  /// append that was acknowledged before the call is applied.
  asio::awaitable<bool> refresh(Duration Timeout);

  /// Ends a pause between two reads and waits until the next read is applied,
  /// or up to \p Timeout. Returns at once while a read waits at the store,
  /// which answers it as soon as there is a new record.
  asio::awaitable<void> catchUp(Duration Timeout);

private:
  TopicObserver foldObserver();
  asio::awaitable<bool> readPage();
  asio::awaitable<bool> readRecords();
  asio::awaitable<void> noteReadFailure(std::string_view Reason);
  void noteAnswer();

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  std::string Topic;
  TopicObserver Observer;
  TopicFold Fold;
  Duration ReadPause;
  Signal Applied;
  Signal Wake;
  bool Pausing = false;
  bool SkipReadWait = false; ///< The next read doesn't wait for new records.
  Instant LastContact;
  bool Stopped = false;
  Instant FailingSince;
};

} // namespace pistachioflow
