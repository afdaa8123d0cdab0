#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/worker.hpp"

namespace pistachioflow {

/// The runs that one worker reports and no job wants, and when each is told to
/// stop again.
///
/// Load pattern: a new owner finds hundreds of runs of jobs that have ended.
/// Every report lists them until they have stopped. Thread safety: none.
class UnwantedRuns {
public:
  /// Takes the unwanted runs of the worker's newest report in place of the
  /// earlier ones. Returns those that are to be told to stop now.
  std::vector<RunningTask> update(std::span<const RunningTask> Reported,
                                  Instant Now);

  /// Notes that the worker has accepted a stop, which is not repeated before
  /// \p RepeatAt. Does nothing for runs that are not unwanted.
  void stopAccepted(const std::string &Task, std::int64_t Run,
                    Instant RepeatAt);

  /// Whether the newest report lists the run as unwanted.
  bool contains(const std::string &Task, std::int64_t Run) const {
    return this->RepeatAt.contains({Task, Run});
  }

  bool empty() const { return this->RepeatAt.empty(); }

private:
  using RunName = std::pair<std::string, std::int64_t>;

  std::map<RunName, Instant> RepeatAt;
};

} // namespace pistachioflow
