#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/event.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow {

struct WatchSettings {
  Duration PollEvery{1'000};
  /// The longest pause between two questions to a worker that does not answer.
  Duration PollBackoff{4'000};
  Duration ListEvery{3'000};
  /// A worker counts as lost after this many failed reports in a row, and not
  /// before it has been silent for LostAfter.
  std::uint32_t LostFailures = 3;
  Duration LostAfter{6'000};
};

/// What the owner knows of the reach of one worker.
struct WorkerHealth {
  WorkerInfo Info;
  bool Listed = false; ///< On the platform's list when it was read last.
  bool Heard = false;  ///< Answered the last question.
  bool InFlight = false;
  std::uint32_t Failures = 0; ///< Unanswered questions in a row.
  Instant LastHeard;
  Instant PollAt;
  Instant DelistedAt; ///< When the list was first read without it.
};

/// The reach of every worker of a cell. Held by the cell's owner only.
struct WorkerWatch {
  std::map<WorkerId, WorkerHealth> Workers;
  bool ListRead = false; ///< The platform's list was read since the take-over.
};

// The functions below are pure. Thread safety: calls on different watches may
// run at the same time.

/// Begins to watch the workers that the folded state knows.
WorkerWatch beginWatch(const policy::CellState &State, Instant Now);

/// Takes over the platform's list, reduced to the cell's failure domains.
void takeListed(WorkerWatch &Watch, std::span<const WorkerInfo> Listed,
                Instant Now);

/// Returns the workers to ask now, and marks them as in flight.
std::vector<WorkerId> takeDuePolls(WorkerWatch &Watch, Instant Now);

/// Takes over whether a worker answered.
void takePollOutcome(WorkerWatch &Watch, const WorkerId &Worker, bool Answered,
                     const WatchSettings &Settings, Instant Now);

/// Makes the next question to \p Worker due now.
void pollSoon(WorkerWatch &Watch, const WorkerId &Worker, Instant Now);

/// Tells whether the platform has removed the worker and it is silent as well.
bool removed(const WorkerWatch &Watch, const WorkerHealth &Health,
             const WatchSettings &Settings);

/// Stops watching workers that are neither listed nor heard nor counted on.
void forgetDelisted(WorkerWatch &Watch, const policy::CellState &State);

/// Returns the joins and losses that the folded state does not know yet.
/// A worker that the list has dropped, but that answers, is not lost: the list
/// lags, and its tasks run.
std::vector<Event> workerEvents(const WorkerWatch &Watch,
                                const policy::CellState &State,
                                const WatchSettings &Settings, Instant Now);

} // namespace pistachioflow
