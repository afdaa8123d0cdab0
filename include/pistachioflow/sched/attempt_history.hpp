#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// A run that was taken as ended although its worker could not report it. It
/// may have failed.
struct PresumedEnd {
  std::string Worker;
  std::int64_t Run = 0;
  /// The worker's lease has expired by then; a failure that is reported later
  /// is no attempt.
  Instant LeaseEnds;
};

/// The runs of a unit that count, or may count, as failed attempts.
///
/// Load pattern: workers that are cut off while gangs run on them. The other
/// members show that the gang has ended, but not that it failed on a worker
/// that is out of reach. Thread safety: none.
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

/// Notes that \p Run is taken as ended on an unresponsive worker.
void presumeEnd(AttemptHistory &History, std::string_view Worker,
                std::int64_t Run, Instant LeaseEnds);

/// Ends the doubt about a run: its worker has reported it, or no longer has it.
void resolvePresumedEnd(AttemptHistory &History, std::string_view Worker,
                        std::int64_t Run);

/// Whether one more run stays within \p MaxAttempts, even if every run in doubt
/// has failed.
bool mayRunAgain(const AttemptHistory &History, std::int64_t MaxAttempts,
                 Instant Now);

/// \name Conversion to and from records
/// @{
void writeAttempts(const AttemptHistory &History, UnitRecord &Record);
/// \p LeaseEnds is when every lease of an earlier owner has expired.
AttemptHistory readAttempts(const UnitRecord &Record, Instant LeaseEnds);
/// @}

} // namespace pistachioflow
