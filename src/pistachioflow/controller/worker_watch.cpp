#include "pistachioflow/controller/worker_watch.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

WorkerHealth newHealth(const WorkerInfo &Info, Instant Now) {
  WorkerHealth Health;
  Health.Info = Info;
  Health.LastHeard = Now;
  Health.PollAt = Now;
  return Health;
}

Duration pauseAfter(std::uint32_t Failures, const WatchSettings &Settings) {
  if (Failures < Settings.LostFailures)
    return Settings.PollEvery;
  return Settings.PollBackoff;
}

bool silent(const WorkerHealth &Health, const WatchSettings &Settings,
            Instant Now) {
  return Health.Failures >= Settings.LostFailures &&
         Now - Health.LastHeard >= Settings.LostAfter;
}

/// Removed workers stay watched while the folded state counts on them.
bool mayForget(const WorkerHealth &Health, const policy::CellState &State) {
  const auto Known = State.Workers.find(Health.Info.Worker);
  return Known == State.Workers.end() || Known->second.Lost;
}

void checkWorker(std::vector<Event> &Found, const WorkerHealth &Health,
                 const policy::CellState &State, const WatchSettings &Settings,
                 Instant Now) {
  const auto Known = State.Workers.find(Health.Info.Worker);
  const bool Usable = Known != State.Workers.end() && !Known->second.Lost;
  if (Usable && silent(Health, Settings, Now)) {
    Found.emplace_back(WorkerLost{Health.Info.Worker});
    return;
  }
  if (!Health.Heard || !Health.Listed)
    return;
  if (!Usable || Known->second.Info != Health.Info)
    Found.emplace_back(WorkerJoined{Health.Info});
}

} // namespace

WorkerWatch beginWatch(const policy::CellState &State, Instant Now) {
  WorkerWatch Watch;
  for (const auto &[Worker, Known] : State.Workers)
    Watch.Workers.emplace(Worker, newHealth(Known.Info, Now));
  return Watch;
}

void takeListed(WorkerWatch &Watch, std::span<const WorkerInfo> Listed,
                Instant Now) {
  for (auto &[Worker, Health] : Watch.Workers) {
    if (Health.Listed || !Watch.ListRead)
      Health.DelistedAt = Now;
    Health.Listed = false;
  }
  Watch.ListRead = true;
  for (const WorkerInfo &Info : Listed) {
    const auto [At, Added] =
        Watch.Workers.try_emplace(Info.Worker, newHealth(Info, Now));
    At->second.Info = Info;
    At->second.Listed = true;
  }
}

std::vector<WorkerId> takeDuePolls(WorkerWatch &Watch, Instant Now) {
  std::vector<WorkerId> Due;
  for (auto &[Worker, Health] : Watch.Workers) {
    if (Health.InFlight || Now < Health.PollAt)
      continue;
    Health.InFlight = true;
    Due.push_back(Worker);
  }
  return Due;
}

void takePollOutcome(WorkerWatch &Watch, const WorkerId &Worker, bool Answered,
                     const WatchSettings &Settings, Instant Now) {
  const auto At = Watch.Workers.find(Worker);
  if (At == Watch.Workers.end())
    return;
  WorkerHealth &Health = At->second;
  Health.InFlight = false;
  Health.Heard = Answered;
  Health.Failures = Answered ? 0 : Health.Failures + 1;
  if (Answered)
    Health.LastHeard = Now;
  Health.PollAt = Now + pauseAfter(Health.Failures, Settings);
}

void pollSoon(WorkerWatch &Watch, const WorkerId &Worker, Instant Now) {
  WorkerInfo Unlisted;
  Unlisted.Worker = Worker;
  const auto [At, Added] =
      Watch.Workers.try_emplace(Worker, newHealth(Unlisted, Now));
  At->second.PollAt = std::min(At->second.PollAt, Now);
}

bool removed(const WorkerWatch &Watch, const WorkerHealth &Health,
             const WatchSettings &Settings) {
  return Watch.ListRead && !Health.Listed &&
         Health.Failures >= Settings.LostFailures;
}

void forgetDelisted(WorkerWatch &Watch, const policy::CellState &State) {
  std::erase_if(Watch.Workers, [&](const auto &Entry) {
    const WorkerHealth &Health = Entry.second;
    return Watch.ListRead && !Health.Listed && !Health.InFlight &&
           !Health.Heard && mayForget(Health, State);
  });
}

std::vector<Event> workerEvents(const WorkerWatch &Watch,
                                const policy::CellState &State,
                                const WatchSettings &Settings, Instant Now) {
  std::vector<Event> Found;
  for (const auto &[Worker, Health] : Watch.Workers)
    checkWorker(Found, Health, State, Settings, Now);
  return Found;
}

} // namespace pistachioflow
