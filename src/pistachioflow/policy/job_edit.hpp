#pragma once

#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Takes a job out of the index while it is changed, and puts it back.
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

/// Builds the index where that has not been done yet.
void ensureIndex(CellState &State);

/// Returns the job, or null.
JobState *findJob(CellState &State, const JobId &Job);

/// Ends the job in \p Final, out of every placement.
void endJob(CellState &State, JobState &Job, JobPhase Final, Instant At);

/// Puts an active job back into the queue, to be tried again from \p NotBefore.
void requeueJob(CellState &State, JobState &Job, Instant NotBefore, Instant At);

/// Forgets who reclaims gangs for \p Job, which needs them no more.
void cancelReclaims(CellState &State, const JobId &Job);

} // namespace pistachioflow::policy
