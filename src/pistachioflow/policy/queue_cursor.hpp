#pragma once

#include <optional>
#include <vector>

#include "pistachioflow/policy/plan.hpp"

namespace pistachioflow::policy {

/// Walks the queued jobs of one workspace in their order. Jobs of one shape are
/// skipped together once one of them found no room, so that a call looks at few
/// jobs however long the queue is.
class QueueCursor {
public:
  QueueCursor(const Plan &Draft, const std::map<ShapeKey, JobQueue> &Queues);

  /// Returns the next job, or null at the end. Jobs that the plan has touched
  /// are left out.
  const JobState *next();

  /// Leaves out every further job of the shape that next() returned last.
  void skipShape();

private:
  struct Lane {
    JobQueue::const_iterator At;
    JobQueue::const_iterator End;
  };

  const Plan *Draft;
  std::vector<Lane> Lanes;
  std::size_t Last = 0;
};

} // namespace pistachioflow::policy
