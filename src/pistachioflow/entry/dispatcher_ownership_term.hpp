#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/topic_follower.hpp"

namespace pistachioflow {

/// How long a lease may last on this process's clock: a worker's clock may be
/// 2% slow, and what has lapsed takes a moment to end.
inline Duration maxLocalLease(Duration Granted) {
  constexpr std::int64_t SlowClockPercent = 102;
  constexpr std::int64_t WholePercent = 100;
  constexpr Duration Margin{300};
  return Duration{Granted.Ms * SlowClockPercent / WholePercent} + Margin;
}

/// Everything that belongs to one time as the owner.
struct Dispatcher::OwnershipTerm {
  std::int64_t Epoch = 0;
  bool Active = true;
  bool Loading = true;
  bool Flushing = false;
  std::shared_ptr<JournalWriter> Writer;
  JobTable Table;
  WorkerLinks Workers;
  std::map<std::string, std::string>
      JournalValues; ///< Newest value of each key.
  std::set<std::pair<std::string, std::int64_t>> PendingStops;
  std::shared_ptr<TopicFollower> WorkerListFollower;
  Instant StartedAt;
};

} // namespace pistachioflow
