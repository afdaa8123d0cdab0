#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachioflow/sched/job_spec.hpp"

namespace pistachioflow {

/// A worker's own entry in the list of workers.
struct WorkerEntry {
  std::string Service;
  std::string Address;
  std::string FailureDomain;
  bool Draining = false;
  /// While draining: the worker stays at least this long.
  std::int64_t RemainingMs = 0;
  Resources Capacity;
  std::vector<std::string> Labels;     ///< Its kind and its rack.
  std::int64_t ClockMs = 0;            ///< The worker's own steady clock.
  double ColdRemainingMs = 0;          ///< It stays slower for this long.
  std::int64_t IncarnationStartMs = 0; ///< Start of this process.
};

/// A run that a worker reports as running.
struct RunningTask {
  std::string Task;
  std::int64_t Run = 0;
  std::string Checkpoint;
  /// Completed part of the work. Long-running tasks report 100 once they serve.
  std::int64_t ProgressPercent = 0;
  std::int64_t CpuMilli = -1; ///< Processor time in use; -1: not reported.
};

/// How a run ended.
enum class RunOutcome {
  Done,
  Failed,         ///< Through the task or the worker.
  Stopped,        ///< By a stop order.
  LeaseExpired,   ///< Its lease expired.
  GangBroken,     ///< Another member of the gang ended.
  GangIncomplete, ///< The other members did not start in time.
  Unknown,        ///< A name that this version does not know.
};

/// An ended run in a worker's report.
struct EndedRun {
  std::int64_t Number = 0; ///< Counts the ended runs of an incarnation, from 1.
  std::string Task;
  std::int64_t Run = 0;
  RunOutcome Outcome = RunOutcome::Unknown;
  std::string Checkpoint;
};

/// A worker's answer to a hold request.
struct WorkerReport {
  std::int64_t ClockMs = 0;
  std::int64_t IncarnationStartMs = 0; ///< 0: not reported.
  std::vector<RunningTask> Running;
  std::vector<EndedRun> Ended;
  /// More ended runs may follow once these are acknowledged, so that a run that
  /// is in neither list may have ended.
  bool MoreEnds = false;
};

} // namespace pistachioflow
