#pragma once

#include <cstdint>
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
};

/// Records a crash. One process crashes once under a member's run, however
/// often that is seen. Returns whether it is new.
bool recordCrash(CrashHistory &History, CrashRecord Crash);

/// Returns how many workers have crashed under the member.
std::int64_t crashesUnder(const CrashHistory &History, std::int64_t Member);

} // namespace pistachioflow
