#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace pistachioflow {

/// What one task occupies on a worker while it runs.
struct Resources {
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  MSGPACK_DEFINE(MilliCores, MemoryMb, Accelerators)
};

/// One step of a job: tasks that are alike.
struct StepSpec {
  std::int64_t TaskCount = 1;
  Resources TaskResources;
  std::int64_t EstimatedMs = 0;    ///< The caller's rough guess for one task.
  std::vector<std::int64_t> After; ///< Earlier steps that must be done first.
  bool Checkpointing = false;
  bool Gang = false;             ///< All tasks run together or none does.
  bool TightlyCoupled = false;   ///< Slower when spread over several racks.
  bool ConcurrentCopies = false; ///< Two runs of a task may overlap.
  bool LongRunning = false;      ///< Restarted however it ends until cancelled.
  bool FillsIdleCpu = false;     ///< Its processor time is not counted as room.
  std::string RequiredLabel;     ///< Empty: any worker.
  std::string DataRack;          ///< Slower on any other rack. Empty: none.
  std::int64_t MaxPerWorker = 0; ///< Of this step. 0: no limit.
  std::string Image;
  std::int64_t LatencyTargetMs = 0;
  std::int64_t AllowedMissingTasks = 0;

  MSGPACK_DEFINE(TaskCount, TaskResources, EstimatedMs, After, Checkpointing,
                 Gang, TightlyCoupled, ConcurrentCopies, LongRunning,
                 FillsIdleCpu, RequiredLabel, DataRack, MaxPerWorker, Image,
                 LatencyTargetMs, AllowedMissingTasks)
};

/// A job as its caller described it.
struct JobSpec {
  std::string Payload; ///< Opaque text, passed to each task.
  std::vector<StepSpec> Steps;
  std::int64_t Occurrences = 0; ///< 0: once, at once.
  std::int64_t FirstDueWallMs = 0;
  std::int64_t IntervalMs = 0;

  MSGPACK_DEFINE(Payload, Steps, Occurrences, FirstDueWallMs, IntervalMs)
};

/// What the queue promised when the job was accepted; used once the queue is
/// no longer configured.
struct QueueTerms {
  std::string Service;
  std::int64_t Priority = 0; ///< 0 comes first and may preempt others.
  std::int64_t MaxAttempts = 1;
  double Stretch = 1.0;         ///< Objective as a multiple of the work.
  std::int64_t AllowanceMs = 0; ///< Added to the objective.

  MSGPACK_DEFINE(Service, Priority, MaxAttempts, Stretch, AllowanceMs)
};

} // namespace pistachioflow
