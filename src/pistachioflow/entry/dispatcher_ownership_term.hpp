#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/rejected_entries.hpp"
#include "pistachioflow/entry/topic_follower.hpp"

namespace pistachioflow {

/// Returns the longest that a lease of \p Granted may last on this process's
/// clock: a worker's clock may be 2% slow, and a run whose lease has expired
/// takes a moment to end.
inline Duration maxLocalLease(Duration Granted) {
  constexpr std::int64_t SlowClockPercent = 102;
  constexpr std::int64_t WholePercent = 100;
  constexpr Duration Margin{300};
  return Duration{Granted.Ms * SlowClockPercent / WholePercent} + Margin;
}

/// The state of one ownership term.
struct Dispatcher::OwnershipTerm {
  std::int64_t Epoch = 0;
  bool Active = true;    ///< False once the term has ended.
  bool Loading = true;   ///< The journal is not yet read up to its end.
  bool Flushing = false; ///< A flush() waits for the store.
  std::shared_ptr<JournalWriter> Writer;
  JobTable Table;
  WorkerLinks Workers;
  /// Entries of the list of workers, in order; while loading.
  std::vector<JournalRecord> WorkerEntries;
  std::set<std::pair<std::string, std::int64_t>> PendingStops; ///< Task, run.
  std::shared_ptr<TopicFollower> WorkerListFollower;
  RejectedEntries RejectedWorkers;
  Instant StartedAt;
};

} // namespace pistachioflow
