#pragma once

#include <optional>
#include <vector>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Walks the queued jobs of one workspace in their order. Jobs of one shape are
/// skipped together once one of them found no room, so that a call looks at few
/// jobs however long the queue is.
class QueueCursor {
public:
  QueueCursor(const DecisionDraft &Draft,
              const std::map<ShapeKey, JobQueue> &Queues);

  /// Returns the next job, or null at the end. Jobs that the plan has touched
  /// are left out.
  const JobState *next();

  /// Leaves out every further job of the shape that next() returned last.
  void skipShape();

private:
  struct ShapeQueue {
    JobQueue::const_iterator Next;
    JobQueue::const_iterator End;
  };

  const DecisionDraft *Draft;
  std::vector<ShapeQueue> ShapeQueues;
  std::size_t LastQueue = 0;
};

} // namespace pistachioflow::policy
