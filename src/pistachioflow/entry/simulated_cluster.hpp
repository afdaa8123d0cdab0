#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "pistachioflow/entry/planning.hpp"

namespace pistachioflow::testing {

inline constexpr Resources WorkerCapacity{64'000, 131'072, 8};
inline constexpr Duration RoundInterval{100};
/// The users' limit for a job that fits twice over while less than half of the
/// capacity is in use.
inline constexpr Duration MaxIdleWait{3'000};
/// Waits count only this long after the latest trouble.
inline constexpr Duration CalmTime{4'000};
inline constexpr Duration SimulatedLease{6'400};
inline constexpr Duration SimulatedStopTimeout{900};
inline constexpr double SimulatedPenalty = 3.0;
inline constexpr std::int64_t ManyAttempts = 8;

inline StepSpec makeStep(std::int64_t Tasks, std::int64_t Accelerators,
                         bool Gang) {
  StepSpec Step;
  Step.TaskCount = Tasks;
  Step.TaskResources = {4'000, 8'192, Accelerators};
  Step.EstimatedMs = 3'000;
  Step.Gang = Gang;
  return Step;
}

inline std::string jobId(std::size_t Number) {
  constexpr std::size_t IdSize = 16;
  std::string Text = std::to_string(Number);
  return std::string(IdSize - Text.size(), '0') + Text;
}

/// What a simulated job does that its caller does not say.
struct SimulatedJob {
  std::int64_t WorkMs = 3'000;
  int EarlyFailures = 0; ///< Runs that fail at once by its own fault.
  Instant FailsFrom;     ///< None of them fails before this.
  std::int64_t MaxAttempts = ManyAttempts;
};

/// Trouble of one worker, until the given instants.
struct WorkerTrouble {
  Instant FailsUntil;   ///< What starts there fails at once.
  Instant RefusesUntil; ///< It refuses what is to start.
  Instant SilentUntil;  ///< It answers nothing.

  bool any(Instant Now) const {
    return Now < this->FailsUntil || Now < this->RefusesUntil ||
           Now < this->SilentUntil;
  }
};

/// A table, its rounds and workers that carry out the decisions; with a checker
/// that knows only the users' rule. Thread safety: none.
class SimulatedCluster {
public:
  void addWorker(const std::string &Id, const std::string &Rack,
                 const std::string &Kind = "a") {
    auto Link = std::make_shared<WorkerLink>(this->Io, Id);
    Link->Entry.Service = "svc";
    Link->Entry.Capacity = WorkerCapacity;
    Link->Entry.Labels = {Kind, Rack};
    Link->Listed = true;
    Link->Synced = true;
    Link->IncarnationStartMs = 1;
    this->Workers[Id] = std::move(Link);
  }

  void loseWorker(const std::string &Id) {
    this->Table->workerLost(Id, this->Now, "lease_ended");
    this->Workers.erase(Id);
    this->Troubles.erase(Id);
    this->TroubledAt = this->Now;
  }

  void drainWorker(const std::string &Id) {
    this->Workers.at(Id)->Entry.Draining = true;
    const auto Members = this->Table->membersOn(Id);
    for (const MemberRef &Ref : std::vector(Members.begin(), Members.end()))
      this->Table->preempt(*Ref.ParentUnit, this->Now, "worker_drains");
    this->TroubledAt = this->Now;
  }

  WorkerTrouble &trouble(const std::string &Id) {
    this->TroubledAt = this->Now;
    return this->Troubles[Id];
  }

  void guarantee(const std::string &Workspace, std::int64_t Accelerators) {
    this->Desired.Workspaces.push_back({Workspace, {}, Accelerators});
  }

  void submit(const std::string &JobId, const StepSpec &Step,
              std::int64_t Priority, const SimulatedJob &Behaviour = {},
              const std::string &Workspace = "team") {
    SubmissionRecord Submission;
    Submission.Queue = "queue";
    Submission.Workspace = Workspace;
    Submission.AcceptedWallMs = this->Now.Ms;
    Submission.Terms.Service = "svc";
    Submission.Terms.Priority = Priority;
    Submission.Terms.MaxAttempts = Behaviour.MaxAttempts;
    Submission.Job.Steps = {Step};
    this->Jobs[JobId] = Behaviour;
    this->Submissions[JobId] = Submission;
    this->Table->addSubmission(JobId, std::move(Submission), this->Now,
                               this->Now.Ms);
  }

  /// Another owner takes over with what the journal holds.
  void changeOwner() {
    this->storeRecords();
    this->Table = std::make_unique<JobTable>();
    for (const auto &[Id, Submission] : this->Submissions)
      this->Table->addSubmission(Id, Submission, this->Now, this->Now.Ms);
    for (const auto &[Key, Value] : this->Journal)
      if (Key.front() == static_cast<char>(RecordKind::JobPhase))
        this->Table->restorePhase(Key.substr(2),
                                  *decodeRecord<JobPhaseRecord>(Value));
    for (const auto &[Key, Value] : this->Journal)
      if (Key.front() == static_cast<char>(RecordKind::Unit))
        this->Table->restoreUnit(Key.substr(2),
                                 *decodeRecord<UnitRecord>(Value),
                                 this->Now + SimulatedLease, this->Now);
    for (auto &[Id, Link] : this->Workers) {
      Link->Trust = {};
      Link->AvoidedUntil = {};
      Link->Synced = false;
      Link->Leases.End = this->Now + SimulatedLease;
    }
    this->TroubledAt = this->Now;
  }

  void playRound() {
    this->Now = this->Now + RoundInterval;
    this->Table->unlockDueSteps(this->Now, this->Now.Ms);
    const PlanningView View{
        *this->Table, this->Workers,   this->Desired,        this->Durations,
        this->Now,    Duration{1'500}, SimulatedStopTimeout, SimulatedPenalty};
    const MovePlan Moves = planMoves(View);
    for (const MovePlan::Move &Entry : Moves.Moves)
      this->Table->moveMember(Entry.Ref, Entry.Place, this->Now);
    for (Unit *Gang : Moves.Unplaceable)
      this->Table->preempt(*Gang, this->Now, "no_worker_for_refused");
    reserveForUrgent(View);
    applyPlan(*this->Table, planRound(View), this->Now);
    this->storeRecords();
    this->startMembers();
    for (auto &[Id, Link] : this->Workers)
      this->poll(*Link);
    this->applyEvents();
    this->checkWaits();
  }

  void play(Duration Span) {
    for (Duration Played{0}; Played < Span; Played = Played + RoundInterval)
      this->playRound();
  }

  bool hasStarted(const std::string &JobId) const {
    return this->Table->find(JobId)->Phase != JobPhase::Queued;
  }

  Instant now() const { return this->Now; }

  std::vector<std::string> workerIds() const {
    std::vector<std::string> Ids;
    for (const auto &[Id, Link] : this->Workers)
      Ids.push_back(Id);
    return Ids;
  }

  std::vector<std::string> Violations;
  std::unique_ptr<JobTable> Table = std::make_unique<JobTable>();

private:
  void storeRecords() {
    for (JournalRecord &Record : this->Table->takeRecords())
      if (Record.Value.empty())
        this->Journal.erase(Record.Key);
      else
        this->Journal[Record.Key] = std::move(Record.Value);
  }

  WorkerTrouble troubleOf(const std::string &Id) const {
    const auto Match = this->Troubles.find(Id);
    return Match == this->Troubles.end() ? WorkerTrouble{} : Match->second;
  }

  void startMembers() {
    for (Unit *Placed : this->Table->active())
      for (std::size_t Index = 0; Index < Placed->Members.size(); ++Index)
        this->startMember(*Placed, Index);
  }

  /// Orders to silent workers stay without an answer.
  void startMember(Unit &Placed, std::size_t Index) {
    const std::int64_t Run = Placed.Run;
    if (!this->Table->markSent({&Placed, Index}, Run, this->Now))
      return;
    const std::string Worker = Placed.Members[Index].Worker;
    const std::string Task = Placed.taskName(Index);
    const WorkerTrouble Trouble = this->troubleOf(Worker);
    WorkerLink &Link = *this->Workers.at(Worker);
    if (this->Now < Trouble.RefusesUntil) {
      Link.AvoidedUntil = this->Now + Duration{500};
      recordRefusal(Link.Trust, this->Now);
      this->Table->refuse(Task, Run, this->Now, Duration{30}, "refused");
      this->TroubledAt = this->Now;
    } else if (this->Now >= Trouble.SilentUntil) {
      this->Table->confirm(Task, Run, this->Now);
    }
  }

  Duration runTime(const Unit &Placed) const {
    const StepSpec &Step = Placed.spec();
    std::set<std::string_view> Racks;
    for (const Member &Peer : Placed.Members)
      if (const auto Link = this->Workers.find(Peer.Worker);
          Link != this->Workers.end())
        Racks.insert(rackOf(Link->second->Entry));
    const bool OffData = !Step.DataRack.empty() &&
                         (Racks.size() > 1 || !Racks.contains(Step.DataRack));
    const bool Remote = OffData || (Step.TightlyCoupled && Racks.size() > 1);
    const std::int64_t Ms = this->Jobs.at(Placed.ParentJob->Id).WorkMs;
    const auto RemoteMs = SimulatedPenalty * static_cast<double>(Ms);
    return {Remote ? static_cast<std::int64_t>(RemoteMs) : Ms};
  }

  /// How a run has ended by now; nothing while it goes on.
  std::optional<RunOutcome> outcomeOf(const MemberRef &Ref) {
    const Unit &Placed = *Ref.ParentUnit;
    if (Ref.member().StopRequested)
      return RunOutcome::Stopped;
    SimulatedJob &Behaviour = this->Jobs.at(Placed.ParentJob->Id);
    const bool Ran = this->Now - Placed.PlacedAt >= RoundInterval;
    const bool Fails =
        Behaviour.EarlyFailures > 0 && this->Now >= Behaviour.FailsFrom;
    if (Ran && Placed.FullyStarted && Fails) {
      --Behaviour.EarlyFailures;
      return RunOutcome::Failed;
    }
    if (this->Now < this->troubleOf(Ref.member().Worker).FailsUntil)
      return RunOutcome::Failed;
    const bool Over = !Placed.spec().LongRunning &&
                      this->Now - Placed.PlacedAt >= this->runTime(Placed);
    return Over ? std::optional(RunOutcome::Done) : std::nullopt;
  }

  /// One answered hold of a worker, or a failed one.
  void poll(WorkerLink &Link) {
    const auto Members = this->Table->membersOn(Link.Id);
    if (this->Now < this->troubleOf(Link.Id).SilentUntil) {
      if (Members.empty() && Link.Synced)
        return;
      if (Link.UnresponsiveSince.Ms == 0)
        Link.UnresponsiveSince = this->Now;
      this->Table->workerUnresponsive(Link.Id, this->Now - Duration{1'400},
                                      Link.Leases.End, this->Now);
      if (this->Now >= Link.Leases.End)
        this->Table->workerLost(Link.Id, this->Now, "lease_ended");
      return;
    }
    WorkerReport Report;
    Report.ClockMs = this->Now.Ms;
    Report.IncarnationStartMs = 1;
    for (const MemberRef &Ref : std::vector(Members.begin(), Members.end())) {
      const std::string Task = Ref.ParentUnit->taskName(Ref.Index);
      const std::int64_t Run = Ref.ParentUnit->Run;
      if (Ref.member().Phase == MemberPhase::Sent) {
        this->Table->stopAccepted(Task, Run, this->Now - RoundInterval);
        continue;
      }
      if (const auto Outcome = this->outcomeOf(Ref))
        Report.Ended.push_back({++this->Ends, Task, Run, *Outcome, {}});
      else
        Report.Running.push_back({Task, Run, {}, 1, 1'000});
    }
    Link.Synced = true;
    Link.UnresponsiveSince = {};
    Link.Leases.End = this->Now + SimulatedLease;
    this->Table->applyReport(Link.Id, Report, this->Now, this->Now,
                             this->Now.Ms);
  }

  /// Attributes a failure to its worker or to its job, as the dispatcher does.
  void applyFailure(const TableEvent &Event, WorkerLink &Link) {
    const std::string Id = Event.Subject.substr(0, jobId(0).size());
    const bool Early = Duration{Event.DurationMs} < EarlyFailureWindow;
    if (Early &&
        !failsByItself(*this->Table->unitOf(Event.Subject), Event.Worker))
      recordEarlyFailure(Link.Trust, Id, this->Now);
    else
      Link.AvoidedUntil = this->Now + Duration{1'000};
  }

  void applyEvents() {
    for (const TableEvent &Event : this->Table->takeEvents()) {
      const auto Link = this->Workers.find(Event.Worker);
      if (Event.EventKind != TableEvent::Kind::Ended ||
          Link == this->Workers.end())
        continue;
      if (Event.Detail == "done")
        recordSuccess(Link->second->Trust,
                      this->Now - Duration{Event.DurationMs}, this->Now);
      if (Event.Detail == "failed")
        this->applyFailure(Event, *Link->second);
    }
    for (Unit *Placed : this->Table->active())
      if (Placed->FullyStarted &&
          this->Now - Placed->PlacedAt > EarlyFailureWindow)
        for (const Member &Peer : Placed->Members)
          this->noteSuccess(*Placed, Peer);
  }

  void noteSuccess(Unit &Placed, const Member &Peer) {
    const auto Link = this->Workers.find(Peer.Worker);
    if (Link == this->Workers.end() || Peer.Phase != MemberPhase::Running)
      return;
    outliveEarlyFailure(Placed);
    recordSuccess(Link->second->Trust, Placed.PlacedAt, this->Now);
  }

  bool isSound(const WorkerLink &Link) const {
    return !Link.Entry.Draining && !this->troubleOf(Link.Id).any(this->Now);
  }

  bool isLessThanHalfUsed() const {
    Resources Total;
    Resources Used;
    for (const auto &[Id, Link] : this->Workers) {
      if (!this->isSound(*Link))
        continue;
      Total = Total + Link->Entry.Capacity;
      Used = Used + this->Table->occupiedCapacity(Id);
    }
    return Used.MilliCores * 2 < Total.MilliCores &&
           Used.MemoryMb * 2 < Total.MemoryMb &&
           Used.Accelerators * 2 < Total.Accelerators;
  }

  bool fitsTwice(const Unit &Waiting) const {
    const StepSpec &Step = Waiting.spec();
    std::int64_t Fitting = 0;
    for (const auto &[Id, Link] : this->Workers) {
      const auto &Labels = Link->Entry.Labels;
      const bool Allowed =
          this->isSound(*Link) &&
          (Step.RequiredLabel.empty() ||
           std::ranges::find(Labels, Step.RequiredLabel) != Labels.end());
      if (Allowed)
        Fitting += fittingTasks(Link->Entry.Capacity -
                                    this->Table->occupiedCapacity(Id),
                                Step.TaskResources);
    }
    return Fitting >= 2 * Waiting.TaskCount;
  }

  /// Whether nothing of the job runs, though a task of it fits twice over.
  bool isIdleWithoutNeed(const Job &Waiting) const {
    bool Fits = false;
    for (const auto &[Number, Occurrence] : Waiting.Occurrences)
      for (const Unit &Entry : Occurrence.Steps.front().Units) {
        for (const Member &Peer : Entry.Members)
          if (Peer.Phase == MemberPhase::Running)
            return false;
        Fits = Fits || (!Entry.Done && this->fitsTwice(Entry));
      }
    return Fits;
  }

  /// Counts for how long each job has waited without need.
  void checkWaits() {
    std::map<std::string, Instant> Since;
    const bool Calm = this->Now - this->TroubledAt > CalmTime &&
                      std::ranges::none_of(this->Troubles, [&](const auto &Of) {
                        return Of.second.any(this->Now - CalmTime);
                      });
    const bool Counts = Calm && this->isLessThanHalfUsed();
    for (const auto &[Id, Job] : this->Table->jobs()) {
      if (!Counts || hasEnded(Job.Phase) || !this->isIdleWithoutNeed(Job))
        continue;
      const auto Before = this->IdleSince.find(Id);
      Since[Id] = Before == this->IdleSince.end() ? this->Now : Before->second;
      if (this->Now - Since[Id] == MaxIdleWait)
        this->Violations.push_back(Id + " waits without need at " +
                                   std::to_string(this->Now.Ms));
    }
    this->IdleSince = std::move(Since);
  }

  asio::io_context Io;
  WorkerLinks Workers;
  std::map<std::string, WorkerTrouble> Troubles;
  DesiredState Desired;
  DurationModel Durations;
  Instant Now{100'000};
  Instant TroubledAt;
  std::map<std::string, SimulatedJob> Jobs;
  std::map<std::string, SubmissionRecord> Submissions;
  std::map<std::string, std::string> Journal;
  std::map<std::string, Instant> IdleSince;
  std::int64_t Ends = 0;
};

} // namespace pistachioflow::testing
