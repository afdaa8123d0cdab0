#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/entry/end_numbers.hpp"
#include "pistachioflow/entry/unwanted_runs.hpp"
#include "pistachioflow/entry/worker_leases.hpp"
#include "pistachioflow/platform/worker_client.hpp"
#include "pistachioflow/sched/worker.hpp"
#include "pistachioflow/sched/worker_reliability.hpp"

namespace pistachioflow {

/// What the owner knows of one worker during its ownership term.
struct WorkerLink {
  WorkerLink(asio::io_context &Io, std::string WorkerId)
      : Id(std::move(WorkerId)), Wake(Io) {}

  std::string Id;
  WorkerEntry Entry;
  std::shared_ptr<WorkerClient> Client; ///< Connects to the entry's address.
  bool Listed = false; ///< The list of workers holds a valid entry.
  /// This incarnation answered a hold of this epoch.
  bool Synced = false;
  bool HoldLoopRunning = false;
  /// Set after a stop: it may have ended or unwanted runs to report, so the
  /// next hold doesn't wait.
  bool NeedsImmediateHold = false;
  std::int64_t IncarnationStartMs = 0;
  std::int64_t ClockOffsetMs = 0; ///< Its clock minus this process's.
  WorkerLeases Leases;
  /// When the newest hold that it accepted in this term was sent; 0: none.
  Instant LastAcceptedAt;
  Instant UnresponsiveSince; ///< 0 while it responds.
  /// Until then, small tasks of lower priorities prefer other workers.
  Instant ReservedForUrgentUntil;
  Instant EarliestRemovalAt; ///< Set while it drains: not removed before this.
  EndNumbers Ends;           ///< Of its current incarnation.
  /// Runs in its latest report that are in no job's members, and what they
  /// occupy. They are being stopped.
  UnwantedRuns Unwanted;
  Resources UnwantedUse;
  Instant AvoidedUntil; ///< Other workers are preferred until then.
  WorkerReliability Trust;
  Signal Wake; ///< Notified when ends are recorded.

  /// The worker's clock at \p Now.
  std::int64_t clockAt(Instant Now) const {
    return Now.Ms + this->ClockOffsetMs;
  }
};

/// Whether the owner has to poll a worker with holds: its runs are not known,
/// or it may have something to report. An unresponsive worker is polled until
/// it answers, since nothing is placed on it before.
inline bool needsHold(const WorkerLink &Worker, bool Occupied) {
  return !Worker.Synced || Worker.NeedsImmediateHold || Occupied ||
         !Worker.Unwanted.empty() || Worker.UnresponsiveSince.Ms != 0 ||
         Worker.Ends.awaitAcknowledgement();
}

/// Whether the entry is of the incarnation that last answered: labels and
/// capacity of another one may differ. Where either names none, it counts as
/// the same.
inline bool describesIncarnation(const WorkerLink &Worker) {
  return Worker.Entry.IncarnationStartMs == 0 ||
         Worker.IncarnationStartMs == 0 ||
         Worker.Entry.IncarnationStartMs == Worker.IncarnationStartMs;
}

/// Whether, as far as is known, the worker answers and is the process that
/// started at \p IncarnationStartMs.
inline bool answersAs(const WorkerLink &Worker,
                      std::int64_t IncarnationStartMs) {
  const bool ListedAsOther = Worker.Listed && !describesIncarnation(Worker);
  return Worker.UnresponsiveSince.Ms == 0 && !ListedAsOther &&
         Worker.IncarnationStartMs == IncarnationStartMs;
}

/// Returns a worker's rack: the last of its labels, which are its kind and
/// rack.
/// The result points into \p Entry.
inline std::string_view rackOf(const WorkerEntry &Entry) {
  return Entry.Labels.empty() ? std::string_view() : Entry.Labels.back();
}

} // namespace pistachioflow
