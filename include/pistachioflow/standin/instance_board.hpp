#pragma once

#include <deque>
#include <mutex>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/port/instance_list.hpp"

namespace pistachioflow::standin {

/// A list of instances that shows changes only after a lag.
///
/// Thread safety: every method may be called from any thread.
class InstanceBoard {
public:
  explicit InstanceBoard(Duration Lag) : Lag(Lag) {}

  /// Replaces the list. The first one shows at once.
  void put(std::vector<ListedInstance> List, Instant Now);
  void setLag(Duration Value);

  /// Returns the list as it was one lag ago.
  std::vector<ListedInstance> shown(Instant Now);

private:
  struct Version {
    Instant From;
    std::vector<ListedInstance> List;
  };

  std::mutex Lock;
  Duration Lag;
  std::deque<Version> Versions; ///< Oldest first; the front is shown or older.
};

} // namespace pistachioflow::standin
