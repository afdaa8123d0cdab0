#pragma once

#include <cstdint>
#include <string>

#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/record.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::capacity {

/// A cell of the target's mix: one worker in six has eight accelerators, so
/// that 9,000 have about 13,000, and each runs about 14 tasks.
struct CellSample {
  policy::CellState State;
  std::uint32_t Jobs = 0;
};

/// Returns both lists for a number of workspaces, eleven for each plan.
Lists sampleLists(std::uint32_t Workspaces);

/// Returns the spec of the job \p Number: a gang of \p Tasks.
JobSpec sampleJob(std::uint32_t Number, std::uint32_t Tasks,
                  std::uint32_t Workspaces);

/// Returns a cell with its workers and no job.
CellSample emptyCell(std::uint32_t Workers);

/// Submits jobs until \p Tasks tasks run.
void fillCell(CellSample &Cell, std::uint32_t Tasks, std::uint32_t GangTasks);

/// Returns a header as every record has it.
RecordHeader sampleHeader();

} // namespace pistachioflow::capacity
