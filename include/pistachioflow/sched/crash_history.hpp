#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// A run that a worker last reported at this age or older did not crash its
/// worker by being started. Workers report at least every 1.5 s.
inline constexpr Duration EarlyCrashWindow{5'000};

/// The crashes of workers under the members of a unit.
///
/// Load pattern: tasks that crash each worker that starts them, beside tasks
/// that share a worker with these. Thread safety: none.
struct CrashHistory {
  std::vector<CrashRecord> Crashes;
  /// From then on, suspected crashes no longer hold back a start.
  Instant SuspicionEnds;
};

/// Records a crash. One process crashes once under a member's run, however
/// often that is seen. Returns whether it is new.
bool recordCrash(CrashHistory &History, CrashRecord Crash);

/// Records that a worker was lost under a member, so that it may have crashed.
void suspectCrash(CrashHistory &History, CrashRecord Crash, Instant Now);

/// Settles the suspicions about a worker that has returned: the incarnation
/// under suspicion was only cut off, any other shows a crash. Returns the
/// crashes, which count from now on.
std::vector<CrashRecord> settleSuspicions(CrashHistory &History,
                                          std::string_view Worker,
                                          std::int64_t IncarnationStartMs);

/// Returns how many workers have crashed under the member, without suspected
/// crashes.
std::int64_t crashesUnder(const CrashHistory &History, std::int64_t Member);

/// Whether so many workers have crashed under one member that the unit must not
/// start again.
bool crashLimitReached(const CrashHistory &History);

/// Whether so many workers have been lost under one member, and none of them
/// has returned in time, that the unit must not start again.
bool lossLimitReached(const CrashHistory &History, Instant Now);

/// Whether one more start stays within the limit even if every suspected crash
/// was one. After a while without a further loss, suspicions hold back a start
/// only at the limit of lossLimitReached().
bool mayStartAfterCrashes(const CrashHistory &History, Instant Now);

/// Returns how long a unit waits after the latest crash.
Duration crashBackoff(const CrashHistory &History, std::int64_t Member);

/// Restores the crashes of a record. Suspicions begin anew at \p Now.
CrashHistory readCrashes(const UnitRecord &Record, Instant Now);

} // namespace pistachioflow
