#pragma once

#include <optional>
#include <vector>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// Iterates over the queued jobs of one workspace in their order. All jobs of a
/// shape can be skipped once one of them does not fit, so that a call examines
/// few jobs even in a long queue.
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
