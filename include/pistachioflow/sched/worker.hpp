#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachioflow/sched/job_spec.hpp"

namespace pistachioflow {

/// What a worker says of itself in the list of workers.
struct WorkerEntry {
  std::string Service;
  std::string Address;
  std::string FailureDomain;
  bool Draining = false;
  std::int64_t RemainingMs = 0; ///< While draining: at least this long is left.
  Resources Capacity;
  std::vector<std::string> Labels; ///< Its kind and its rack.
  std::int64_t ClockMs = 0;        ///< The worker's own steady clock.
  std::int64_t IncarnationStartMs =
      0; ///< Start of this life under the same id.
};

/// One run that a worker reports as present.
struct RunningTask {
  std::string Task;
  std::int64_t Run = 0;
  std::string Checkpoint;
  /// How much of the task's work is done. Of work that lasts: 100 once it
  /// serves.
  std::int64_t ProgressPercent = 0;
  std::int64_t CpuMilli = -1; ///< Processor time in use; -1: not reported.
};

/// How a run ended.
enum class RunOutcome {
  Done,
  Failed,         ///< By the task's own fault or the worker's.
  Stopped,        ///< On an order.
  LeaseExpired,   ///< Its lease ran out.
  GangBroken,     ///< Another member of the gang ended.
  GangIncomplete, ///< The other members did not come in time.
  Unknown,        ///< A word that this version does not know.
};

/// One end in a worker's list.
struct EndedRun {
  std::int64_t Number = 0; ///< Counts the ends of this life, from 1.
  std::string Task;
  std::int64_t Run = 0;
  RunOutcome Outcome = RunOutcome::Unknown;
  std::string Checkpoint;
};

/// A worker's answer to a look at it.
struct WorkerReport {
  std::int64_t ClockMs = 0;
  std::int64_t IncarnationStartMs = 0; ///< 0 where the worker does not say.
  std::vector<RunningTask> Running;
  std::vector<EndedRun> Ended;
};

} // namespace pistachioflow
