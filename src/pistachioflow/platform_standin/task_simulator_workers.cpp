// Crashes and capacities of simulated workers.

#include <algorithm>
#include <utility>

#include "pistachioflow/platform_standin/task_simulator.hpp"
#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

namespace {

/// After this many crashes, the platform counts how often a task is started.
constexpr std::int64_t CrashLimit = 3;
/// This many starts after CrashLimit crashes break the platform's rule.
constexpr std::int64_t LaterStartLimit = 3;

} // namespace

void TaskSimulator::addWorker(const std::string &Id, Resources Capacity) {
  this->Workers[Id].Capacity = Capacity;
}

void TaskSimulator::crash(const std::string &Id, Instant Now) {
  this->noteDisruption(Now);
  SimulatedWorker &Target = this->Workers.at(Id);
  const auto LostRuns = std::exchange(Target.ActiveRuns, {});
  SimulatedWorker Restarted;
  Restarted.Capacity = Target.Capacity;
  Restarted.GuardsCapacity = Target.GuardsCapacity;
  Restarted.EarlierCapacities = Target.EarlierCapacities;
  Restarted.IncarnationStartMs = Target.IncarnationStartMs + 1;
  Restarted.ClockOrigin = Now;
  Target = std::move(Restarted);
  for (const auto &[Task, Entry] : LostRuns)
    ++this->CrashedUnder[Task];
  for (const auto &[Task, Entry] : LostRuns)
    if (Entry.Script.GangSize > 1)
      this->endGangAsBroken(Task, Entry.Run);
}

void TaskSimulator::crashForDelay(const std::string &Id, Instant Now) {
  this->crash(Id, Now);
  this->Workers.at(Id).DownSince = Now;
}

bool TaskSimulator::isUp(const std::string &Id) const {
  return this->Workers.at(Id).DownSince.Ms == 0;
}

Instant TaskSimulator::downSince(const std::string &Id) const {
  return this->Workers.at(Id).DownSince;
}

void TaskSimulator::restartDueWorkers(Instant Now) {
  for (auto &[Id, Target] : this->Workers) {
    const bool Due = Target.DownSince.Ms != 0 &&
                     Now - Target.DownSince >= this->Limits.RestartDelay;
    if (!Due)
      continue;
    Target.DownSince = {};
    Target.ClockOrigin = Now;
  }
}

void TaskSimulator::crashDueWorkers(Instant Now) {
  std::vector<std::string> Crashing;
  for (const auto &[Id, Target] : this->Workers) {
    bool Due = false;
    for (const auto &[Task, Entry] : Target.ActiveRuns) {
      if (Entry.CrashesAt.Ms == 0 || Now < Entry.CrashesAt)
        continue;
      ++this->CrashesByTask[Task].Crashes;
      Due = true;
    }
    if (Due)
      Crashing.push_back(Id);
  }
  for (const std::string &Id : Crashing)
    this->crashForDelay(Id, Now);
}

void TaskSimulator::countStartAfterCrashes(const std::string &Task) {
  const auto Caused = this->CrashesByTask.find(Task);
  if (Caused == this->CrashesByTask.end() ||
      Caused->second.Crashes < CrashLimit)
    return;
  if (++Caused->second.LaterStarts == LaterStartLimit)
    this->recordViolation(
        "started three times more after it crashed three workers: " + Task);
}

std::int64_t TaskSimulator::crashCount(const std::string &Task) const {
  const auto Caused = this->CrashesByTask.find(Task);
  return Caused == this->CrashesByTask.end() ? 0 : Caused->second.Crashes;
}

std::int64_t TaskSimulator::crashesUnder(const std::string &Task) const {
  const auto Crashes = this->CrashedUnder.find(Task);
  return Crashes == this->CrashedUnder.end() ? 0 : Crashes->second;
}

void TaskSimulator::setCapacity(const std::string &Id, Resources Capacity,
                                Instant Now) {
  SimulatedWorker &Target = this->Workers.at(Id);
  std::erase_if(Target.EarlierCapacities, [&](const EarlierCapacity &Entry) {
    return Now - Entry.Until > this->Limits.CapacityNotice;
  });
  Target.EarlierCapacities.push_back({Target.Capacity, Now});
  Target.Capacity = Capacity;
}

Resources TaskSimulator::capacity(const std::string &Id) const {
  return this->Workers.at(Id).Capacity;
}

void TaskSimulator::setGuardsCapacity(const std::string &Id, bool Guards) {
  this->Workers.at(Id).GuardsCapacity = Guards;
}

bool TaskSimulator::fits(const SimulatedWorker &Target,
                         const Resources &Capacity, const Resources &Required) {
  Resources Free = Capacity;
  for (const auto &[Task, Entry] : Target.ActiveRuns)
    Free = Free - Entry.Script.RequiredResources;
  return fittingTasks(Free, Required) > 0;
}

bool TaskSimulator::fitsShown(const SimulatedWorker &Target,
                              const Resources &Required, Instant Now) const {
  if (fits(Target, Target.Capacity, Required))
    return true;
  return std::ranges::any_of(
      Target.EarlierCapacities, [&](const EarlierCapacity &Entry) {
        return Now - Entry.Until <= this->Limits.CapacityNotice &&
               fits(Target, Entry.Shown, Required);
      });
}

} // namespace pistachioflow
