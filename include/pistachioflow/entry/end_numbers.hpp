#pragma once

#include <algorithm>
#include <cstdint>

namespace pistachioflow {

/// How far the ends of runs of one incarnation of a worker are applied, stored
/// and acknowledged. The incarnation numbers its ends from 1; the next one
/// begins anew.
///
/// Load pattern: workers that restart while the store is slow. Thread safety:
/// none.
struct EndNumbers {
  std::int64_t IncarnationStartMs = 0;
  std::int64_t Applied = 0;
  std::int64_t Recorded = 0;     ///< Its records are stored.
  std::int64_t Acknowledged = 0; ///< The worker was told to forget it.

  bool awaitRecords() const { return this->Applied > this->Recorded; }
  bool awaitAcknowledgement() const {
    return this->Recorded > this->Acknowledged;
  }
  /// Returns what the next hold acknowledges, or 0. Each end is acknowledged
  /// only until that was answered: a worker that restarts may take the hold for
  /// its own ends, and forget them unread.
  std::int64_t toAcknowledge() const {
    return this->awaitAcknowledgement() ? this->Recorded : 0;
  }
};

/// Records that the ends in \p Stored are stored, as they were applied when
/// their records were written. Does nothing if the worker has restarted since:
/// its numbers now mean other ends.
inline void markRecorded(EndNumbers &Numbers, const EndNumbers &Stored) {
  if (Stored.IncarnationStartMs != Numbers.IncarnationStartMs)
    return;
  Numbers.Recorded = std::max(Numbers.Recorded, Stored.Applied);
}

} // namespace pistachioflow
