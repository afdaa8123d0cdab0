#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace pistachioflow {

/// Amounts of a worker's resources: needed by one task, free or in total.
struct Resources {
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  MSGPACK_DEFINE(MilliCores, MemoryMb, Accelerators)
};

/// One step of a job: a number of identical tasks.
struct StepSpec {
  std::int64_t TaskCount = 1;
  Resources TaskResources;
  std::int64_t EstimatedMs = 0;    ///< The caller's estimate for one task.
  std::vector<std::int64_t> After; ///< Indices of steps to complete first.
  bool Checkpointing = false;
  bool Gang = false;             ///< All tasks run at the same time, or none.
  bool TightlyCoupled = false;   ///< Slower when spread over several racks.
  bool ConcurrentCopies = false; ///< Two runs of one task may overlap.
  bool LongRunning = false;      ///< Restarted after every end until cancelled.
  bool FillsIdleCpu = false;     ///< Its cores occupy no capacity.
  std::string RequiredLabel;     ///< Empty: any worker.
  std::string DataRack;          ///< Runs slower on other racks. Empty: none.
  std::int64_t MaxPerWorker = 0; ///< Tasks of this step. 0: no limit.
  std::string Image;
  std::int64_t LatencyTargetMs = 0;
  std::int64_t AllowedMissingTasks = 0;

  MSGPACK_DEFINE(TaskCount, TaskResources, EstimatedMs, After, Checkpointing,
                 Gang, TightlyCoupled, ConcurrentCopies, LongRunning,
                 FillsIdleCpu, RequiredLabel, DataRack, MaxPerWorker, Image,
                 LatencyTargetMs, AllowedMissingTasks)
};

/// A job as described by its caller.
struct JobSpec {
  std::string Payload; ///< Opaque text that is passed to each task.
  std::vector<StepSpec> Steps;
  std::int64_t Occurrences = 0; ///< 0: runs once, immediately.
  std::int64_t FirstDueWallMs = 0;
  std::int64_t IntervalMs = 0;

  MSGPACK_DEFINE(Payload, Steps, Occurrences, FirstDueWallMs, IntervalMs)
};

/// Scheduling terms of a queue. A job stores those in force when it was
/// accepted, for use once its queue is no longer configured.
struct QueueTerms {
  std::string Service;
  std::int64_t Priority = 0; ///< 0 is the highest and may preempt others.
  std::int64_t MaxAttempts = 1;
  double Stretch = 1.0;         ///< Response time objective per work.
  std::int64_t AllowanceMs = 0; ///< Added to the response time objective.

  MSGPACK_DEFINE(Service, Priority, MaxAttempts, Stretch, AllowanceMs)
};

} // namespace pistachioflow
