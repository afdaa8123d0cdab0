#pragma once

#include <cstdint>
#include <string_view>

namespace pistachioflow {

/// The parts of a task's name, ID.K.STEP.INDEX. A gang's name has no index;
/// missing or malformed numbers are -1.
struct TaskName {
  std::string_view JobId;
  std::int64_t Occurrence = -1;
  std::int64_t Step = -1;
  std::int64_t Index = -1;
};

/// Reads a task's or unit's name; the job's id is a view of \p Name.
/// Thread safety: pure.
TaskName parseTaskName(std::string_view Name);

} // namespace pistachioflow
