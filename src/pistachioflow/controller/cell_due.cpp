#include <algorithm>
#include <utility>

#include "pistachioflow/controller/cell_tenure.hpp"

namespace pistachioflow {

namespace {

WorkerOrder makeOrder(const CellTenure &Tenure, const GangProgress &Gang,
                      const GangCall &Call, const TenureSettings &Settings) {
  WorkerOrder Order;
  Order.Kind = Call.Kind;
  Order.Cell = Tenure.Cell;
  Order.Fence = Tenure.At;
  Order.Job = Gang.Job;
  Order.Try = Gang.Try;
  Order.Tasks = Call.Tasks;
  Order.Shape = Gang.Shape;
  Order.Lease = Settings.Gang.TaskLease;
  return Order;
}

void addGangCalls(CellTenure &Tenure, const GangProgress &Gang,
                  std::span<const GangCall> Due, const TenureSettings &Settings,
                  Instant Now, std::vector<TenureCall> &Calls) {
  for (const GangCall &Call : Due) {
    if (Call.Ask) {
      pollSoon(Tenure.Watch, Call.Worker, Now);
      continue;
    }
    Calls.push_back({TenureCall::Kind::Order, Call.Worker,
                     makeOrder(Tenure, Gang, Call, Settings)});
  }
}

/// Tasks on workers that the platform has removed end with their last lease,
/// which nobody renews.
void boundRemoved(CellTenure &Tenure, const TenureSettings &Settings) {
  const Duration Bound = Settings.Gang.TaskLease + Settings.Gang.LeaseMargin;
  for (const auto &[Worker, Health] : Tenure.Watch.Workers) {
    const auto On = Tenure.GangsOn.find(Worker);
    const bool Bounded = On != Tenure.GangsOn.end() &&
                         removed(Tenure.Watch, Health, Settings.Watch);
    if (!Bounded)
      continue;
    for (const JobId &Job : On->second)
      boundLease(Tenure.Gangs.at(Job), Worker, Health.DelistedAt + Bound);
  }
}

void addThrottles(CellTenure &Tenure, std::vector<TenureCall> &Calls) {
  for (WorkerOrderTo &Next : std::exchange(Tenure.Throttles, {})) {
    Next.Order.Cell = Tenure.Cell;
    Next.Order.Fence = Tenure.At;
    Calls.push_back({TenureCall::Kind::Order, Next.Worker, Next.Order});
  }
}

/// Stops what the folded state does not want on a worker that has reported.
void addCleanup(CellTenure &Tenure, const policy::CellState &State,
                std::vector<TenureCall> &Calls) {
  for (const WorkerReport &Report : std::exchange(Tenure.Reports, {})) {
    for (const UnwantedTasks &Found : findUnwanted(State, Report)) {
      WorkerOrder Order;
      Order.Kind = OrderKind::Stop;
      Order.Cell = Tenure.Cell;
      Order.Fence = Tenure.At;
      Order.Job = Found.Tasks.Job;
      Order.Try = Found.Tasks.Try;
      Order.Tasks = Found.Tasks.Tasks;
      Calls.push_back({TenureCall::Kind::Order, Report.Worker, Order});
      if (Found.Orphan)
        Tenure.Orphans.push_back({Report.Worker, Found.Tasks});
    }
  }
}

/// Stops go first, so that they make room for the orders after them.
void sortCalls(std::vector<TenureCall> &Calls) {
  std::stable_partition(Calls.begin(), Calls.end(), [](const TenureCall &Call) {
    return Call.What == TenureCall::Kind::Order &&
           Call.Order.Kind == OrderKind::Stop;
  });
}

/// Returns the newer of both lists; none where the state has them already.
std::optional<Event> listsEvent(const policy::CellState &State,
                                const Lists &Configuration) {
  const Lists &Known = State.Configuration;
  const bool NewPlans = Configuration.Plans.At > Known.Plans.At;
  const bool NewLimits = Configuration.Limits.At > Known.Limits.At;
  if (!NewPlans && !NewLimits)
    return std::nullopt;
  return ListsChanged{{NewPlans ? Configuration.Plans : Known.Plans,
                       NewLimits ? Configuration.Limits : Known.Limits}};
}

/// Tells whether the event was given out a moment ago and may be on its way.
bool isRepeat(CellTenure &Tenure, const GangProgress &Gang, const Event &Fact,
              const TenureSettings &Settings, Instant Now) {
  Announcement &Last = Tenure.Announced[Gang.Job];
  const bool Same = Last.Kind == Fact.index() && Last.Try == Gang.Try;
  if (Same && Now - Last.At < Settings.AnnounceEvery)
    return true;
  Last = {Fact.index(), Gang.Try, Now};
  return false;
}

void addGangEvents(CellTenure &Tenure, const TenureSettings &Settings,
                   Instant Now, std::vector<Event> &Events) {
  for (const auto &[Job, Gang] : Tenure.Gangs) {
    if (Events.size() >= Settings.MaxEvents)
      return;
    std::optional<Event> Fact = gangEvent(Gang);
    if (Fact && !isRepeat(Tenure, Gang, *Fact, Settings, Now))
      Events.push_back(std::move(*Fact));
  }
}

} // namespace

std::vector<TenureCall> dueCalls(CellTenure &Tenure,
                                 const policy::CellState &State,
                                 const TenureSettings &Settings, Instant Now) {
  std::vector<TenureCall> Calls;
  if (!Tenure.ListInFlight && Now >= Tenure.ListAt) {
    Tenure.ListInFlight = true;
    Calls.push_back({TenureCall::Kind::List, {}, {}});
  }
  addCleanup(Tenure, State, Calls);
  boundRemoved(Tenure, Settings);
  for (auto &[Job, Gang] : Tenure.Gangs) {
    expireMembers(Gang, Now);
    addGangCalls(Tenure, Gang, takeDueCalls(Gang, Now), Settings, Now, Calls);
  }
  addThrottles(Tenure, Calls);
  sortCalls(Calls);
  for (const WorkerId &Worker : takeDuePolls(Tenure.Watch, Now))
    Calls.push_back({TenureCall::Kind::Ask, Worker, {}});
  return Calls;
}

std::vector<TenureCall>
dueRenewals(CellTenure &Tenure, const TenureSettings &Settings, Instant Now) {
  std::vector<TenureCall> Calls;
  for (auto &[Job, Gang] : Tenure.Gangs)
    addGangCalls(Tenure, Gang, takeDueRenewals(Gang, Now), Settings, Now,
                 Calls);
  return Calls;
}

bool isPauseOver(const policy::CellState &State, Instant FoldTime) {
  if (State.Index.Built)
    return !State.Index.Delayed.empty() &&
           State.Index.Delayed.begin()->At <= FoldTime;
  // A state from a snapshot has no index before its first fact.
  return std::any_of(
      State.Jobs.begin(), State.Jobs.end(), [&](const auto &Entry) {
        const policy::JobState &Job = Entry.second;
        return Job.Phase == JobPhase::Queued &&
               Job.NotBefore > State.ObservedAt && Job.NotBefore <= FoldTime;
      });
}

std::vector<Event> dueEvents(CellTenure &Tenure, const policy::CellState &State,
                             const Lists &Configuration,
                             const TenureSettings &Settings, Instant Now) {
  std::vector<Event> Events;
  if (std::optional<Event> Changed = listsEvent(State, Configuration))
    Events.push_back(std::move(*Changed));
  for (Event &Fact : workerEvents(Tenure.Watch, State, Settings.Watch, Now))
    Events.push_back(std::move(Fact));
  addGangEvents(Tenure, Settings, Now, Events);
  while (!Tenure.UsageEvents.empty() && Events.size() < Settings.MaxEvents) {
    Events.push_back(std::move(Tenure.UsageEvents.back()));
    Tenure.UsageEvents.pop_back();
  }
  return Events;
}

} // namespace pistachioflow
