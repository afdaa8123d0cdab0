#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/codec/enum_names.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow::standin {

/// How the workers behave when nothing is wrong.
struct ParkSettings {
  Duration RunTime{2'000}; ///< Of a job that has no behaviour of its own.
  Duration UsageLag{500};  ///< Usage is reported this long after it began.
  bool Fencing = true;     ///< Refuse epochs lower than the highest seen.
};

/// What one job really does, whatever it declared.
struct JobBehaviour {
  JobId Job;
  Duration RunTime{2'000};
  bool Fails = false;
  std::uint32_t CoresPerTask = 0;    ///< 0: as declared.
  std::uint32_t MemoryMbPerTask = 0; ///< 0: as declared.
};

enum class OrderAnswer : std::uint8_t { Accepted, Refused, Fenced, NoWorker };

/// One order as a checker sees it.
struct OrderEntry {
  WorkerId Worker;
  WorkerOrder Order;
  OrderAnswer Answer = OrderAnswer::Accepted;
  Instant At;
};

/// Why the tasks of an attempt ended on a worker.
enum class RunEnd : std::uint8_t {
  Open, ///< They still run.
  Finished,
  Failed,
  Stopped,
  LeaseLapsed,
  WorkerDied,
};

/// One run of the tasks of an attempt on one worker.
struct RunInterval {
  WorkerId Worker;
  JobId Job;
  Attempt Try = 0;
  std::uint32_t Tasks = 0;
  std::uint32_t Accelerators = 0;
  Epoch Fence = 0;
  Instant From;
  Instant To; ///< Meaningless while open.
  RunEnd End = RunEnd::Open;
};

/// Workers that run tasks under leases, on a clock that the caller reads. What
/// time alone brings about (a task ends, a lease lapses) is worked out when
/// somebody looks.
///
/// Thread safety: every method may be called from any thread.
class WorkerPark {
public:
  explicit WorkerPark(ParkSettings Settings) : Settings(Settings) {}

  void addWorker(const WorkerInfo &Info);
  void removeWorker(const WorkerId &Worker);
  void setBehaviour(const JobBehaviour &Behaviour);

  /// Ends every task of the worker as a loss.
  void kill(const WorkerId &Worker, Instant Now);

  std::vector<WorkerInfo> workers() const;

  /// Carries out one order. \p RefuseHolds and \p FailTasks are the faults of
  /// the worker.
  OrderAnswer order(const WorkerId &Worker, const WorkerOrder &Order,
                    Instant Now, bool RefuseHolds = false,
                    bool FailTasks = false);

  /// Returns what the worker runs. Errors: NotFound.
  Result<WorkerReport> report(const WorkerId &Worker, Instant Now);

  std::vector<OrderEntry> orders() const;
  std::vector<RunInterval> runs(Instant Now);

private:
  struct Lease {
    WorkerOrder Order; ///< The one that took it.
    TaskPhase Phase = TaskPhase::Held;
    Instant Until;
    Instant StartedAt;
    Instant EndsAt;
    bool WillFail = false;
    std::uint32_t CoresAllowed = 0; ///< 0: no limit.
    std::uint32_t Checkpoints = 0;
    std::size_t Run = 0; ///< Index into Runs once started.
  };

  struct Worker {
    WorkerInfo Info;
    Epoch HighestFence = 0;
    std::map<JobId, Lease> Leases;
    std::map<JobId, Attempt> Stopped; ///< The last attempt told to stop.
  };

  OrderAnswer carryOut(Worker &Target, const WorkerOrder &Order, Instant Now,
                       bool RefuseHolds, bool FailTasks);
  OrderAnswer hold(Worker &Target, const WorkerOrder &Order, Instant Now,
                   bool RefuseHolds);
  OrderAnswer start(Lease &Held, const WorkerId &Name, Instant Now,
                    bool FailTasks);
  void checkpoint(Lease &Held, Instant Now);
  void stop(Worker &Target, const WorkerOrder &Order, Instant Now);
  void advance(Worker &Target, Instant Now);
  void endRun(const Lease &Held, Instant At, RunEnd End);
  bool hasRoom(const Worker &Target, const WorkerOrder &Order) const;
  JobBehaviour behaviourOf(const JobId &Job) const;
  ReportedTasks reportTasks(const Lease &Held, Instant Now) const;

  const ParkSettings Settings;
  mutable std::mutex Lock;
  std::map<WorkerId, Worker> Workers;
  std::map<JobId, JobBehaviour> Behaviours;
  std::map<JobId, Duration> Saved; ///< Work that checkpoints keep.
  std::vector<OrderEntry> Orders;
  std::vector<RunInterval> Runs;
};

} // namespace pistachioflow::standin

namespace pistachioflow {
template <>
std::span<const EnumName<standin::OrderAnswer>>
enumNames<standin::OrderAnswer>();
template <>
std::span<const EnumName<standin::RunEnd>> enumNames<standin::RunEnd>();
} // namespace pistachioflow
