#include "pistachioflow/controller/cell_tenure.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace pistachioflow {

namespace {

constexpr std::int64_t WholePercent = 100;

GangProgress *findGang(CellTenure &Tenure, const JobId &Job, Attempt Try) {
  const auto Found = Tenure.Gangs.find(Job);
  if (Found == Tenure.Gangs.end() || Found->second.Try != Try)
    return nullptr;
  return &Found->second;
}

void takeOrderAnswer(CellTenure &Tenure, const OrderAnswer &Answer,
                     const TenureSettings &Settings, Instant Now) {
  const WorkerOrder &Order = Answer.Order;
  if (Order.Fence != Tenure.At)
    return;
  if (Order.Kind == OrderKind::Throttle) {
    const bool Again = Answer.Outcome == CallOutcome::NotReceived ||
                       Answer.Outcome == CallOutcome::Lost;
    if (Again && findGang(Tenure, Order.Job, Order.Try) != nullptr)
      Tenure.Throttles.push_back({Answer.Worker, Order});
    return;
  }
  GangProgress *Gang = findGang(Tenure, Order.Job, Order.Try);
  if (Gang == nullptr)
    return;
  const GangCall Call{Answer.Worker, false, Order.Kind, Order.Tasks};
  takeAnswer(*Gang, Call, Answer.Outcome, Settings.Gang, Answer.Sent, Now);
}

bool differs(std::uint32_t Before, std::uint32_t After, std::uint32_t Percent) {
  const std::int64_t Step = std::abs(static_cast<std::int64_t>(Before) - After);
  return Step * WholePercent > static_cast<std::int64_t>(Before) * Percent;
}

/// Keeps the usage of running tasks for the stream where it has changed much.
void noteUsage(CellTenure &Tenure, const WorkerId &Worker,
               const ReportedTasks &Tasks, const TenureSettings &Settings,
               Instant Now) {
  const bool Counts = Tasks.Phase == TaskPhase::Running &&
                      (Tasks.CoresUsed > 0 || Tasks.MemoryMbUsed > 0) &&
                      findGang(Tenure, Tasks.Job, Tasks.Try) != nullptr;
  if (!Counts)
    return;
  const auto [At, Added] =
      Tenure.Usage.try_emplace({{Tasks.Job, Tasks.Try}, Worker});
  RecordedUsage &Last = At->second;
  const bool Changed =
      differs(Last.Cores, Tasks.CoresUsed, Settings.UsageChangePercent) ||
      differs(Last.MemoryMb, Tasks.MemoryMbUsed, Settings.UsageChangePercent);
  if (!Added && (!Changed || Now - Last.At < Settings.UsageEvery))
    return;
  Last = {Tasks.CoresUsed, Tasks.MemoryMbUsed, Now};
  Tenure.UsageEvents.emplace_back(UsageReported{
      Tasks.Job, Tasks.Try, Worker, Tasks.CoresUsed, Tasks.MemoryMbUsed});
}

void takeReportAnswer(CellTenure &Tenure, const ReportAnswer &Answer,
                      const TenureSettings &Settings, Instant Now) {
  takePollOutcome(Tenure.Watch, Answer.Worker, Answer.Report.has_value(),
                  Settings.Watch, Now);
  for (const JobId &Job : Tenure.GangsOn[Answer.Worker]) {
    GangProgress &Gang = Tenure.Gangs.at(Job);
    if (Answer.Report)
      takeReport(Gang, *Answer.Report);
    else
      takeNoReport(Gang, Answer.Worker, Settings.Gang, Now);
  }
  if (!Answer.Report)
    return;
  for (const ReportedTasks &Tasks : Answer.Report->Tasks)
    noteUsage(Tenure, Answer.Worker, Tasks, Settings, Now);
  Tenure.Reports.push_back(*Answer.Report);
}

void takeListAnswer(CellTenure &Tenure, const ListAnswer &Answer,
                    std::span<const DomainId> Domains,
                    const TenureSettings &Settings, Instant Now) {
  Tenure.ListInFlight = false;
  Tenure.ListAt = Now + Settings.Watch.ListEvery;
  if (!Answer.Listed)
    return;
  std::vector<WorkerInfo> Mine;
  for (const WorkerInfo &Info : *Answer.Listed) {
    const bool Here =
        Domains.empty() ||
        std::find(Domains.begin(), Domains.end(), Info.Domain) != Domains.end();
    if (Here)
      Mine.push_back(Info);
  }
  takeListed(Tenure.Watch, Mine, Now);
}

void addGang(CellTenure &Tenure, GangProgress Gang) {
  for (const GangMember &Member : Gang.Members)
    Tenure.GangsOn[Member.Worker].insert(Gang.Job);
  Tenure.Gangs.insert_or_assign(Gang.Job, std::move(Gang));
}

void removeGang(CellTenure &Tenure, const GangProgress &Gang) {
  for (const GangMember &Member : Gang.Members) {
    const auto On = Tenure.GangsOn.find(Member.Worker);
    if (On == Tenure.GangsOn.end())
      continue;
    On->second.erase(Gang.Job);
    if (On->second.empty())
      Tenure.GangsOn.erase(On);
  }
  std::erase_if(Tenure.Usage, [&](const auto &Entry) {
    return Entry.first.Gang.Job == Gang.Job;
  });
  Tenure.Announced.erase(Gang.Job);
}

/// Drops the gangs whose attempt the folded state has ended.
void removeEnded(CellTenure &Tenure, const policy::CellState &State) {
  for (auto At = Tenure.Gangs.begin(); At != Tenure.Gangs.end();) {
    const auto Known = State.Jobs.find(At->first);
    const bool Current = Known != State.Jobs.end() &&
                         policy::isActive(Known->second) &&
                         Known->second.Try == At->second.Try;
    if (Current) {
      ++At;
      continue;
    }
    removeGang(Tenure, At->second);
    At = Tenure.Gangs.erase(At);
  }
  std::erase_if(Tenure.Waiting, [&](const GangRef &Ref) {
    const auto Known = State.Jobs.find(Ref.Job);
    return Known == State.Jobs.end() || Known->second.Try != Ref.Try ||
           !policy::isActive(Known->second);
  });
}

void takeFresh(CellTenure &Tenure, std::span<const Action> Fresh) {
  for (const Action &What : Fresh) {
    if (const auto *Start = std::get_if<StartGang>(&What))
      Tenure.Waiting.insert({Start->Job, Start->Try});
    if (const auto *Throttle = std::get_if<ThrottleGang>(&What)) {
      WorkerOrder Order;
      Order.Kind = OrderKind::Throttle;
      Order.Job = Throttle->Job;
      Order.Try = Throttle->Try;
      Order.Cores = Throttle->CoresAllowed;
      Tenure.Throttles.push_back({Throttle->Worker, Order});
    }
  }
}

std::size_t countStarting(const CellTenure &Tenure) {
  return static_cast<std::size_t>(std::count_if(
      Tenure.Gangs.begin(), Tenure.Gangs.end(),
      [](const auto &Entry) { return Entry.second.Goal == GangGoal::Start; }));
}

void followJob(CellTenure &Tenure, const policy::JobState &Job,
               const TenureSettings &Settings, std::size_t &Starting,
               Instant Now) {
  const auto Known = Tenure.Gangs.find(Job.Spec.Job);
  if (Known != Tenure.Gangs.end()) {
    setGoal(Known->second, Job.Phase);
    const bool Wanted = Job.Reclaim.Code != ReasonCode::None &&
                        Job.Spec.Checkpointable && !Job.Reclaim.CheckpointTaken;
    setCheckpointWanted(Known->second, Wanted);
    return;
  }
  const auto Fresh = Tenure.Waiting.find({Job.Spec.Job, Job.Try});
  if (Fresh == Tenure.Waiting.end()) {
    addGang(Tenure, resumeGang(Job, Settings.Gang, Now));
    return;
  }
  if (Job.Phase == JobPhase::Starting && Starting >= Settings.StartsAtOnce)
    return;
  ++Starting;
  addGang(Tenure, beginFreshGang(Job, Settings.Gang, Now));
  Tenure.Waiting.erase(Fresh);
}

} // namespace

CellTenure beginTenure(const CellId &Cell, Epoch At,
                       const policy::CellState &State, Instant Now) {
  CellTenure Tenure;
  Tenure.Cell = Cell;
  Tenure.At = At;
  Tenure.Watch = beginWatch(State, Now);
  Tenure.ListAt = Now;
  return Tenure;
}

void takeAnswers(CellTenure &Tenure, std::span<const WorkerAnswer> Answers,
                 std::span<const DomainId> Domains,
                 const TenureSettings &Settings, Instant Now) {
  for (const WorkerAnswer &Answer : Answers) {
    if (const auto *Order = std::get_if<OrderAnswer>(&Answer))
      takeOrderAnswer(Tenure, *Order, Settings, Now);
    if (const auto *Report = std::get_if<ReportAnswer>(&Answer))
      takeReportAnswer(Tenure, *Report, Settings, Now);
    if (const auto *List = std::get_if<ListAnswer>(&Answer))
      takeListAnswer(Tenure, *List, Domains, Settings, Now);
  }
}

void followState(CellTenure &Tenure, const policy::CellState &State,
                 std::span<const Action> Fresh, const TenureSettings &Settings,
                 Instant Now) {
  takeFresh(Tenure, Fresh);
  removeEnded(Tenure, State);
  std::size_t Starting = countStarting(Tenure);
  for (const auto &[Id, Job] : State.Jobs) {
    if (policy::isActive(Job))
      followJob(Tenure, Job, Settings, Starting, Now);
  }
  forgetDelisted(Tenure.Watch, State);
}

} // namespace pistachioflow
