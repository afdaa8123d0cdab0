#include "pistachioflow/standin/worker_park.hpp"

#include <algorithm>

namespace pistachioflow::standin {

namespace {

struct Room {
  std::uint64_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;
};

Room roomOf(const WorkerOrder &Order) {
  const std::uint64_t Tasks = Order.Tasks;
  return {Tasks * Order.Shape.CoresPerTask, Tasks * Order.Shape.MemoryMbPerTask,
          Tasks * Order.Shape.AcceleratorsPerTask};
}

bool takesRoom(TaskPhase Phase) {
  return Phase == TaskPhase::Held || Phase == TaskPhase::Running;
}

} // namespace

void WorkerPark::addWorker(const WorkerInfo &Info) {
  const std::lock_guard Guard(this->Lock);
  this->Workers[Info.Worker].Info = Info;
}

void WorkerPark::removeWorker(const WorkerId &Name) {
  const std::lock_guard Guard(this->Lock);
  this->Workers.erase(Name);
}

void WorkerPark::setBehaviour(const JobBehaviour &Behaviour) {
  const std::lock_guard Guard(this->Lock);
  this->Behaviours[Behaviour.Job] = Behaviour;
}

void WorkerPark::kill(const WorkerId &Name, Instant Now) {
  const std::lock_guard Guard(this->Lock);
  const auto At = this->Workers.find(Name);
  if (At == this->Workers.end())
    return;
  this->advance(At->second, Now);
  for (const auto &[Job, Held] : At->second.Leases)
    this->endRun(Held, Now, RunEnd::WorkerDied);
  At->second.Leases.clear();
}

std::vector<WorkerInfo> WorkerPark::workers() const {
  const std::lock_guard Guard(this->Lock);
  std::vector<WorkerInfo> All;
  for (const auto &[Name, Target] : this->Workers)
    All.push_back(Target.Info);
  return All;
}

OrderAnswer WorkerPark::order(const WorkerId &Name, const WorkerOrder &Order,
                              Instant Now, bool RefuseHolds, bool FailTasks) {
  const std::lock_guard Guard(this->Lock);
  const auto At = this->Workers.find(Name);
  const OrderAnswer Answer =
      At == this->Workers.end()
          ? OrderAnswer::NoWorker
          : this->carryOut(At->second, Order, Now, RefuseHolds, FailTasks);
  this->Orders.push_back({Name, Order, Answer, Now});
  return Answer;
}

OrderAnswer WorkerPark::carryOut(Worker &Target, const WorkerOrder &Order,
                                 Instant Now, bool RefuseHolds,
                                 bool FailTasks) {
  this->advance(Target, Now);
  if (this->Settings.Fencing && Order.Fence < Target.HighestFence)
    return OrderAnswer::Fenced;
  Target.HighestFence = std::max(Target.HighestFence, Order.Fence);
  if (Order.Kind == OrderKind::Hold)
    return this->hold(Target, Order, Now, RefuseHolds);
  if (Order.Kind == OrderKind::Stop) {
    this->stop(Target, Order, Now);
    return OrderAnswer::Accepted;
  }
  const auto At = Target.Leases.find(Order.Job);
  if (At == Target.Leases.end() || At->second.Order.Try != Order.Try)
    return OrderAnswer::Refused;
  Lease &Held = At->second;
  switch (Order.Kind) {
  case OrderKind::Start:
    return this->start(Held, Target.Info.Worker, Now, FailTasks);
  case OrderKind::Renew:
    Held.Until = Now + Order.Lease;
    break;
  case OrderKind::Checkpoint:
    this->checkpoint(Held, Now);
    break;
  case OrderKind::Throttle:
    Held.CoresAllowed = Order.Cores;
    break;
  default:
    break;
  }
  return OrderAnswer::Accepted;
}

OrderAnswer WorkerPark::hold(Worker &Target, const WorkerOrder &Order,
                             Instant Now, bool RefuseHolds) {
  const auto At = Target.Leases.find(Order.Job);
  if (At != Target.Leases.end()) {
    if (At->second.Order.Try != Order.Try)
      return OrderAnswer::Refused;
    At->second.Until = std::max(At->second.Until, Now + Order.Lease);
    return OrderAnswer::Accepted;
  }
  const auto Last = Target.Stopped.find(Order.Job);
  const bool AlreadyStopped =
      Last != Target.Stopped.end() && Order.Try <= Last->second;
  if (AlreadyStopped || RefuseHolds || !this->hasRoom(Target, Order))
    return OrderAnswer::Refused;
  Lease Held;
  Held.Order = Order;
  Held.Until = Now + Order.Lease;
  Target.Leases.emplace(Order.Job, Held);
  return OrderAnswer::Accepted;
}

OrderAnswer WorkerPark::start(Lease &Held, const WorkerId &Name, Instant Now,
                              bool FailTasks) {
  if (Held.Phase != TaskPhase::Held)
    return OrderAnswer::Accepted;
  const JobBehaviour Behaviour = this->behaviourOf(Held.Order.Job);
  Held.Phase = TaskPhase::Running;
  Held.StartedAt = Now;
  Held.WillFail = FailTasks || Behaviour.Fails;
  const Duration Left{std::max<std::int64_t>(
      0, Behaviour.RunTime.Ms - this->Saved[Held.Order.Job].Ms)};
  Held.EndsAt = FailTasks ? Now : Now + Left;
  Held.Run = this->Runs.size();
  this->Runs.push_back({Name, Held.Order.Job, Held.Order.Try, Held.Order.Tasks,
                        Held.Order.Tasks * Held.Order.Shape.AcceleratorsPerTask,
                        Held.Order.Fence, Now, Now, RunEnd::Open});
  return OrderAnswer::Accepted;
}

void WorkerPark::checkpoint(Lease &Held, Instant Now) {
  if (Held.Phase != TaskPhase::Running)
    return;
  ++Held.Checkpoints;
  const JobBehaviour Behaviour = this->behaviourOf(Held.Order.Job);
  const Duration Left = Held.EndsAt - Now;
  Duration &Kept = this->Saved[Held.Order.Job];
  Kept = std::max(Kept, Duration{Behaviour.RunTime.Ms - Left.Ms});
}

void WorkerPark::stop(Worker &Target, const WorkerOrder &Order, Instant Now) {
  Attempt &Last = Target.Stopped[Order.Job];
  Last = std::max(Last, Order.Try);
  const auto At = Target.Leases.find(Order.Job);
  if (At == Target.Leases.end() || At->second.Order.Try > Order.Try)
    return;
  this->endRun(At->second, Now, RunEnd::Stopped);
  Target.Leases.erase(At);
}

void WorkerPark::advance(Worker &Target, Instant Now) {
  for (auto At = Target.Leases.begin(); At != Target.Leases.end();) {
    Lease &Held = At->second;
    if (Held.Phase == TaskPhase::Running && Held.EndsAt <= Now &&
        Held.EndsAt <= Held.Until) {
      Held.Phase = Held.WillFail ? TaskPhase::Failed : TaskPhase::Finished;
      this->endRun(Held, Held.EndsAt,
                   Held.WillFail ? RunEnd::Failed : RunEnd::Finished);
    }
    if (takesRoom(Held.Phase) && Held.Until < Now) {
      this->endRun(Held, Held.Until, RunEnd::LeaseLapsed);
      At = Target.Leases.erase(At);
      continue;
    }
    ++At;
  }
}

void WorkerPark::endRun(const Lease &Held, Instant At, RunEnd End) {
  if (Held.Phase == TaskPhase::Held)
    return;
  RunInterval &Run = this->Runs[Held.Run];
  if (Run.End != RunEnd::Open)
    return;
  Run.To = At;
  Run.End = End;
}

bool WorkerPark::hasRoom(const Worker &Target, const WorkerOrder &Order) const {
  Room Used = roomOf(Order);
  for (const auto &[Job, Held] : Target.Leases) {
    if (!takesRoom(Held.Phase))
      continue;
    const Room Other = roomOf(Held.Order);
    Used.Cores += Other.Cores;
    Used.MemoryMb += Other.MemoryMb;
    Used.Accelerators += Other.Accelerators;
  }
  return Used.Cores <= Target.Info.Cores &&
         Used.MemoryMb <= Target.Info.MemoryMb &&
         Used.Accelerators <= Target.Info.Accelerators;
}

JobBehaviour WorkerPark::behaviourOf(const JobId &Job) const {
  const auto At = this->Behaviours.find(Job);
  if (At != this->Behaviours.end())
    return At->second;
  JobBehaviour Usual;
  Usual.Job = Job;
  Usual.RunTime = this->Settings.RunTime;
  return Usual;
}

Result<WorkerReport> WorkerPark::report(const WorkerId &Name, Instant Now) {
  const std::lock_guard Guard(this->Lock);
  const auto At = this->Workers.find(Name);
  if (At == this->Workers.end())
    return Error{ErrorCode::NotFound, "no worker " + Name.Value, {}};
  this->advance(At->second, Now);
  WorkerReport Report{Name, At->second.HighestFence, {}};
  for (const auto &[Job, Held] : At->second.Leases)
    Report.Tasks.push_back(this->reportTasks(Held, Now));
  return Report;
}

ReportedTasks WorkerPark::reportTasks(const Lease &Held, Instant Now) const {
  ReportedTasks Tasks;
  Tasks.Job = Held.Order.Job;
  Tasks.Try = Held.Order.Try;
  Tasks.Phase = Held.Phase;
  Tasks.Tasks = Held.Order.Tasks;
  Tasks.Checkpoints = Held.Checkpoints;
  const bool UsageKnown = Held.Phase == TaskPhase::Running &&
                          Now >= Held.StartedAt + this->Settings.UsageLag;
  if (!UsageKnown)
    return Tasks;
  const JobBehaviour Behaviour = this->behaviourOf(Held.Order.Job);
  const GangShape &Shape = Held.Order.Shape;
  const std::uint32_t Cores =
      Behaviour.CoresPerTask != 0 ? Behaviour.CoresPerTask : Shape.CoresPerTask;
  const std::uint32_t MemoryMb = Behaviour.MemoryMbPerTask != 0
                                     ? Behaviour.MemoryMbPerTask
                                     : Shape.MemoryMbPerTask;
  Tasks.CoresUsed = Cores * Tasks.Tasks;
  if (Held.CoresAllowed != 0)
    Tasks.CoresUsed = std::min(Tasks.CoresUsed, Held.CoresAllowed);
  Tasks.MemoryMbUsed = MemoryMb * Tasks.Tasks;
  return Tasks;
}

std::vector<OrderEntry> WorkerPark::orders() const {
  const std::lock_guard Guard(this->Lock);
  return this->Orders;
}

std::vector<RunInterval> WorkerPark::runs(Instant Now) {
  const std::lock_guard Guard(this->Lock);
  for (auto &[Name, Target] : this->Workers)
    this->advance(Target, Now);
  return this->Runs;
}

} // namespace pistachioflow::standin
