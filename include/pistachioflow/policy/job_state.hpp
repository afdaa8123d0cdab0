#pragma once

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/reason.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow::policy {

/// A gang that has been asked for a checkpoint so that another job can start.
struct ReclaimState {
  JobId For; ///< Empty: this gang is not reclaimed.
  ReasonCode Code = ReasonCode::None;
  Instant Deadline;
  bool CheckpointTaken = false;

  MSGPACK_DEFINE(For, Code, Deadline, CheckpointTaken)
};

/// The state of one job.
struct JobState {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  Attempt Try = 0;
  bool Admitted = false;
  bool Borrowed = false;
  std::vector<Placement> Placements;
  Instant SubmittedAt;
  Instant QueuedAt; ///< When it was submitted or last requeued.
  Instant StartedAt;
  /// The declared run time, corrected by the workspace's earlier jobs.
  Duration ExpectedRuntime;
  Duration SavedProgress; ///< Run time saved by checkpoints.
  Instant CheckpointAt;   ///< Last checkpoint of this attempt, or its start.
  Instant EndedAt;
  Instant NotBefore; ///< Queued: not retried before this time.
  bool CancelRequested = false;
  /// Why this gang has to stop other than by a reclaim, or None.
  ReasonCode StopReason = ReasonCode::None;
  AfterStop Then = AfterStop::Requeue;
  ReclaimState Reclaim;
  std::uint32_t Preemptions = 0;
  std::uint32_t Refusals = 0;
  std::vector<WorkerId> FailedOn;    ///< Different workers, oldest first.
  std::vector<WorkerId> ThrottledOn; ///< Of this attempt.
  std::vector<WorkerId> OverusedOn;  ///< Of this attempt, not yet throttled.

  MSGPACK_DEFINE(Spec, Phase, Try, Admitted, Borrowed, Placements, SubmittedAt,
                 QueuedAt, StartedAt, ExpectedRuntime, SavedProgress,
                 CheckpointAt, EndedAt, NotBefore, CancelRequested, StopReason,
                 Then, Reclaim, Preemptions, Refusals, FailedOn, ThrottledOn,
                 OverusedOn)
};

/// Tells whether the job holds accelerators.
inline bool isActive(const JobState &Job) {
  return Job.Phase == JobPhase::Starting || Job.Phase == JobPhase::Running ||
         Job.Phase == JobPhase::Stopping;
}

/// Tells whether the job has ended for good.
inline bool hasEnded(const JobState &Job) {
  return Job.Phase != JobPhase::Queued && !isActive(Job);
}

struct WorkerState {
  WorkerInfo Info;
  bool Lost = false;
  bool Quarantined = false;
  bool OnProbation = false; ///< Released, no gang finished since.
  Instant QuarantinedUntil;
  std::uint32_t Quarantines = 0;
  /// Different jobs that failed here since a gang last finished here.
  std::vector<JobId> FailedJobs;

  MSGPACK_DEFINE(Info, Lost, Quarantined, OnProbation, QuarantinedUntil,
                 Quarantines, FailedJobs)
};

/// Tells whether new tasks may be placed on the worker.
inline bool isUsable(const WorkerState &Worker) {
  return !Worker.Lost && !Worker.Quarantined;
}

} // namespace pistachioflow::policy
