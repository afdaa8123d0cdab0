#include "pistachioflow/filter/dispatcher.hpp"

#include <chrono>
#include <utility>

namespace pistachioflow {

namespace {

constexpr Duration PeerLoadsEvery{20};
constexpr Duration LookAgainEvery{50};
constexpr Duration SleepStep{1};

} // namespace

Dispatcher::Dispatcher(const DispatchSettings &Settings, std::uint64_t Seed,
                       const Clock &Time, LoadsProvider PeerLoads,
                       HealthListener OnHealth, SleepFunction Sleep)
    : Time(Time), PeerLoads(std::move(PeerLoads)),
      OnHealth(std::move(OnHealth)), Sleep(std::move(Sleep)),
      Core(Settings, Seed) {}

DispatchTurn Dispatcher::wait(WaitingRequest Request, bool Again,
                              const std::atomic<bool> &Cancelled) {
  Waiter Own;
  std::unique_lock Guard(this->Lock);
  Request.Ticket = ++this->LastTicket;
  this->Waiters[Request.Ticket] = &Own;
  Instant Now = this->Time.monotonic();
  this->takePeerLoads(Now);
  this->apply(Again ? this->Core.requeue(Request, Now)
                    : this->Core.enqueue(Request, Now));
  while (!Own.Turn) {
    if (Cancelled || this->Time.monotonic() >= Request.Deadline) {
      this->Core.remove(Request.Ticket);
      Own.Turn = {{},
                  Cancelled ? ReasonCode::RequestCancelled
                            : ReasonCode::RequestRefusedDeadline};
      break;
    }
    this->pause(Guard, Own);
    if (Own.Turn)
      break;
    Now = this->Time.monotonic();
    this->takePeerLoads(Now);
    this->apply(this->Core.pump(Now));
  }
  this->Waiters.erase(Request.Ticket);
  return *Own.Turn;
}

void Dispatcher::finished(const FinishedExchange &End) {
  DispatchResult Result;
  {
    const std::lock_guard Guard(this->Lock);
    Result = this->Core.finished(End, this->Time.monotonic());
    this->apply(Result);
  }
  this->report(Result);
}

void Dispatcher::refresh(std::span<const RunnerInfo> Listed,
                         std::uint32_t Instances) {
  const std::lock_guard Guard(this->Lock);
  this->Core.setRunners(Listed);
  this->Core.setInstances(Instances);
  this->PeersTakenAt = {};
  const Instant Now = this->Time.monotonic();
  this->takePeerLoads(Now);
  this->apply(this->Core.pump(Now));
}

void Dispatcher::wakeAll() {
  const std::lock_guard Guard(this->Lock);
  for (const auto &[Ticket, Each] : this->Waiters)
    Each->Signal.notify_one();
}

std::optional<ReasonCode> Dispatcher::refuseEarly(RequestClass Class,
                                                  Instant Deadline) {
  const std::lock_guard Guard(this->Lock);
  return this->Core.refuseEarly(Class, Deadline, this->Time.monotonic());
}

Duration Dispatcher::shortest(RequestClass Class) {
  const std::lock_guard Guard(this->Lock);
  return this->Core.shortest(Class);
}

std::vector<RunnerInFlight> Dispatcher::ownLoads() {
  const std::lock_guard Guard(this->Lock);
  return this->Core.ownLoads();
}

std::size_t Dispatcher::waiting() {
  const std::lock_guard Guard(this->Lock);
  return this->Core.waiting();
}

void Dispatcher::apply(const DispatchResult &Result) {
  const auto Decide = [this](std::uint64_t Ticket, DispatchTurn Turn) {
    const auto Found = this->Waiters.find(Ticket);
    if (Found == this->Waiters.end())
      return;
    Found->second->Turn = std::move(Turn);
    Found->second->Signal.notify_one();
  };
  for (const DispatchGrant &Grant : Result.Grants)
    Decide(Grant.Ticket, {Grant.Runner, ReasonCode::None});
  for (const DispatchRefusal &Refusal : Result.Refusals)
    Decide(Refusal.Ticket, {{}, Refusal.Why});
}

void Dispatcher::takePeerLoads(Instant Now) {
  if (!this->PeerLoads || Now - this->PeersTakenAt < PeerLoadsEvery)
    return;
  this->PeersTakenAt = Now;
  this->Core.setPeerLoads(this->PeerLoads(), Now);
}

void Dispatcher::report(const DispatchResult &Result) {
  if (!this->OnHealth)
    return;
  for (const RunnerHealthChange &Change : Result.Changes)
    this->OnHealth(Change);
}

void Dispatcher::pause(std::unique_lock<std::mutex> &Guard, Waiter &Own) {
  if (!this->Sleep) {
    Own.Signal.wait_for(Guard, std::chrono::milliseconds(LookAgainEvery.Ms));
    return;
  }
  Guard.unlock();
  this->Sleep(SleepStep);
  Guard.lock();
}

} // namespace pistachioflow
