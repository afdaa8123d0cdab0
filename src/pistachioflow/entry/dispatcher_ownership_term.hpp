#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/lease_bounds.hpp"
#include "pistachioflow/entry/rejected_entries.hpp"
#include "pistachioflow/entry/topic_follower.hpp"

namespace pistachioflow {

/// Whether a start order for a task on \p Worker may have been sent, and its
/// run may last.
bool mayHaveRuns(const JobTable &Table, std::string_view Worker);

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

  /// \name Leases; docs/design/leases.md
  /// @{
  struct GivenUpRuns {
    Instant At;
    Instant LastAcceptedAt; ///< Of the worker.
  };
  Instant ClaimSentAt;
  std::map<std::string, GivenUpRuns> GivenUp; ///< By worker.
  EarlierLeases Earlier;
  std::size_t OccupiedAtStart = 0; ///< Workers with runs in the journal.
  std::size_t ShownAtStart = 0;    ///< Of these: showed such a run.
  /// @}

  /// When the store surely knew no newer epoch.
  Instant storedAt() const {
    return std::max(this->ClaimSentAt, this->Writer->storedAt());
  }
  /// Whether a successor may have claimed the ownership by now. A worker that
  /// restarts forgets the newest epoch, so that it can't be relied on to refuse
  /// an old owner's start.
  bool mayHaveSuccessor(const Clock &Time) const {
    const Instant StoredAtWall = this->Writer->storedAtWall();
    const bool Suspended =
        StoredAtWall.Ms != 0 && Time.wall() - StoredAtWall >= MinClaimTime;
    return Suspended || Time.monotonic() - this->storedAt() >= MinClaimTime;
  }
};

} // namespace pistachioflow
