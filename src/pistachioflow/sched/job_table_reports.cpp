#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace pistachioflow {

namespace {

/// Delay before a failed task or gang is tried again. A failing worker shows on
/// its other tasks within about this time.
constexpr Duration FailureBackoff{100};

/// A run that uses no CPU for this long is stuck. Workers average CPU use over
/// half a second, and a resumed run first restores its checkpoint.
constexpr Duration StuckTimeout{1'400};

std::string_view outcomeName(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::LeaseExpired:
    return "lapsed";
  case RunOutcome::GangBroken:
    return "broken";
  case RunOutcome::GangIncomplete:
    return "alone";
  case RunOutcome::Unknown:
    return "unknown";
  }
  return "invalid";
}

bool containsRun(const WorkerReport &Report, const std::string &Task,
                 std::int64_t Run) {
  const auto Same = [&](const auto &Row) {
    return Row.Task == Task && Row.Run == Run;
  };
  return std::ranges::any_of(Report.Running, Same) ||
         std::ranges::any_of(Report.Ended, Same);
}

} // namespace

std::vector<RunningTask> JobTable::applyReport(std::string_view Worker,
                                               const WorkerReport &Report,
                                               Instant AskedAt, Instant Now,
                                               std::int64_t WallMs) {
  this->settleSuspicions(Worker, Report.IncarnationStartMs, Now, WallMs);
  std::vector<RunningTask> Unwanted;
  std::set<std::pair<Unit *, std::size_t>> Reported;
  for (const RunningTask &Task : Report.Running) {
    const TaskLocation Place = this->findTask(Task.Task);
    const bool Expected =
        Place.ParentUnit && Place.ParentUnit->Run == Task.Run &&
        Place.Index < Place.ParentUnit->Members.size() &&
        Place.ParentUnit->Members[Place.Index].Worker == Worker &&
        Place.ParentUnit->Members[Place.Index].occupiesCapacity();
    if (!Expected) {
      Unwanted.push_back(Task);
      continue;
    }
    Reported.insert({Place.ParentUnit, Place.Index});
    if (!Task.Checkpoint.empty())
      Place.ParentUnit->Checkpoint = Task.Checkpoint;
    this->confirm(Task.Task, Task.Run, Now);
    this->checkProgress(*Place.ParentUnit, Place.Index, Task, Now);
  }
  for (const EndedRun &End : Report.Ended) {
    const TaskLocation Place = this->findTask(End.Task);
    const bool Current =
        Place.ParentUnit && Place.ParentUnit->Run == End.Run &&
        Place.Index < Place.ParentUnit->Members.size() &&
        Place.ParentUnit->Members[Place.Index].Worker == Worker;
    if (Current)
      this->applyEnd(*Place.ParentUnit, Place.Index, End, Now, WallMs);
    else if (Place.ParentUnit)
      this->applyLateEnd(*Place.ParentUnit, Worker, End, Now, WallMs);
  }
  // What this report leaves out may be in the next one.
  if (Report.MoreEnds)
    return Unwanted;
  this->resolvePresumedEnds(Worker, Report);
  const auto Match = this->MembersByWorker.find(std::string(Worker));
  if (Match == this->MembersByWorker.end())
    return Unwanted;
  const std::vector<MemberRef> Members = Match->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.ParentUnit->Members.size() ||
        Reported.contains({Ref.ParentUnit, Ref.Index}))
      continue;
    const Member &Entry = Ref.member();
    const bool ConfirmedBefore =
        Entry.Phase == MemberPhase::Running && Entry.PhaseSince < AskedAt;
    const bool StoppedBefore =
        Entry.StopAcceptedAt.Ms > 0 && Entry.StopAcceptedAt < AskedAt;
    // The worker has seen the newer epoch and refuses orders of earlier owners:
    // a start that is not in the report can no longer take effect.
    const bool Fenced = Entry.Phase == MemberPhase::Adopted;
    if (!ConfirmedBefore && !StoppedBefore && !Fenced)
      continue;
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run);
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->stopMembers(*Ref.ParentUnit, Now, "member_missing");
  }
  return Unwanted;
}

void JobTable::checkProgress(Unit &Unit, std::size_t Index,
                             const RunningTask &Task, Instant Now) {
  Member &Entry = Unit.Members[Index];
  Entry.ProgressPercent = Task.ProgressPercent;
  Entry.ReportedAt = Now;
  // Gangs make progress only once all members are running.
  Unit.FullyStarted = Unit.FullyStarted || Task.ProgressPercent > 0;
  // Tasks that last report the tail of their response times instead.
  const bool Idle = Task.CpuMilli == 0 && !Unit.spec().LongRunning &&
                    Unit.spec().TaskResources.MilliCores > 0 &&
                    !Unit.spec().FillsIdleCpu;
  if (!Idle || !Unit.allRunning() || Unit.Done) {
    Entry.IdleSince = {};
    return;
  }
  if (Entry.IdleSince.Ms == 0)
    Entry.IdleSince = Now;
  // Members that have finished wait idle for the rest of their gang.
  const auto IdleFor = [Now](const Member &Peer) {
    return Peer.IdleSince.Ms == 0 ? Duration{0} : Now - Peer.IdleSince;
  };
  const bool AllIdle =
      std::ranges::all_of(Unit.Members, [&](const Member &Peer) {
        return IdleFor(Peer) >= StuckTimeout;
      });
  if (!AllIdle || Entry.StopRequested)
    return;
  const Member &First = *std::ranges::max_element(
      Unit.Members, {}, [&](const Member &Peer) { return IdleFor(Peer).Ms; });
  this->recordEvent(TableEvent::Kind::Stuck, Unit.name(), First.Worker,
                    Unit.Run, {}, IdleFor(First).Ms);
  Unit.FailedWorkers.insert(First.Worker);
  this->stopMembers(Unit, Now, "no_progress");
}

void JobTable::applyEnd(Unit &Unit, std::size_t Index, const EndedRun &End,
                        Instant Now, std::int64_t WallMs) {
  if (Unit.Members[Index].Phase == MemberPhase::Ended)
    return;
  this->recordEvent(
      TableEvent::Kind::Ended, End.Task, Unit.Members[Index].Worker, End.Run,
      std::string(outcomeName(End.Outcome)), (Now - Unit.PlacedAt).Ms);
  if (End.Outcome == RunOutcome::Done && Unit.Checkpoint.empty()) {
    this->Events.back().Queue = Unit.ParentJob->Submission.Queue;
    this->Events.back().EstimatedMs = Unit.spec().EstimatedMs;
  }
  if (!End.Checkpoint.empty())
    Unit.Checkpoint = End.Checkpoint;
  if (End.Outcome == RunOutcome::Failed && !Unit.Done) {
    // Tasks that last may fail any number of times.
    if (!Unit.spec().LongRunning)
      countFailure(Unit.Attempts, End.Run);
    Unit.FailedWorkers.insert(Unit.Members[Index].Worker);
    Unit.ParentJob->FailedWorkers.insert(Unit.Members[Index].Worker);
    Unit.NotBefore = std::max(Unit.NotBefore, Now + FailureBackoff);
  }
  this->endMember(Unit, Index, Now);
  this->markDirty(Unit);
  const bool Done = End.Outcome == RunOutcome::Done && !Unit.spec().LongRunning;
  if (Done && !Unit.Done)
    this->completeUnit(Unit, Now, WallMs);
  else if (!Unit.Done)
    this->stopMembers(Unit, Now, "member_ended");
  this->failIfExhausted(Unit, Now, WallMs);
  this->requeueIfEnded(Unit, Now);
}

void JobTable::completeUnit(Unit &Unit, Instant Now, std::int64_t WallMs) {
  Unit.Done = true;
  this->Waiting.erase(&Unit);
  this->markDirty(Unit);
  this->recordEvent(TableEvent::Kind::UnitDone, Unit.name(), {}, Unit.Run, {},
                    (Now - Unit.PlacedAt).Ms);
  Job &Job = *Unit.ParentJob;
  Occurrence &Occurrence = Job.Occurrences.at(Unit.Occurrence);
  StepState &Step = Occurrence.Steps[Unit.Step];
  if (++Step.DoneUnits < Step.Units.size() || hasEnded(Job.Phase))
    return;
  if (++Occurrence.DoneSteps < Occurrence.Steps.size()) {
    this->unlockSteps(Job, Occurrence, Now);
    return;
  }
  const std::int64_t Total =
      std::max<std::int64_t>(Job.Submission.Job.Occurrences, 1);
  if (++Job.EndedOccurrences >= Total && !hasEnded(Job.Phase))
    this->endJob(Job, JobPhase::Completed, WallMs, Now, "done");
}

void JobTable::endJob(Job &Job, JobPhase Phase, std::int64_t WallMs,
                      Instant Now, std::string_view Reason) {
  Job.Phase = Phase;
  Job.EndedWallMs = WallMs;
  this->JobsToUnlock.erase(Job.Id);
  this->DirtyPhases[Job.Id] = {Phase, WallMs};
  this->recordEvent(TableEvent::Kind::JobEnded, Job.Id, {}, 0,
                    std::string(toString(Phase)) + " " + std::string(Reason),
                    (Now - Job.AcceptedAt).Ms);
  for (auto &[Number, Occurrence] : Job.Occurrences)
    for (StepState &Step : Occurrence.Steps)
      for (Unit &Entry : Step.Units) {
        this->Waiting.erase(&Entry);
        this->dropClaim(Entry, Now, "job_ended");
        for (const PresumedEnd &End : Entry.Attempts.PresumedEnds)
          this->PresumedEndsByWorker[End.Worker].erase(&Entry);
        for (const CrashRecord &Crash : Entry.Crashes.Crashes)
          if (Crash.Suspected)
            this->SuspectsByWorker[Crash.Worker].erase(&Entry);
        if (!Entry.Done)
          this->stopMembers(Entry, Now, "job_ended");
        const std::string Name = Entry.name();
        this->DirtyUnits.erase(Name);
        if (this->RecordedUnits.erase(Name) > 0)
          this->DroppedKeys.push_back(unitKey(Name));
      }
}

void JobTable::workerRestarted(std::string_view Worker,
                               const WorkerReport &Report, Instant AskedAt,
                               Instant Now, std::int64_t WallMs) {
  const std::int64_t BornWallMs = Report.IncarnationStartMs;
  for (const ExposedMember &Exposed : this->exposedMembers(Worker)) {
    const MemberRef &Ref = Exposed.Ref;
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    Member &Entry = Ref.member();
    if (Entry.IncarnationStartMs == BornWallMs ||
        Entry.Phase == MemberPhase::Ended)
      continue;
    const bool Shown = containsRun(Report, Ref.ParentUnit->taskName(Ref.Index),
                                   Ref.ParentUnit->Run);
    // Its start may have been answered after the worker made the report.
    const bool ConfirmedSince =
        Entry.Phase == MemberPhase::Running && Entry.PhaseSince >= AskedAt;
    // A confirmed run that the new incarnation shows was started by it.
    const bool MayHaveCrashed =
        (Entry.Phase == MemberPhase::Sent && !Entry.RestartedSinceSent) ||
        (!Shown && !ConfirmedSince && Entry.Phase != MemberPhase::Planned &&
         Entry.Phase != MemberPhase::Sent);
    if (MayHaveCrashed)
      this->recordCrash(Exposed, BornWallMs, Now, WallMs);
    // An order in flight may have reached the new incarnation, or may still
    // reach it.
    const bool InFlight =
        Entry.Phase == MemberPhase::Sent || Entry.Phase == MemberPhase::Planned;
    if (InFlight || Shown || ConfirmedSince || Report.MoreEnds) {
      Entry.IncarnationStartMs = BornWallMs;
      Entry.RestartedSinceSent = Entry.Phase == MemberPhase::Sent;
      // The new incarnation knows of no stop that the earlier one accepted.
      Entry.StopAcceptedAt = {};
      continue;
    }
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run, "restarted");
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->stopMembers(*Ref.ParentUnit, Now, "member_missing");
  }
}

void JobTable::workerUnresponsive(std::string_view Worker, Instant EndedBefore,
                                  Instant LeaseEnds, Instant Now) {
  for (const ExposedMember &Exposed : this->exposedMembers(Worker)) {
    const MemberRef &Ref = Exposed.Ref;
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    const Instant FirstMemberEndedAt = Ref.ParentUnit->FirstMemberEndedAt;
    if (FirstMemberEndedAt.Ms == 0 || FirstMemberEndedAt >= EndedBefore)
      continue;
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run, "gang_ended");
    this->suspectCrash(Exposed, Now);
    // An ended job has no further attempt that the end could count for, and
    // tasks that last have no limit.
    const bool MayCount = !hasEnded(Ref.ParentUnit->ParentJob->Phase) &&
                          !Ref.ParentUnit->spec().LongRunning;
    if (MayCount) {
      presumeEnd(Ref.ParentUnit->Attempts, Worker, Ref.ParentUnit->Run,
                 LeaseEnds);
      this->PresumedEndsByWorker[std::string(Worker)].insert(Ref.ParentUnit);
    }
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->requeueIfEnded(*Ref.ParentUnit, Now);
  }
}

void JobTable::workerLost(std::string_view Worker, Instant Now,
                          std::string_view Reason) {
  for (const ExposedMember &Exposed : this->exposedMembers(Worker)) {
    const MemberRef &Ref = Exposed.Ref;
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run, std::string(Reason));
    this->suspectCrash(Exposed, Now);
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->stopMembers(*Ref.ParentUnit, Now, "member_lost");
  }
}

} // namespace pistachioflow
