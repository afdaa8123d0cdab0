#pragma once

#include <cstdint>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/topic_fold.hpp"
#include "pistachioflow/sched/job_table.hpp"

namespace pistachioflow {

/// When the journal is applied, and until when leases may last.
struct JournalTimes {
  Instant Now;
  std::int64_t WallMs = 0; ///< The wall clock at Now.
  Instant LeasesEnd;       ///< When every lease of earlier owners has expired.
};

/// Builds the table of a new owner from the whole journal. Malformed records
/// are ignored.
///
/// Precondition: \p Table is empty, and \p Journal was read after the owner's
/// claim. Thread safety: none.
void restoreTable(JobTable &Table, const TopicRecords &Journal,
                  const JournalTimes &Times);

/// Adds to the table of a running owner what callers appended to the journal,
/// after it was loaded again.
///
/// Jobs that the table knows keep their state, which is newer than their
/// records. A job with a phase that the table does not know has expired: its
/// records are about to be deleted. Thread safety: none.
void mergeIntoTable(JobTable &Table, const TopicRecords &Journal,
                    const JournalTimes &Times);

/// Applies a record that was appended while this instance is the owner. Only
/// those of callers count: the owner wrote the others itself.
///
/// Precondition: all earlier records were applied. Returns whether the record
/// is of a caller. Thread safety: none.
bool applyToTable(JobTable &Table, const JournalRecord &Record,
                  const JournalTimes &Times);

} // namespace pistachioflow
