#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/tasks.hpp"
#include "pistachioflow/platform/worker_client.hpp"
#include "pistachioflow/sched/worker.hpp"
#include "pistachioflow/sched/worker_reliability.hpp"

namespace pistachioflow {

/// What the owner knows of one worker during its tenure.
struct WorkerLink {
  WorkerLink(asio::io_context &Io, std::string WorkerId)
      : Id(std::move(WorkerId)), Wake(Io) {}

  std::string Id;
  WorkerEntry Entry;
  std::shared_ptr<WorkerClient> Client; ///< Of the entry's address.
  bool Listed = false;     ///< The list of workers holds a valid entry.
  bool Synced = false;     ///< It answered a hold of this epoch in this life.
  bool Looping = false;    ///< A hold loop runs.
  bool CatchingUp = false; ///< It may hold runs that must be stopped.
  std::int64_t BornWallMs = 0;
  std::int64_t ClockOffsetMs = 0; ///< Its clock less this process's.
  Instant LeaseEnds;   ///< Nothing runs there after this without a renewal.
  Instant SilentSince; ///< 0 while it answers.
  Instant UrgentUntil; ///< Small tasks leave it to urgent work until then.
  Instant LeavesAt;    ///< While it drains: not before this.
  std::int64_t EndsSeen = 0;         ///< Highest end that was applied.
  std::int64_t EndsRecorded = 0;     ///< Highest end whose records are stored.
  std::int64_t EndsAcknowledged = 0; ///< Highest end it was told to forget.
  Instant DoubtedUntil;
  WorkerReliability Trust;
  Signal Wake; ///< Notified when EndsRecorded grows.

  /// Its clock at \p Now.
  std::int64_t clockAt(Instant Now) const {
    return Now.Ms + this->ClockOffsetMs;
  }
};

/// Whether the owner has to look at a worker: it is not known well enough, or
/// has something to tell. A silent one is looked at until it answers, since
/// nothing is placed on it before.
inline bool needsLook(const WorkerLink &Worker, bool Occupied) {
  return !Worker.Synced || Worker.CatchingUp || Occupied ||
         Worker.SilentSince.Ms != 0 ||
         Worker.EndsRecorded > Worker.EndsAcknowledged;
}

/// Returns the rack among a worker's labels: the last one, after its kind.
inline std::string rackOf(const WorkerEntry &Entry) {
  return Entry.Labels.empty() ? std::string() : Entry.Labels.back();
}

} // namespace pistachioflow
