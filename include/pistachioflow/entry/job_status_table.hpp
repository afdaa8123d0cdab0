#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// What every instance knows of every job: enough to answer its caller.
///
/// Thread safety: none.
class JobStatusTable {
public:
  struct Entry {
    std::string Queue;
    JobPhase Phase = JobPhase::Queued;
    bool CancelRequested = false;
  };

  void clear() { this->Jobs.clear(); }

  /// Applies one record of the journal; kinds that do not concern jobs as a
  /// whole are ignored. Returns false when the value is malformed.
  bool apply(const JournalRecord &Record);

  /// Returns the phase that callers are shown, or null for an unknown job.
  const Entry *find(std::string_view JobId) const;

  /// Jobs of a queue of which no task has started.
  std::int64_t countQueued(std::string_view Queue) const;

  std::size_t size() const { return this->Jobs.size(); }

private:
  std::unordered_map<std::string, Entry> Jobs;
};

/// The phase to show: a cancelled job is cancelled as soon as that is stored.
JobPhase reportedPhase(const JobStatusTable::Entry &Entry);

} // namespace pistachioflow
