#pragma once

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Removes a job from the index while it is changed, and adds it again.
///
/// Precondition: the state's index is built; no other edit of the job is open.
class JobEdit {
public:
  JobEdit(CellState &State, JobState &Job) : State(State), Job(Job) {
    unindexJob(this->State.Index, this->Job);
  }
  ~JobEdit() { indexJob(this->State.Index, this->Job); }
  JobEdit(const JobEdit &) = delete;
  JobEdit &operator=(const JobEdit &) = delete;

  JobState *operator->() { return &this->Job; }

private:
  CellState &State;
  JobState &Job;
};

/// Builds the index if it is missing.
void ensureIndex(CellState &State);

/// Returns the job, or null.
JobState *findJob(CellState &State, const JobId &Job);

/// Ends the job in phase \p Final and clears its placements.
void endJob(CellState &State, JobState &Job, JobPhase Final, Instant At);

/// Requeues an active job, not to be retried before \p NotBefore.
void requeueJob(CellState &State, JobState &Job, Instant NotBefore, Instant At);

/// Cancels the reclaims for \p Job of gangs that are not stopping yet.
void cancelReclaims(CellState &State, const JobId &Job);

} // namespace pistachioflow::policy
