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

/// What is known of the records of a write.
enum class WriteOutcome {
  Stored,
  NotStored, ///< Neither stored now nor later.
  Fenced,    ///< A newer epoch of this writer exists; not stored.
  Unknown,   ///< May be stored, now or later.
};

/// When a write gives up waiting for the store.
struct WriteTimeouts {
  Duration Refused{400};      ///< Gives up after refusals for this long.
  Duration Unanswered{2'500}; ///< Reports Unknown after this long.
};

/// Returns the timeouts of a write while the store answers, but slowly.
///
/// Load pattern: a store whose answers take 50 times as long. A write then
/// waits for the append before it as well as for its own; giving up early
/// refuses callers whom the store could serve. Thread safety: pure.
WriteTimeouts extendTimeouts(const WriteTimeouts &Timeouts,
                             Duration LastAppendTime);

/// Returns what the store counts for the size of a record.
std::size_t recordBytes(const JournalRecord &Record);

/// Returns how many bytes a record takes in a call to the store.
std::size_t storedBytes(const JournalRecord &Record);

/// Splits records, in their order, into parts of up to \p MaxBytes bytes, or of
/// one record. Thread safety: pure.
std::vector<std::vector<JournalRecord>>
splitRecords(std::vector<JournalRecord> Records, std::size_t MaxBytes);

/// The longest that a caller's record may be on its way to the journal. The
/// caller has long been told that its outcome is unknown.
inline constexpr Duration MaxCallerRecordAge{10'000};
/// For records that are useful until a newer epoch fences their writer.
inline constexpr Duration UnlimitedRecordAge{0};

/// Appends records to the journal, and batches those of several callers.
///
/// An append without an answer is repeated with the same sequence number until
/// it is answered, so that its records are appended once and in order. Records
/// above an age limit are given up: the writer takes a newer epoch, which keeps
/// the store from carrying out the append later.
///
/// After a failed append, or when asked to check, the writer probes the store
/// until it answers. So the beginning and the end of an outage show without a
/// write of a caller.
///
/// Thread safety: none; use from the thread that runs the io_context. Create it
/// with std::make_shared: it keeps itself alive until its last append is
/// answered.
class JournalWriter : public std::enable_shared_from_this<JournalWriter> {
public:
  /// \p Id and \p Epoch identify the writer to the store. The first append has
  /// sequence number \p FirstSequence. Batches have up to \p MaxCallBytes
  /// bytes, or one write. Precondition: with a limit \p MaxRecordAge, no other
  /// writer has the same \p Id.
  JournalWriter(asio::io_context &Io, StoreClient &Store, const Clock &Time,
                std::string Id, std::int64_t Epoch, std::int64_t FirstSequence,
                std::size_t MaxCallBytes, Duration MaxRecordAge);

  /// Appends \p Records, all or none. Returns Unknown where no answer arrived
  /// in time; they may be appended after that.
  asio::awaitable<WriteOutcome> write(std::vector<JournalRecord> Records,
                                      WriteTimeouts Timeouts);

  /// Appends \p Records, in several appends if one call can't hold them.
  /// Returns the outcome of the last append; after another than Stored, none
  /// follows.
  asio::awaitable<WriteOutcome> writeInParts(std::vector<JournalRecord> Records,
                                             WriteTimeouts Timeouts);

  /// Finds out whether the store takes appends, because something suggests that
  /// it does not. Does nothing shortly after an earlier check.
  void checkStore();

  /// Since when the store has not taken appends; 0 when it answered the newest
  /// append or probe. A rejected append is an answer.
  Instant failingSince() const { return this->FailingSince; }

  /// When the newest append that the store has acknowledged was first sent; 0:
  /// none. The store knew no newer epoch of this writer then.
  Instant storedAt() const { return this->StoredAt; }
  /// The same on the wall clock, which goes on while the process is suspended.
  Instant storedAtWall() const { return this->StoredAtWall; }

private:
  struct PendingWrite;

  void startAppendLoop();
  asio::awaitable<void> appendLoop(std::shared_ptr<JournalWriter> Self);
  asio::awaitable<void> probeLoop(std::weak_ptr<JournalWriter> Self,
                                  Duration FirstPause);
  void startProbeLoop(Duration FirstPause);
  asio::awaitable<void> preventLateAppend();
  bool batchIsTooOld() const;
  void noteAnswer(AppendOutcome Outcome);
  std::vector<JournalRecord> nextBatch();
  void resolveBatch(WriteOutcome Outcome);

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  std::string Id;
  std::int64_t Epoch;
  std::int64_t Sequence;
  std::size_t MaxCallBytes;
  Duration MaxRecordAge;
  std::deque<std::shared_ptr<PendingWrite>> Queue;
  std::vector<std::shared_ptr<PendingWrite>> Batch;
  Instant FailingSince;
  Instant StoredAt;
  Instant StoredAtWall;
  Instant CheckedAt;
  Duration LastAppendTime{0}; ///< Of the newest append that was answered.
  bool AppendLoopRunning = false;
  bool ProbeLoopRunning = false;
};

} // namespace pistachioflow
