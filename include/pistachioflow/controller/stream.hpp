#pragma once

#include <cstddef>
#include <deque>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/model/record.hpp"
#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

/// The most bytes that a record of the log may have.
constexpr std::size_t MaxRecordBytes = 8U << 20U;

/// How many entries back a second copy of a record is recognised.
constexpr std::size_t DuplicateWindow = 1'024;

/// Encodes a record for the log.
std::string encodeRecord(const Record &Value);

/// Decodes a record of the log.
/// Errors: InvalidInput (damaged), Unsupported (a later version).
Result<Record> decodeRecord(std::string_view Bytes);

struct StreamRecord {
  Offset At = 0;
  Record What;
};

/// How far one reader has come in one stream. Not thread safe.
struct StreamCursor {
  StreamName Stream;
  Offset Next = 0;
  bool Started = false;
  /// The ids of the last DuplicateWindow entries below Next, second copies
  /// included; an entry that could not be decoded has an empty id.
  std::deque<RecordId> Recent;
  std::unordered_multiset<RecordId> RecentSet;
};

/// What a reader has to fold next.
struct StreamBatch {
  /// The caller drops its state and loads Snapshot (empty: the initial state)
  /// before it folds Records.
  bool Restarted = false;
  std::vector<char> Snapshot;
  std::vector<StreamRecord> Records;
  bool AtEnd = false;      ///< The reader had reached the end of the stream.
  std::size_t Damaged = 0; ///< Entries that no reader can decode; skipped.
};

/// Reads what is new and moves \p Cursor on. Second copies of a record are
/// dropped. A cursor that is new, or whose records expired, restarts from the
/// latest snapshot; a gap is never silent.
/// Errors: Unavailable; Expired where no snapshot reaches the kept records;
/// Unsupported.
/// The window of ids depends on the entries of the log alone, so that a reader
/// that restarts from a snapshot drops the same copies as one that never did.
Result<StreamBatch> readNew(LogService &Log, StreamCursor &Cursor);

/// Takes entries that a peer forwarded instead of the log. Entries below the
/// cursor are skipped; the first gap ends the batch, and AtEnd stays false.
/// Precondition: \p Cursor has been started by readNew.
/// Errors: Unsupported.
Result<StreamBatch> readForwarded(std::span<const LogEntry> Entries,
                                  StreamCursor &Cursor);

/// Makes ids that no other process makes.
/// Not thread safe.
class RecordIdSource {
public:
  /// \p Seed must differ between processes; tests give a fixed one.
  explicit RecordIdSource(std::uint64_t Seed) : Generator(Seed) {}

  RecordId next();

private:
  std::mt19937_64 Generator;
};

/// How an append that was read back ended.
enum class AppendState {
  InStream,    ///< Read back at its offset.
  NotInStream, ///< Surely not in the stream.
  Unknown,     ///< The log could not be asked. Try appendOrConfirm again.
};

/// Appends \p Value; where the answer is lost, reads the stream from \p From on
/// to learn whether it took effect, and never appends a second copy before.
/// Pass \p MayBeInStream where an earlier call for this record ended Unknown;
/// the stream is then read before anything is appended. A copy that is still on
/// its way after all is dropped by every reader.
/// A call may block for several log timeouts.
AppendState appendOrConfirm(LogService &Log, const StreamName &Stream,
                            const Record &Value, Offset From,
                            bool MayBeInStream = false);

} // namespace pistachioflow
