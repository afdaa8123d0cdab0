#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pistachioflow/sched/early_cancellations.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// The phase of every job, as callers are told it. Each instance builds it from
/// the journal, also while it is not the owner.
///
/// Thread safety: none.
class JobStatusTable {
public:
  struct Entry {
    std::string Queue;
    std::string Workspace; ///< Empty: submitted without a key.
    JobPhase Phase = JobPhase::Queued;
    bool CancelRequested = false;
    /// False while only a part of its records is deleted.
    bool Submitted = false;
  };

  void clear() {
    this->Jobs.clear();
    this->Cancellations.ByName.clear();
  }

  /// Applies one record of the journal. Unit and ownership records are ignored.
  /// Returns false when the record is malformed.
  bool apply(const JournalRecord &Record);

  /// Returns the entry of a job, or null when the job is unknown.
  const Entry *find(std::string_view JobId) const;

  /// Returns the number of jobs of \p Queue of which no task has started.
  std::int64_t countQueued(std::string_view Queue) const;

  /// Cancellations of jobs that are or were unknown.
  const EarlyCancellations &earlyCancellations() const {
    return this->Cancellations;
  }

  std::size_t size() const { return this->Jobs.size(); }

private:
  bool applyEarlyCancellation(const std::string &Name,
                              const std::string &Value);
  void dropIfEmpty(const std::string &Id);

  std::unordered_map<std::string, Entry> Jobs;
  EarlyCancellations Cancellations;
};

/// Returns the phase that callers are told. A job counts as cancelled as soon
/// as its cancellation is stored, before its tasks have stopped.
JobPhase reportedPhase(const JobStatusTable::Entry &Entry);

} // namespace pistachioflow
