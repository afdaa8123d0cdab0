#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/controller/ownership.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow {

/// The time that a cell is decided on. It follows the owners' wall clocks but
/// never goes back, and goes on at the pace of the present owner's clock where
/// that is behind an earlier one's.
struct CellTime {
  Instant Now;
  Epoch OwnerAt = 0; ///< The epoch of the last record that moved it.
  Instant OwnerWall; ///< The wall time of that record.

  bool operator==(const CellTime &) const = default;
  MSGPACK_DEFINE(Now, OwnerAt, OwnerWall)
};

/// Returns the time after a record of the owner of epoch \p At that was written
/// at \p Wall on its clock. Thread safety: pure.
CellTime advanceTime(const CellTime &Before, Epoch At, Instant Wall);

/// Everything that the stream of a cell folds to.
struct CellFold {
  OwnershipState Ownership;
  policy::CellState Cell;
  CellTime Time;

  MSGPACK_DEFINE(Ownership, Cell, Time)
};

/// What became of one record.
struct FoldedRecord {
  bool Valid = false;
  std::vector<bool> Applied; ///< For each decision: it fitted the state.
};

/// Folds a record of a cell's stream whose ownership was checked already: void
/// records change nothing. \p Fold.Ownership is kept by the caller.
/// Thread safety: pure.
FoldedRecord foldCellRecord(CellFold &Fold, const Record &Value, bool Valid);

/// Encodes the folded state for SnapshotTaken.
std::vector<char> encodeSnapshot(const CellFold &Fold);

/// Decodes what encodeSnapshot made; an empty span is the initial state.
/// Errors: InvalidInput.
Result<CellFold> decodeSnapshot(std::span<const char> Bytes);

/// When the owner of a stream writes a snapshot, well before the log drops the
/// records since the last one.
struct SnapshotSettings {
  std::size_t Records = 1'000;
  std::size_t Bytes = 4U << 20U;
  Duration Age{300'000};
};

/// What has come into a stream since the last snapshot.
struct SnapshotProgress {
  std::size_t Records = 0;
  std::size_t Bytes = 0; ///< Estimated from the events and decisions.
  Instant TakenAt;       ///< On this instance's monotonic clock.
};

/// Counts one record; a snapshot starts the count anew.
void countRecord(SnapshotProgress &Progress, const Record &Value, Instant Now);

/// Tells whether the owner should write a snapshot now.
bool snapshotDue(const SnapshotProgress &Progress,
                 const SnapshotSettings &Settings, Instant Now);

} // namespace pistachioflow
