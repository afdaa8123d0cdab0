#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// A run that is presumed to have ended, on a worker that cannot be reached. It
/// may have failed.
struct PresumedEnd {
  std::string Worker;
  std::int64_t Run = 0;
  /// By then the run's lease has expired. A failure that is reported later does
  /// not count.
  Instant LeaseEnds;
};

/// The runs of a unit that count, or may count, as failed attempts.
///
/// Load pattern: workers that are cut off while gangs run on them. The other
/// members show that the gang has ended, but not whether it failed on the
/// unreachable worker. Thread safety: none.
struct AttemptHistory {
  std::vector<std::int64_t> FailedRuns; ///< Numbers, each once.
  std::vector<PresumedEnd> PresumedEnds;

  std::int64_t failures() const {
    return static_cast<std::int64_t>(this->FailedRuns.size());
  }
};

/// Counts a failed run. Several members of one run count as one failure.
/// Returns whether it was not counted before.
bool countFailure(AttemptHistory &History, std::int64_t Run);

/// Records that \p Run is presumed to have ended on an unresponsive worker.
void presumeEnd(AttemptHistory &History, std::string_view Worker,
                std::int64_t Run, Instant LeaseEnds);

/// Removes a presumed end: the worker has reported it, or no longer has the
/// run.
void resolvePresumedEnd(AttemptHistory &History, std::string_view Worker,
                        std::int64_t Run);

/// Whether one more run stays within \p MaxAttempts, even if every run that is
/// presumed to have ended has failed.
bool mayRunAgain(const AttemptHistory &History, std::int64_t MaxAttempts,
                 Instant Now);

/// \name Conversion to and from records
/// @{
void writeAttempts(const AttemptHistory &History, UnitRecord &Record);
/// \p LeaseEnds is when every lease of an earlier owner has expired.
AttemptHistory readAttempts(const UnitRecord &Record, Instant LeaseEnds);
/// @}

} // namespace pistachioflow
