#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow::testing {

/// What happens to one call of a worker.
enum class WorkerFault {
  None,
  Unreachable, ///< Nothing happens; the caller gets Unavailable.
  LostAnswer,  ///< The order takes effect; the caller gets UnknownOutcome.
  LateOrder,   ///< The same, but it takes effect only some time later.
  Refusal,
};

struct TaskKey {
  JobId Job;
  Attempt Try = 0;

  auto operator<=>(const TaskKey &) const = default;
};

struct FakeTasks {
  TaskPhase Phase = TaskPhase::Held;
  std::uint32_t Tasks = 0;
  std::uint32_t Accelerators = 0;
  Instant LeaseEnds;
  Instant StartedAt;
  std::uint32_t Checkpoints = 0;
};

/// An order as it took effect on a worker.
struct EffectiveOrder {
  Instant At;
  WorkerId Worker;
  int Incarnation = 0;
  InstanceId Sender;
  WorkerOrder Order;
};

/// Workers in memory: leases, fences, and a history. Not thread safe.
class FakeWorkers {
public:
  explicit FakeWorkers(const Clock &Time) : Time(Time) {}

  struct Machine {
    WorkerInfo Info;
    bool Alive = true;
    bool Listed = true;
    Epoch HighestFence = 0;
    int Incarnation = 0; ///< A revived machine remembers no fence.
    std::map<TaskKey, FakeTasks> Tasks;
  };

  std::map<WorkerId, Machine> Machines;
  std::function<WorkerFault(const WorkerId &, const InstanceId &)> Faults;
  std::function<Duration(const JobId &)> Runtime;
  std::vector<EffectiveOrder> History;
  std::vector<std::string> Violations;

  void add(const std::string &Name, const std::string &Rack,
           std::uint32_t Accelerators) {
    Machine Added;
    Added.Info = {{Name}, {Rack}, 0, {"domain-1"}, 64, 128'000, Accelerators};
    this->Machines.emplace(Added.Info.Worker, Added);
  }

  /// Loses the machine with everything on it.
  void kill(const WorkerId &Worker) {
    Machine &Dead = this->Machines.at(Worker);
    Dead.Alive = false;
    Dead.Tasks.clear();
  }

  void revive(const WorkerId &Worker) {
    Machine &Back = this->Machines.at(Worker);
    Back.Alive = true;
    Back.HighestFence = 0;
    ++Back.Incarnation;
  }

  /// Ends leases and run times that are over, and delivers late orders.
  void tick() {
    for (const Late &Next : std::exchange(this->LateOrders, {})) {
      if (this->Time.monotonic() < Next.At)
        this->LateOrders.push_back(Next);
      else
        static_cast<void>(
            this->take(Next.Order.Worker, Next.Order.Sender, Next.Order.Order));
    }
    for (auto &[Worker, Held] : this->Machines)
      this->tickMachine(Held);
  }

  Result<void> send(const WorkerId &Worker, const InstanceId &Sender,
                    const WorkerOrder &Order) {
    switch (this->fault(Worker, Sender)) {
    case WorkerFault::None:
      return this->take(Worker, Sender, Order);
    case WorkerFault::Unreachable:
      return Error{ErrorCode::Unavailable, "unreachable", {}};
    case WorkerFault::Refusal:
      return Error{ErrorCode::Refused, "refused", {}};
    case WorkerFault::LostAnswer:
      static_cast<void>(this->take(Worker, Sender, Order));
      return Error{ErrorCode::UnknownOutcome, "answer lost", {}};
    case WorkerFault::LateOrder:
      this->LateOrders.push_back(
          {this->Time.monotonic() + LateBy, {{}, Worker, 0, Sender, Order}});
      return Error{ErrorCode::UnknownOutcome, "answer lost", {}};
    }
    return Error{ErrorCode::Unavailable, "unreachable", {}};
  }

  Result<WorkerReport> report(const WorkerId &Worker,
                              const InstanceId &Sender) {
    const WorkerFault Fault = this->fault(Worker, Sender);
    if (Fault != WorkerFault::None && Fault != WorkerFault::Refusal)
      return Error{ErrorCode::Unavailable, "unreachable", {}};
    const Machine &Asked = this->Machines.at(Worker);
    WorkerReport Report{Worker, Asked.HighestFence, {}};
    for (const auto &[Key, Held] : Asked.Tasks)
      Report.Tasks.push_back(
          {Key.Job, Key.Try, Held.Phase, Held.Tasks, 0, 0, Held.Checkpoints});
    return Report;
  }

  /// Returns the workers that run tasks of \p Job, with their attempts.
  std::set<std::pair<WorkerId, Attempt>> running(const JobId &Job) const {
    std::set<std::pair<WorkerId, Attempt>> Found;
    for (const auto &[Worker, Held] : this->Machines) {
      for (const auto &[Key, Tasks] : Held.Tasks) {
        if (Key.Job == Job && Tasks.Phase == TaskPhase::Running)
          Found.insert({Worker, Key.Try});
      }
    }
    return Found;
  }

private:
  static constexpr Duration LateBy{900};

  struct Late {
    Instant At;
    EffectiveOrder Order;
  };

  WorkerFault fault(const WorkerId &Worker, const InstanceId &Sender) {
    const auto Known = this->Machines.find(Worker);
    if (Known == this->Machines.end() || !Known->second.Alive)
      return WorkerFault::Unreachable;
    return this->Faults ? this->Faults(Worker, Sender) : WorkerFault::None;
  }

  void tickMachine(Machine &Held) {
    const Instant Now = this->Time.monotonic();
    std::erase_if(Held.Tasks, [&](const auto &Entry) {
      const FakeTasks &Tasks = Entry.second;
      const bool Leased =
          Tasks.Phase == TaskPhase::Held || Tasks.Phase == TaskPhase::Running;
      return Leased && Now >= Tasks.LeaseEnds;
    });
    for (auto &[Key, Tasks] : Held.Tasks) {
      const bool Over = Tasks.Phase == TaskPhase::Running &&
                        Now - Tasks.StartedAt >= this->Runtime(Key.Job);
      if (Over)
        Tasks.Phase = TaskPhase::Finished;
    }
  }

  Result<void> take(const WorkerId &Worker, const InstanceId &Sender,
                    const WorkerOrder &Order) {
    Machine &Asked = this->Machines.at(Worker);
    if (!Asked.Alive)
      return Error{ErrorCode::Unavailable, "unreachable", {}};
    if (Order.Fence < Asked.HighestFence)
      return Error{ErrorCode::Fenced, "a newer owner exists", {}};
    Asked.HighestFence = Order.Fence;
    const Result<void> Done = this->perform(Asked, Order);
    if (Done.has_value())
      this->History.push_back(
          {this->Time.monotonic(), Worker, Asked.Incarnation, Sender, Order});
    return Done;
  }

  Result<void> perform(Machine &Asked, const WorkerOrder &Order) {
    const Error NoLease{ErrorCode::Refused, "no such lease", {}};
    const TaskKey Key{Order.Job, Order.Try};
    const auto Known = Asked.Tasks.find(Key);
    if (Order.Kind == OrderKind::Hold)
      return this->hold(Asked, Order);
    if (Known == Asked.Tasks.end())
      return Order.Kind == OrderKind::Stop ? Result<void>(outcome::success())
                                           : Result<void>(NoLease);
    if (Order.Kind == OrderKind::Stop)
      Asked.Tasks.erase(Known);
    else
      this->performOnLease(Asked, Known->second, Order);
    return outcome::success();
  }

  Result<void> hold(Machine &Asked, const WorkerOrder &Order) {
    const std::uint32_t Needed = Order.Tasks * Order.Shape.AcceleratorsPerTask;
    const auto [At, Added] =
        Asked.Tasks.try_emplace({Order.Job, Order.Try}, FakeTasks{});
    if (!Added)
      return outcome::success();
    if (used(Asked) + Needed > Asked.Info.Accelerators) {
      Asked.Tasks.erase(At);
      return Error{ErrorCode::Refused, "no room", {}};
    }
    At->second.Tasks = Order.Tasks;
    At->second.Accelerators = Needed;
    At->second.LeaseEnds = this->Time.monotonic() + Order.Lease;
    return outcome::success();
  }

  void performOnLease(const Machine &Asked, FakeTasks &Held,
                      const WorkerOrder &Order) {
    if (Order.Kind == OrderKind::Start && Held.Phase == TaskPhase::Held)
      this->start(Asked, Held, Order);
    if (Order.Kind == OrderKind::Start || Order.Kind == OrderKind::Renew)
      Held.LeaseEnds = this->Time.monotonic() + Order.Lease;
    if (Order.Kind == OrderKind::Checkpoint)
      ++Held.Checkpoints;
  }

  void start(const Machine &Asked, FakeTasks &Held, const WorkerOrder &Order) {
    for (const auto &[Worker, Try] : this->running(Order.Job)) {
      if (Try != Order.Try)
        this->Violations.push_back(Order.Job.Value + " runs twice: attempt " +
                                   std::to_string(Try) + " on " + Worker.Value +
                                   " and attempt " + std::to_string(Order.Try));
    }
    const bool First =
        this->Started.insert({Asked.Info.Worker, {Order.Job, Order.Try}})
            .second;
    if (!First)
      this->Violations.push_back(
          Order.Job.Value + " attempt " + std::to_string(Order.Try) +
          " was started twice on " + Asked.Info.Worker.Value);
    Held.Phase = TaskPhase::Running;
    Held.StartedAt = this->Time.monotonic();
  }

  static std::uint32_t used(const Machine &Asked) {
    std::uint32_t Sum = 0;
    for (const auto &[Key, Tasks] : Asked.Tasks) {
      const bool Holds =
          Tasks.Phase == TaskPhase::Held || Tasks.Phase == TaskPhase::Running;
      Sum += Holds ? Tasks.Accelerators : 0;
    }
    return Sum;
  }

  const Clock &Time;
  std::vector<Late> LateOrders;
  std::set<std::pair<WorkerId, TaskKey>> Started;
};

/// The workers as one instance reaches them.
class FakeGateway final : public WorkerGateway {
public:
  FakeGateway(FakeWorkers &Workers, InstanceId Self)
      : Workers(Workers), Self(std::move(Self)) {}

  Result<std::vector<WorkerInfo>> workers() override {
    std::vector<WorkerInfo> Listed;
    for (const auto &[Worker, Held] : this->Workers.Machines) {
      if (Held.Listed)
        Listed.push_back(Held.Info);
    }
    return Listed;
  }

  Result<void> send(const WorkerId &Worker, const WorkerOrder &Order) override {
    return this->Workers.send(Worker, this->Self, Order);
  }

  Result<WorkerReport> report(const WorkerId &Worker) override {
    return this->Workers.report(Worker, this->Self);
  }

private:
  FakeWorkers &Workers;
  const InstanceId Self;
};

} // namespace pistachioflow::testing
