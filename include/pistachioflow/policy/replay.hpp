#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// A job of a replay, with its actual behaviour beside what it declares.
struct ReplayJob {
  JobSpec Spec;
  Instant Arrival;
  Duration Runtime;
  bool Broken = false; ///< Fails on every worker.
  Instant CancelAt;    ///< Zero: never.
};

struct TimedEvent {
  Instant At;
  Event Fact;
};

/// A worker that fails every task between two times.
struct FaultyWorker {
  Instant From;
  Instant Until;
};

struct Workload {
  std::vector<WorkerInfo> Workers;
  Lists Configuration;
  std::vector<ReplayJob> Jobs;
  std::vector<TimedEvent> Facts;
  std::map<WorkerId, FaultyWorker> Faulty;
  Instant End;
};

struct ReplayOptions {
  Settings Prefer;
  std::uint64_t Seed = 1;
  std::uint32_t RefusedPercent = 0;    ///< Starts that a worker refuses.
  std::uint32_t DuplicatedPercent = 0; ///< Events that are delivered twice.
  bool Check = true;
  /// Steps between two checks that a snapshot yields the same decisions; 0:
  /// never.
  std::uint32_t SnapshotCheckInterval = 0;
};

/// Folds an event and returns the applied decisions, as step() does.
using Scheduler = std::function<std::vector<Decision>(
    CellState &, const Event &, const Settings &, Instant)>;

/// The outcome of one job.
struct ReplayedJob {
  const ReplayJob *Job = nullptr;
  bool Started = false;
  bool Finished = false;
  Instant FirstStart;
  Instant End;
};

struct ReplayResult {
  std::vector<ReplayedJob> Jobs; ///< In the order of the workload.
  std::uint64_t Steps = 0;
  std::uint64_t Preemptions = 0;
  std::int64_t LostWorkMs = 0;        ///< Accelerators times lost run time.
  std::int64_t UsedAcceleratorMs = 0; ///< Accelerators times time in use.
  double LargestFreeShare =
      0;                 ///< Mean of the most free in a rack over all free.
  double Fragmented = 0; ///< Mean share of what is free outside whole blocks.
  Duration LongestReclaim;
  Findings Violations;
};

/// Simulates \p Load with \p Decide in virtual time, on the calling thread.
/// Deterministic.
ReplayResult replay(const Workload &Load, const Scheduler &Decide,
                    const ReplayOptions &Options);

} // namespace pistachioflow::policy
