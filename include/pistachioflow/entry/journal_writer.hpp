#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/platform/store_client.hpp"

namespace pistachioflow {

/// What is known of records handed to the journal.
enum class WriteOutcome {
  Stored,
  NotStored, ///< Surely not stored and never will be.
  Fenced,    ///< A newer epoch of this writer exists; not stored.
  Unknown,   ///< May be stored, also later.
};

/// How patient one write is.
struct WriteTimeouts {
  Duration Refused{400};      ///< Give up after refusals for this long.
  Duration Unanswered{2'500}; ///< Report Unknown after silence for this long.
};

/// Appends records to the journal, those of many callers in one call.
///
/// A call without an answer is repeated with the same sequence number until it
/// is answered, so that its records are appended once and in order.
///
/// Thread safety: none; use from the thread that runs the io_context. Make it
/// with std::make_shared: it lives on until its last call is answered.
class JournalWriter : public std::enable_shared_from_this<JournalWriter> {
public:
  /// \p Id and \p Epoch name the writer to the store; the first append has
  /// number \p FirstSequence.
  JournalWriter(asio::io_context &Io, StoreClient &Store, const Clock &Time,
                std::string Id, std::int64_t Epoch, std::int64_t FirstSequence,
                std::size_t CallBytes);

  /// Appends \p Records, all or none.
  asio::awaitable<WriteOutcome> write(std::vector<JournalRecord> Records,
                                      WriteTimeouts Patience);

  /// Since when the store has not accepted anything though asked; 0 when it
  /// accepts.
  Instant failingSince() const { return this->FailingSince; }

private:
  struct PendingWrite;

  void startAppendLoop();
  asio::awaitable<void> appendLoop(std::shared_ptr<JournalWriter> Self);
  std::vector<JournalRecord> nextBatch();
  void resolveBatch(WriteOutcome Outcome);

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  std::string Id;
  std::int64_t Epoch;
  std::int64_t Sequence;
  std::size_t MaxCallBytes;
  std::deque<std::shared_ptr<PendingWrite>> Queue;
  std::vector<std::shared_ptr<PendingWrite>> Batch;
  Instant FailingSince;
  bool AppendLoopRunning = false;
};

} // namespace pistachioflow
