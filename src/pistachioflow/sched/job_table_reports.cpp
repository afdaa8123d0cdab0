#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace pistachioflow {

namespace {

/// Pause before a task or gang that failed is tried again. Failures of a
/// worker show on its other tasks within about this time.
constexpr Duration PauseAfterFailure{100};

/// A run that uses no processor for this long stands still. Workers average
/// their figures over half a second, and a resumed run first restores.
constexpr Duration StuckAfter{1'400};

std::string_view endName(RunOutcome How) {
  switch (How) {
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

bool showsRun(const WorkerReport &Report, const std::string &Task,
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
  std::vector<RunningTask> Unwanted;
  std::set<std::pair<Unit *, std::size_t>> Seen;
  for (const RunningTask &Task : Report.Running) {
    const TaskLocation Place = this->findTask(Task.Task);
    const bool Ours = Place.ParentUnit && Place.ParentUnit->Run == Task.Run &&
                      Place.Index < Place.ParentUnit->Members.size() &&
                      Place.ParentUnit->Members[Place.Index].Worker == Worker &&
                      Place.ParentUnit->Members[Place.Index].occupiesCapacity();
    if (!Ours) {
      Unwanted.push_back(Task);
      continue;
    }
    Seen.insert({Place.ParentUnit, Place.Index});
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
  }
  const auto Listed = this->MembersByWorker.find(std::string(Worker));
  if (Listed == this->MembersByWorker.end())
    return Unwanted;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.ParentUnit->Members.size() ||
        Seen.contains({Ref.ParentUnit, Ref.Index}))
      continue;
    const Member &Entry = Ref.member();
    const bool ConfirmedBefore =
        Entry.Phase == MemberPhase::Running && Entry.PhaseSince < AskedAt;
    const bool StoppedBefore =
        Entry.StopAcceptedAt.Ms > 0 && Entry.StopAcceptedAt < AskedAt;
    // Orders of an earlier owner that are not there are refused from now on,
    // since the worker has seen the newer epoch.
    const bool Fenced = Entry.Phase == MemberPhase::Adopted;
    if (!ConfirmedBefore && !StoppedBefore && !Fenced)
      continue;
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run);
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->stopMembers(*Ref.ParentUnit, Now, "member_vanished");
  }
  return Unwanted;
}

void JobTable::checkProgress(Unit &Of, std::size_t Index,
                             const RunningTask &Task, Instant Now) {
  Member &Entry = Of.Members[Index];
  Entry.ProgressPercent = Task.ProgressPercent;
  Entry.ReportedAt = Now;
  // Work on a gang begins once all of its members are there.
  Of.FullyStarted = Of.FullyStarted || Task.ProgressPercent > 0;
  const bool Idle = Task.CpuMilli == 0 &&
                    Of.spec().TaskResources.MilliCores > 0 &&
                    !Of.spec().FillsIdleCpu;
  if (!Idle || !Of.allRunning() || Of.Done) {
    Entry.IdleSince = {};
    return;
  }
  if (Entry.IdleSince.Ms == 0)
    Entry.IdleSince = Now;
  // Members that are through wait idle for the others of their gang.
  const auto IdleFor = [Now](const Member &At) {
    return At.IdleSince.Ms == 0 ? Duration{0} : Now - At.IdleSince;
  };
  const bool AllIdle = std::ranges::all_of(
      Of.Members, [&](const Member &At) { return IdleFor(At) >= StuckAfter; });
  if (!AllIdle || Entry.StopRequested)
    return;
  const Member &First = *std::ranges::max_element(
      Of.Members, {}, [&](const Member &At) { return IdleFor(At).Ms; });
  this->recordEvent(TableEvent::Kind::Stuck, Of.name(), First.Worker, Of.Run,
                    {}, IdleFor(First).Ms);
  Of.FailedWorkers.insert(First.Worker);
  this->stopMembers(Of, Now, "stands_still");
}

void JobTable::applyEnd(Unit &Of, std::size_t Index, const EndedRun &End,
                        Instant Now, std::int64_t WallMs) {
  if (Of.Members[Index].Phase == MemberPhase::Ended)
    return;
  this->recordEvent(TableEvent::Kind::Ended, End.Task, Of.Members[Index].Worker,
                    End.Run, std::string(endName(End.Outcome)),
                    (Now - Of.PlacedAt).Ms);
  if (End.Outcome == RunOutcome::Done && Of.Checkpoint.empty()) {
    this->Events.back().Queue = Of.ParentJob->Submission.Queue;
    this->Events.back().EstimatedMs = Of.spec().EstimatedMs;
  }
  if (!End.Checkpoint.empty())
    Of.Checkpoint = End.Checkpoint;
  if (End.Outcome == RunOutcome::Failed && !Of.Done) {
    // Several members of one run may fail; the run counts once.
    if (Of.FailedRun != End.Run)
      ++Of.Failures;
    Of.FailedRun = End.Run;
    Of.FailedWorkers.insert(Of.Members[Index].Worker);
    Of.ParentJob->FailedWorkers.insert(Of.Members[Index].Worker);
    Of.NotBefore = std::max(Of.NotBefore, Now + PauseAfterFailure);
  }
  this->endMember(Of, Index, Now);
  this->markDirty(Of);
  const bool Done = End.Outcome == RunOutcome::Done && !Of.spec().LongRunning;
  if (Done && !Of.Done)
    this->completeUnit(Of, Now, WallMs);
  else if (!Of.Done)
    this->stopMembers(Of, Now, "member_ended");
  const std::int64_t Budget = Of.ParentJob->Submission.Terms.MaxAttempts;
  if (!Of.Done && !Of.spec().LongRunning && Of.Failures >= Budget &&
      !hasEnded(Of.ParentJob->Phase))
    this->endJob(*Of.ParentJob, JobPhase::Failed, WallMs, Now, "attempts");
  this->requeueIfEnded(Of, Now);
}

void JobTable::completeUnit(Unit &Of, Instant Now, std::int64_t WallMs) {
  Of.Done = true;
  this->Waiting.erase(&Of);
  this->markDirty(Of);
  this->recordEvent(TableEvent::Kind::UnitDone, Of.name(), {}, Of.Run, {},
                    (Now - Of.PlacedAt).Ms);
  Job &Owner = *Of.ParentJob;
  Occurrence &In = Owner.Occurrences.at(Of.Occurrence);
  StepState &Step = In.Steps[Of.Step];
  if (++Step.DoneUnits < Step.Units.size() || hasEnded(Owner.Phase))
    return;
  if (++In.DoneSteps < In.Steps.size()) {
    this->unlockSteps(Owner, In, Now);
    return;
  }
  const std::int64_t Total =
      std::max<std::int64_t>(Owner.Submission.Job.Occurrences, 1);
  if (++Owner.EndedOccurrences >= Total && !hasEnded(Owner.Phase))
    this->endJob(Owner, JobPhase::Completed, WallMs, Now, "done");
}

void JobTable::endJob(Job &Owner, JobPhase Phase, std::int64_t WallMs,
                      Instant Now, std::string_view Reason) {
  Owner.Phase = Phase;
  Owner.EndedWallMs = WallMs;
  this->JobsToUnlock.erase(Owner.Id);
  this->DirtyPhases[Owner.Id] = {Phase, WallMs};
  this->recordEvent(TableEvent::Kind::JobEnded, Owner.Id, {}, 0,
                    std::string(toString(Phase)) + " " + std::string(Reason),
                    (Now - Owner.AcceptedAt).Ms);
  for (auto &[Number, Of] : Owner.Occurrences)
    for (StepState &Step : Of.Steps)
      for (Unit &Entry : Step.Units) {
        this->Waiting.erase(&Entry);
        if (!Entry.Done)
          this->stopMembers(Entry, Now, "job_ended");
        const std::string Name = Entry.name();
        this->DirtyUnits.erase(Name);
        if (this->RecordedUnits.erase(Name) > 0)
          this->DroppedKeys.push_back(unitKey(Name));
      }
}

void JobTable::workerRestarted(std::string_view Worker,
                               const WorkerReport &Report, Instant Now) {
  const std::int64_t BornWallMs = Report.IncarnationStartMs;
  const auto Listed = this->MembersByWorker.find(std::string(Worker));
  if (Listed == this->MembersByWorker.end())
    return;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    Member &Entry = Ref.member();
    if (Entry.IncarnationStartMs == BornWallMs ||
        Entry.Phase == MemberPhase::Ended)
      continue;
    // An order that was on its way may have reached the new life, and may
    // still be carried out there.
    const bool OnItsWay =
        Entry.Phase == MemberPhase::Sent || Entry.Phase == MemberPhase::Planned;
    if (OnItsWay || showsRun(Report, Ref.ParentUnit->taskName(Ref.Index),
                             Ref.ParentUnit->Run)) {
      Entry.IncarnationStartMs = BornWallMs;
      continue;
    }
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run, "reborn");
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->stopMembers(*Ref.ParentUnit, Now, "member_vanished");
  }
}

void JobTable::workerUnresponsive(std::string_view Worker, Instant OverBefore,
                                  Instant Now) {
  const auto Listed = this->MembersByWorker.find(std::string(Worker));
  if (Listed == this->MembersByWorker.end())
    return;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    const Instant OverSince = Ref.ParentUnit->FirstMemberEndedAt;
    if (OverSince.Ms == 0 || OverSince >= OverBefore)
      continue;
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run, "gang_ended");
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->requeueIfEnded(*Ref.ParentUnit, Now);
  }
}

void JobTable::workerLost(std::string_view Worker, Instant Now,
                          std::string_view Reason) {
  const auto Listed = this->MembersByWorker.find(std::string(Worker));
  if (Listed == this->MembersByWorker.end())
    return;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    this->recordEvent(TableEvent::Kind::RunLost,
                      Ref.ParentUnit->taskName(Ref.Index), std::string(Worker),
                      Ref.ParentUnit->Run, std::string(Reason));
    this->endMember(*Ref.ParentUnit, Ref.Index, Now);
    this->stopMembers(*Ref.ParentUnit, Now, "member_lost");
  }
}

} // namespace pistachioflow
