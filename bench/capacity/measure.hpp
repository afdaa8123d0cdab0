#pragma once

#include <cstddef>
#include <vector>

#include "slope.hpp"

namespace pistachioflow::capacity {

/// Bytes, heap and processor time of one part for each unit that it holds.
struct Measured {
  // Records of the log.
  Slope StartBytes;   ///< A start decision, by placements.
  Slope JobLifeBytes; ///< All records of one job, by placements.
  double JobLifeRecords = 0;
  Slope PlansEditBytes;    ///< An edit, by workspaces.
  Slope ListsChangedBytes; ///< The owner's record of both lists, by workspaces.
  double RenewalBytes = 0;
  double WorkerEventBytes = 0; ///< One worker lost and joined again.
  double KeyPairBytes = 0;     ///< Begin and end of one request.
  // State.
  Slope SnapshotByJobs;
  Slope SnapshotByWorkers;
  Slope HeapByJobs;
  Slope HeapByWorkers;
  // Processor time.
  Slope StepMicros; ///< One event decided, by workers of the cell.
  Slope TickMicros; ///< Nothing but time passed, by workers of the cell.
  Slope FoldMicros; ///< Decoding and folding, by records.
  // Messages.
  Slope ReportCallBytes; ///< One report of a worker, by its gangs.
  double OrderCallBytes = 0;
  double PollCallBytes = 0; ///< One read of a stream without new records.
  double CallMicros = 0;    ///< Processor time of the caller of one call.
  Slope GossipBytes;        ///< One status message, by runners in use.
};

void measureRecords(Measured &Out);
void measureState(Measured &Out);
void measureDecisions(Measured &Out);
void measureMessages(Measured &Out);

/// Returns the bytes that this program has on its heap.
std::size_t heapBytes();

} // namespace pistachioflow::capacity
