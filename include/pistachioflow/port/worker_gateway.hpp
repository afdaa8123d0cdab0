#pragma once

#include <cstdint>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/record.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow {

enum class OrderKind : std::uint8_t {
  Hold,       ///< Take a lease on the tasks' share of the worker.
  Start,      ///< Run the tasks of a held lease.
  Renew,      ///< Extend the lease.
  Checkpoint, ///< Write a checkpoint and go on.
  Throttle,   ///< Use at most Cores.
  Stop,       ///< End the tasks and release the lease.
};

/// An order to one worker about the tasks of one attempt of one gang.
struct WorkerOrder {
  OrderKind Kind = OrderKind::Hold;
  CellId Cell;
  Epoch Fence = 0; ///< A worker refuses an epoch lower than the last it saw.
  JobId Job;
  Attempt Try = 0;
  std::uint32_t Tasks = 0;
  GangShape Shape;
  Duration Lease;
  std::uint32_t Cores = 0;
};

enum class TaskPhase : std::uint8_t { Held, Running, Finished, Failed };

/// The tasks of one attempt as one worker knows them.
struct ReportedTasks {
  JobId Job;
  Attempt Try = 0;
  TaskPhase Phase = TaskPhase::Held;
  std::uint32_t Tasks = 0;
  std::uint32_t CoresUsed = 0;    ///< Lags.
  std::uint32_t MemoryMbUsed = 0; ///< Lags.
  std::uint32_t Checkpoints = 0;  ///< Checkpoints written by this attempt.
};

struct WorkerReport {
  WorkerId Worker;
  Epoch HighestFence = 0;
  std::vector<ReportedTasks> Tasks;
};

/// The platform's workers.
///
/// Thread safety: every method may be called from any thread.
class WorkerGateway {
public:
  virtual ~WorkerGateway() = default;

  /// Returns every worker that the platform lists. Errors: Unavailable.
  virtual Result<std::vector<WorkerInfo>> workers() = 0;

  /// Sends one order. Repeating an order for the same attempt has no further
  /// effect.
  /// Errors: Unavailable (surely not received), UnknownOutcome, Refused (no
  /// room or no such lease), Fenced.
  virtual Result<void> send(const WorkerId &Worker,
                            const WorkerOrder &Order) = 0;

  /// Asks one worker what it runs. Errors: Unavailable.
  virtual Result<WorkerReport> report(const WorkerId &Worker) = 0;
};

} // namespace pistachioflow
