#include "pistachioflow/platform_standin/task_park.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "pistachioflow/sched/placement.hpp"

namespace pistachioflow {

namespace {

/// The unit of a gang member: its name without the member's index.
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
      Script.FailRuns = Value;
    else if (Name == "cpu")
      Script.Room.MilliCores = Value;
    else if (Name == "mb")
      Script.Room.MemoryMb = Value;
    else if (Name == "acc")
      Script.Room.Accelerators = Value;
  }
  return Script;
}

std::string formatScript(const TaskScript &Script) {
  return "ms=" + std::to_string(Script.WorkMs) +
         " gang=" + std::to_string(Script.GangSize) +
         " fail=" + std::to_string(Script.FailRuns) +
         " cpu=" + std::to_string(Script.Room.MilliCores) +
         " mb=" + std::to_string(Script.Room.MemoryMb) +
         " acc=" + std::to_string(Script.Room.Accelerators);
}

void TaskPark::violate(std::string Text) {
  this->Violations.push_back(std::move(Text));
}

void TaskPark::addWorker(const std::string &Id, Resources Capacity) {
  this->Workers[Id].Capacity = Capacity;
}

void TaskPark::crash(const std::string &Id, std::int64_t BornWallMs) {
  const Resources Capacity = this->Workers.at(Id).Capacity;
  const auto Lost = this->Workers.at(Id).Tasks;
  this->Workers[Id] = Worker{};
  this->Workers[Id].Capacity = Capacity;
  this->Workers[Id].BornWallMs = BornWallMs;
  for (const auto &[Task, Entry] : Lost)
    if (Entry.Script.GangSize > 1)
      this->breakGang(Task, Entry.Run);
}

bool TaskPark::hasRoom(const Worker &At, const Resources &Each) const {
  Resources Free = At.Capacity;
  for (const auto &[Task, Entry] : At.Tasks)
    Free = Free - Entry.Script.Room;
  return fittingTasks(Free, Each) > 0;
}

bool TaskPark::runsElsewhere(const std::string &Task) const {
  return std::ranges::any_of(this->Workers, [&Task](const auto &Entry) {
    return Entry.second.Tasks.contains(Task);
  });
}

OrderAnswer TaskPark::start(const std::string &Id, const StartOrder &Order,
                            Instant Now) {
  Worker &At = this->Workers.at(Id);
  if (Order.Epoch < At.Epoch)
    return {OrderOutcome::StaleEpoch, Now.Ms};
  At.Epoch = Order.Epoch;
  const auto Present = At.Tasks.find(Order.Task);
  if (Present != At.Tasks.end() && Present->second.Run == Order.Run)
    return {OrderOutcome::Accepted, Now.Ms};
  if (Order.LeaseUntilMs <= Now.Ms)
    return {OrderOutcome::Late, Now.Ms};
  const Instant Lease{
      std::min(Order.LeaseUntilMs, (Now + this->Limits.MaxLease).Ms)};
  At.LeaseEnds = std::max(At.LeaseEnds, Lease);
  const auto Closed = At.ClosedRuns.find(Order.Task);
  if (Closed != At.ClosedRuns.end() && Order.Run <= Closed->second)
    return {OrderOutcome::StaleRun, Now.Ms};
  const TaskScript Script = parseScript(Order.Payload);
  if (!this->hasRoom(At, Script.Room))
    return {OrderOutcome::NoRoom, Now.Ms};
  if (!this->Expected.contains(Order.Task.substr(0, Order.Task.find('.'))))
    this->violate("unasked start of " + Order.Task);
  if (this->runsElsewhere(Order.Task))
    this->violate("two runs at once of " + Order.Task);
  if (this->doneCount(Order.Task) > 0)
    this->violate("start after the end of " + Order.Task + ", run " +
                  std::to_string(Order.Run) + " at " + Id + ", epoch " +
                  std::to_string(Order.Epoch));
  ++this->Starts;
  At.Tasks[Order.Task] = {Order.Run, Script, Now, Instant{}, Instant{}};
  this->beginGang(Order.Task, Order.Run, Now);
  return {OrderOutcome::Accepted, Now.Ms};
}

void TaskPark::beginGang(const std::string &Task, std::int64_t Run,
                         Instant Now) {
  std::vector<Running *> Members;
  const bool Gang = [&] {
    for (auto &[Id, At] : this->Workers)
      for (auto &[Name, Entry] : At.Tasks)
        if (Name == Task)
          return Entry.Script.GangSize > 1;
    return false;
  }();
  for (auto &[Id, At] : this->Workers)
    for (auto &[Name, Entry] : At.Tasks) {
      const bool Same = Gang ? gangOf(Name) == gangOf(Task) : Name == Task;
      if (Same && Entry.Run == Run)
        Members.push_back(&Entry);
    }
  if (Members.empty() || static_cast<std::int64_t>(Members.size()) <
                             Members.front()->Script.GangSize)
    return;
  for (Running *Entry : Members)
    Entry->EndsAt = Now + Duration{Entry->Script.WorkMs};
}

OrderAnswer TaskPark::stop(const std::string &Id, std::string_view Task,
                           std::int64_t Run, std::int64_t Epoch, Instant Now) {
  Worker &At = this->Workers.at(Id);
  if (Epoch < At.Epoch)
    return {OrderOutcome::StaleEpoch, Now.Ms};
  At.Epoch = Epoch;
  const std::string Name(Task);
  const auto Present = At.Tasks.find(Name);
  if (Present == At.Tasks.end() || Present->second.Run != Run) {
    auto &Closed = At.ClosedRuns[Name];
    Closed = std::max(Closed, Run);
    return {OrderOutcome::Accepted, Now.Ms};
  }
  if (Present->second.StopsAt.Ms == 0)
    Present->second.StopsAt = Now + this->Limits.StopTime;
  return {OrderOutcome::Accepted, Now.Ms};
}

std::int64_t TaskPark::progressOf(const Running &Of, Instant Now) {
  constexpr std::int64_t Whole = 100;
  if (Of.EndsAt.Ms == 0 || Of.Script.WorkMs <= 0)
    return 0; // The gang is not complete.
  const std::int64_t LeftMs = std::max<std::int64_t>((Of.EndsAt - Now).Ms, 0);
  return Whole - LeftMs * Whole / Of.Script.WorkMs;
}

HoldAnswer TaskPark::hold(const std::string &Id, const HoldOrder &Order,
                          Instant Now) {
  Worker &At = this->Workers.at(Id);
  HoldAnswer Answer{OrderOutcome::StaleEpoch, {}};
  if (Order.Epoch < At.Epoch)
    return Answer;
  At.Epoch = Order.Epoch;
  for (const EndedRun &End : At.Ends)
    if (End.Number <= Order.AcknowledgedEnd && End.Outcome == RunOutcome::Done)
      ++this->DoneTasks[End.Task];
  std::erase_if(At.Ends, [&Order](const EndedRun &End) {
    return End.Number <= Order.AcknowledgedEnd;
  });
  if (Order.LeaseUntilMs) {
    const Instant Lease{
        std::min(*Order.LeaseUntilMs, (Now + this->Limits.MaxLease).Ms)};
    At.LeaseEnds = std::max(At.LeaseEnds, Lease);
  }
  Answer.Outcome = OrderOutcome::Accepted;
  Answer.Report.ClockMs = Now.Ms;
  Answer.Report.IncarnationStartMs = At.BornWallMs;
  for (const auto &[Task, Entry] : At.Tasks)
    Answer.Report.Running.push_back(
        {Task, Entry.Run, {}, progressOf(Entry, Now), 1'000});
  Answer.Report.Ended = At.Ends;
  return Answer;
}

void TaskPark::end(Worker &At, const std::string &Task, RunOutcome How) {
  const Running Entry = At.Tasks.at(Task);
  At.Tasks.erase(Task);
  At.ClosedRuns[Task] = std::max(At.ClosedRuns[Task], Entry.Run);
  At.Ends.push_back({++At.LastEnd, Task, Entry.Run, How, {}});
}

void TaskPark::breakGang(const std::string &Task, std::int64_t Run) {
  for (auto &[Id, At] : this->Workers) {
    std::vector<std::string> Broken;
    for (const auto &[Name, Entry] : At.Tasks)
      if (gangOf(Name) == gangOf(Task) && Entry.Run == Run)
        Broken.push_back(Name);
    for (const std::string &Name : Broken)
      this->end(At, Name, RunOutcome::GangBroken);
  }
}

void TaskPark::advance(Instant Now) {
  for (auto &[Id, At] : this->Workers) {
    const std::map<std::string, Running> Tasks = At.Tasks;
    for (const auto &[Task, Entry] : Tasks) {
      if (!At.Tasks.contains(Task))
        continue; // Broken with its gang.
      const bool Gang = Entry.Script.GangSize > 1;
      RunOutcome How = RunOutcome::Unknown;
      if (Now >= At.LeaseEnds)
        How = RunOutcome::LeaseExpired;
      else if (Entry.StopsAt.Ms != 0 && Now >= Entry.StopsAt)
        How = RunOutcome::Stopped;
      else if (Entry.EndsAt.Ms != 0 && Now >= Entry.EndsAt)
        How = Entry.Run <= Entry.Script.FailRuns ? RunOutcome::Failed
                                                 : RunOutcome::Done;
      else if (Entry.EndsAt.Ms == 0 &&
               Now - Entry.ArrivedAt >= this->Limits.GangTimeout)
        How = RunOutcome::GangIncomplete;
      if (How == RunOutcome::Unknown)
        continue;
      if (How == RunOutcome::GangIncomplete)
        this->violate("gang member alone: " + Task);
      this->end(At, Task, How);
      if (Gang && How != RunOutcome::Done)
        this->breakGang(Task, Entry.Run);
    }
  }
}

bool TaskPark::hasEnds(const std::string &Id) const {
  return !this->Workers.at(Id).Ends.empty();
}

std::int64_t TaskPark::doneCount(const std::string &Task) const {
  const auto Found = this->DoneTasks.find(Task);
  return Found == this->DoneTasks.end() ? 0 : Found->second;
}

std::int64_t TaskPark::runningCount() const {
  std::int64_t Count = 0;
  for (const auto &[Id, At] : this->Workers)
    Count += static_cast<std::int64_t>(At.Tasks.size());
  return Count;
}

} // namespace pistachioflow
