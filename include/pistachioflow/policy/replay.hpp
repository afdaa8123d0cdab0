#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// A job of a replay, with what is true of it beside what it declares.
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
  std::uint32_t DuplicatedPercent = 0; ///< Facts that arrive a second time.
  bool Check = true;
  /// Every this many steps the decisions are made again from a snapshot; 0:
  /// never.
  std::uint32_t SnapshotCheckInterval = 0;
};

/// Folds a fact and returns the applied decisions, as step() does.
using Scheduler = std::function<std::vector<Decision>(
    CellState &, const Event &, const Settings &, Instant)>;

/// What became of one job.
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
  double LargestFreeShare = 0; ///< Mean of largest free rack block over free.
  double Fragmented = 0; ///< Mean share of what is free outside whole blocks.
  Duration LongestReclaim;
  Findings Violations;
};

/// Plays \p Load against \p Decide in virtual time, without network, process
/// or thread. The same arguments give the same result.
ReplayResult replay(const Workload &Load, const Scheduler &Decide,
                    const ReplayOptions &Options);

} // namespace pistachioflow::policy
