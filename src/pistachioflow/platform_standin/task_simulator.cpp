#include "pistachioflow/platform_standin/task_simulator.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

namespace {

/// How many ends a worker reports at a time.
constexpr std::size_t MaxReportedEnds = 500;

/// Returns the gang of a member: the task name without the member's index.
std::string gangOf(std::string_view Task) {
  return std::string(Task.substr(0, Task.rfind('.')));
}

} // namespace

TaskScript parseScript(std::string_view Payload) {
  TaskScript Script;
  std::istringstream Words{std::string(Payload)};
  std::string Word;
  while (Words >> Word) {
    const auto Equals = Word.find('=');
    if (Equals == std::string::npos)
      continue;
    const std::string Name = Word.substr(0, Equals);
    const std::int64_t Value = std::atoll(Word.c_str() + Equals + 1);
    if (Name == "ms")
      Script.WorkMs = Value;
    else if (Name == "gang")
      Script.GangSize = Value;
    else if (Name == "fail")
      Script.FailingRuns = Value;
    else if (Name == "crash")
      Script.CrashingRuns = Value;
    else if (Name == "crash_after_ms")
      Script.CrashAfterMs = Value;
    else if (Name == "cpu")
      Script.RequiredResources.MilliCores = Value;
    else if (Name == "mb")
      Script.RequiredResources.MemoryMb = Value;
    else if (Name == "acc")
      Script.RequiredResources.Accelerators = Value;
  }
  return Script;
}

std::string formatScript(const TaskScript &Script) {
  return "ms=" + std::to_string(Script.WorkMs) +
         " gang=" + std::to_string(Script.GangSize) +
         " fail=" + std::to_string(Script.FailingRuns) +
         " crash=" + std::to_string(Script.CrashingRuns) +
         " crash_after_ms=" + std::to_string(Script.CrashAfterMs) +
         " cpu=" + std::to_string(Script.RequiredResources.MilliCores) +
         " mb=" + std::to_string(Script.RequiredResources.MemoryMb) +
         " acc=" + std::to_string(Script.RequiredResources.Accelerators);
}

void TaskSimulator::recordViolation(std::string Text) {
  this->Violations.push_back(std::move(Text));
}

bool TaskSimulator::isRunning(const std::string &Task) const {
  return std::ranges::any_of(this->Workers, [&Task](const auto &Entry) {
    return Entry.second.ActiveRuns.contains(Task);
  });
}

OrderAnswer TaskSimulator::start(const std::string &Id, const StartOrder &Order,
                                 Instant Now) {
  SimulatedWorker &Target = this->Workers.at(Id);
  if (Order.Epoch < Target.Epoch)
    return {OrderOutcome::StaleEpoch, Target.clockMs(Now)};
  Target.Epoch = Order.Epoch;
  const auto Existing = Target.ActiveRuns.find(Order.Task);
  if (Existing != Target.ActiveRuns.end() && Existing->second.Run == Order.Run)
    return {OrderOutcome::Accepted, Target.clockMs(Now)};
  if (Order.LeaseUntilMs <= Target.clockMs(Now))
    return {OrderOutcome::LeaseExpired, Target.clockMs(Now)};
  Target.LeaseEnds =
      std::max(Target.LeaseEnds,
               Target.grant(Order.LeaseUntilMs, this->Limits.MaxLease, Now));
  const auto LastEnded = Target.LastEndedRuns.find(Order.Task);
  if (LastEnded != Target.LastEndedRuns.end() && Order.Run <= LastEnded->second)
    return {OrderOutcome::StaleRun, Target.clockMs(Now)};
  const TaskScript Script = parseScript(Order.Payload);
  if (Target.GuardsCapacity &&
      !fits(Target, Target.Capacity, Script.RequiredResources))
    return {OrderOutcome::InsufficientCapacity, Target.clockMs(Now)};
  this->checkStart(Id, Order, Script, Now);
  ++this->StartedRuns;
  ActiveRun &Started = Target.ActiveRuns[Order.Task];
  Started = {Order.Run, Script, Now, Instant{}, Instant{}, Instant{}};
  if (Order.Run <= Script.CrashingRuns)
    Started.CrashesAt = Now + Duration{Script.CrashAfterMs};
  this->startWorkIfGangComplete(Order.Task, Order.Run, Now);
  this->crashDueWorkers(Now);
  return {OrderOutcome::Accepted, Target.clockMs(Now)};
}

void TaskSimulator::checkStart(const std::string &Id, const StartOrder &Order,
                               const TaskScript &Script, Instant Now) {
  if (!this->ExpectedJobs.contains(Order.Task.substr(0, Order.Task.find('.'))))
    this->recordViolation("start of a job that was never submitted: " +
                          Order.Task);
  if (this->isRunning(Order.Task))
    this->recordViolation("two simultaneous runs of " + Order.Task);
  if (this->doneCount(Order.Task) > 0)
    this->recordViolation("start after the acknowledged end of " + Order.Task +
                          ", run " + std::to_string(Order.Run) + " at " + Id +
                          ", epoch " + std::to_string(Order.Epoch));
  if (!this->fitsShown(this->Workers.at(Id), Script.RequiredResources, Now))
    this->recordViolation("start beyond the capacity of " + Id + ": " +
                          Order.Task + ", run " + std::to_string(Order.Run));
  this->countStartAfterCrashes(Order.Task);
}

void TaskSimulator::startWorkIfGangComplete(const std::string &Task,
                                            std::int64_t Run, Instant Now) {
  std::vector<ActiveRun *> Members;
  const bool Gang = [&] {
    for (auto &[Id, Target] : this->Workers)
      for (auto &[Name, Entry] : Target.ActiveRuns)
        if (Name == Task)
          return Entry.Script.GangSize > 1;
    return false;
  }();
  for (auto &[Id, Target] : this->Workers)
    for (auto &[Name, Entry] : Target.ActiveRuns) {
      const bool Same = Gang ? gangOf(Name) == gangOf(Task) : Name == Task;
      if (Same && Entry.Run == Run)
        Members.push_back(&Entry);
    }
  if (Members.empty() || static_cast<std::int64_t>(Members.size()) <
                             Members.front()->Script.GangSize)
    return;
  for (ActiveRun *Entry : Members)
    Entry->EndsAt = Now + Duration{Entry->Script.WorkMs};
}

OrderAnswer TaskSimulator::stop(const std::string &Id, std::string_view Task,
                                std::int64_t Run, std::int64_t Epoch,
                                Instant Now) {
  SimulatedWorker &Target = this->Workers.at(Id);
  ++this->StopOrders;
  if (Epoch < Target.Epoch)
    return {OrderOutcome::StaleEpoch, Target.clockMs(Now)};
  Target.Epoch = Epoch;
  const std::string Name(Task);
  const auto Existing = Target.ActiveRuns.find(Name);
  if (Existing == Target.ActiveRuns.end() || Existing->second.Run != Run) {
    auto &LastEnded = Target.LastEndedRuns[Name];
    LastEnded = std::max(LastEnded, Run);
    return {OrderOutcome::Accepted, Target.clockMs(Now)};
  }
  if (Existing->second.StopsAt.Ms == 0)
    Existing->second.StopsAt = Now + this->Limits.StopTime;
  return {OrderOutcome::Accepted, Target.clockMs(Now)};
}

std::int64_t TaskSimulator::progressOf(const ActiveRun &Run, Instant Now) {
  constexpr std::int64_t CompletePercent = 100;
  if (Run.EndsAt.Ms == 0 || Run.Script.WorkMs <= 0)
    return 0; // Work starts once the gang is complete.
  const std::int64_t RemainingMs =
      std::max<std::int64_t>((Run.EndsAt - Now).Ms, 0);
  return CompletePercent - RemainingMs * CompletePercent / Run.Script.WorkMs;
}

PollAnswer TaskSimulator::poll(const std::string &Id, const PollRequest &Order,
                               Instant Now) {
  SimulatedWorker &Target = this->Workers.at(Id);
  PollAnswer Answer{OrderOutcome::StaleEpoch, {}};
  if (Order.Epoch < Target.Epoch)
    return Answer;
  Target.Epoch = Order.Epoch;
  for (const EndedRun &End : Target.UnacknowledgedEnds)
    if (End.Number <= Order.AcknowledgedEnd && End.Outcome == RunOutcome::Done)
      ++this->DoneCounts[End.Task];
  std::erase_if(Target.UnacknowledgedEnds, [&Order](const EndedRun &End) {
    return End.Number <= Order.AcknowledgedEnd;
  });
  if (Order.LeaseUntilMs)
    Target.LeaseEnds =
        std::max(Target.LeaseEnds,
                 Target.grant(*Order.LeaseUntilMs, this->Limits.MaxLease, Now));
  Answer.Outcome = OrderOutcome::Accepted;
  Answer.Report.ClockMs = Target.clockMs(Now);
  Answer.Report.IncarnationStartMs = Target.IncarnationStartMs;
  for (const auto &[Task, Entry] : Target.ActiveRuns)
    Answer.Report.Running.push_back(
        {Task, Entry.Run, {}, progressOf(Entry, Now), 1'000});
  const std::vector<EndedRun> &Ends = Target.UnacknowledgedEnds;
  const auto Page =
      static_cast<std::ptrdiff_t>(std::min(Ends.size(), MaxReportedEnds));
  Answer.Report.Ended.assign(Ends.begin(), Ends.begin() + Page);
  return Answer;
}

void TaskSimulator::endRun(SimulatedWorker &Target, const std::string &Task,
                           RunOutcome How) {
  const ActiveRun Entry = Target.ActiveRuns.at(Task);
  Target.ActiveRuns.erase(Task);
  Target.LastEndedRuns[Task] = std::max(Target.LastEndedRuns[Task], Entry.Run);
  Target.UnacknowledgedEnds.push_back(
      {++Target.LastEndNumber, Task, Entry.Run, How, {}});
}

void TaskSimulator::endGangAsBroken(const std::string &Task, std::int64_t Run) {
  for (auto &[Id, Target] : this->Workers) {
    std::vector<std::string> Broken;
    for (const auto &[Name, Entry] : Target.ActiveRuns)
      if (gangOf(Name) == gangOf(Task) && Entry.Run == Run)
        Broken.push_back(Name);
    for (const std::string &Name : Broken)
      this->endRun(Target, Name, RunOutcome::GangBroken);
  }
}

void TaskSimulator::advance(Instant Now) {
  this->restartDueWorkers(Now);
  this->crashDueWorkers(Now);
  for (auto &[Id, Target] : this->Workers) {
    const std::map<std::string, ActiveRun> RunsBefore = Target.ActiveRuns;
    for (const auto &[Task, Entry] : RunsBefore) {
      if (!Target.ActiveRuns.contains(Task))
        continue; // Ended as a member of a broken gang.
      const bool Gang = Entry.Script.GangSize > 1;
      RunOutcome How = RunOutcome::Unknown;
      if (Now >= Target.LeaseEnds)
        How = RunOutcome::LeaseExpired;
      else if (Entry.StopsAt.Ms != 0 && Now >= Entry.StopsAt)
        How = RunOutcome::Stopped;
      else if (Entry.EndsAt.Ms != 0 && Now >= Entry.EndsAt)
        How = Entry.Run <= Entry.Script.FailingRuns ? RunOutcome::Failed
                                                    : RunOutcome::Done;
      else if (Entry.EndsAt.Ms == 0 &&
               Now - Entry.ArrivedAt >= this->Limits.GangTimeout)
        How = RunOutcome::GangIncomplete;
      if (How == RunOutcome::Unknown)
        continue;
      // A worker that crashed has taken a member of the gang, or kept one from
      // starting; an owner that can't record where a refused member moves to
      // can't start it there.
      const bool Excused =
          this->LastDisruptionAt.Ms != 0 &&
          this->LastDisruptionAt + this->Limits.RestartDelay >= Entry.ArrivedAt;
      if (How == RunOutcome::GangIncomplete && !Excused)
        this->recordViolation("gang member timed out waiting for its gang: " +
                              Task);
      this->endRun(Target, Task, How);
      if (Gang && How != RunOutcome::Done)
        this->endGangAsBroken(Task, Entry.Run);
    }
  }
}

std::int64_t TaskSimulator::clockMs(const std::string &Id, Instant Now) const {
  return this->Workers.at(Id).clockMs(Now);
}

bool TaskSimulator::hasUnacknowledgedEnds(const std::string &Id) const {
  return !this->Workers.at(Id).UnacknowledgedEnds.empty();
}

std::int64_t TaskSimulator::doneCount(const std::string &Task) const {
  const auto Entry = this->DoneCounts.find(Task);
  return Entry == this->DoneCounts.end() ? 0 : Entry->second;
}

std::string TaskSimulator::workerOf(const std::string &Task) const {
  for (const auto &[Id, Worker] : this->Workers)
    if (Worker.ActiveRuns.contains(Task))
      return Id;
  return {};
}

std::int64_t TaskSimulator::runningCount() const {
  std::int64_t Count = 0;
  for (const auto &[Id, Target] : this->Workers)
    Count += static_cast<std::int64_t>(Target.ActiveRuns.size());
  return Count;
}

} // namespace pistachioflow
