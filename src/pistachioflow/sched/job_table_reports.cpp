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

std::string_view endName(RunEnd How) {
  switch (How) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  case RunEnd::Alone:
    return "alone";
  case RunEnd::Unknown:
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
    const TaskPlace Place = this->findTask(Task.Task);
    const bool Ours = Place.Of && Place.Of->Run == Task.Run &&
                      Place.Index < Place.Of->Members.size() &&
                      Place.Of->Members[Place.Index].Worker == Worker &&
                      Place.Of->Members[Place.Index].occupies();
    if (!Ours) {
      Unwanted.push_back(Task);
      continue;
    }
    Seen.insert({Place.Of, Place.Index});
    if (!Task.Checkpoint.empty())
      Place.Of->Checkpoint = Task.Checkpoint;
    this->confirm(Task.Task, Task.Run, Now);
    this->watchProgress(*Place.Of, Place.Index, Task, Now);
  }
  for (const EndedRun &End : Report.Ended) {
    const TaskPlace Place = this->findTask(End.Task);
    const bool Current = Place.Of && Place.Of->Run == End.Run &&
                         Place.Index < Place.Of->Members.size() &&
                         Place.Of->Members[Place.Index].Worker == Worker;
    if (Current)
      this->applyEnd(*Place.Of, Place.Index, End, Now, WallMs);
  }
  const auto Listed = this->OnWorker.find(std::string(Worker));
  if (Listed == this->OnWorker.end())
    return Unwanted;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.Of->Members.size() ||
        Seen.contains({Ref.Of, Ref.Index}))
      continue;
    const Member &Entry = Ref.member();
    const bool ConfirmedBefore =
        Entry.Phase == MemberPhase::Running && Entry.Since < AskedAt;
    const bool StoppedBefore =
        Entry.StopAcked.Ms > 0 && Entry.StopAcked < AskedAt;
    // Orders of an earlier owner that are not there are refused from now on,
    // since the worker has seen the newer epoch.
    const bool Fenced = Entry.Phase == MemberPhase::Adopted;
    if (!ConfirmedBefore && !StoppedBefore && !Fenced)
      continue;
    this->note(TableEvent::Kind::Vanished, Ref.Of->taskName(Ref.Index),
               std::string(Worker), Ref.Of->Run);
    this->memberGone(*Ref.Of, Ref.Index, Now);
    this->stopMembers(*Ref.Of, Now, "member_vanished");
  }
  return Unwanted;
}

void JobTable::watchProgress(Unit &Of, std::size_t Index,
                             const RunningTask &Task, Instant Now) {
  Member &Entry = Of.Members[Index];
  Entry.ProgressPercent = Task.ProgressPercent;
  Entry.ReportedAt = Now;
  // Work on a gang begins once all of its members are there.
  Of.Begun = Of.Begun || Task.ProgressPercent > 0;
  const bool Idle = Task.CpuMilli == 0 && Of.spec().Each.MilliCores > 0 &&
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
  if (!AllIdle || Entry.StopWanted)
    return;
  const Member &First = *std::ranges::max_element(
      Of.Members, {}, [&](const Member &At) { return IdleFor(At).Ms; });
  this->note(TableEvent::Kind::Stuck, Of.name(), First.Worker, Of.Run, {},
             IdleFor(First).Ms);
  Of.FailedOn.insert(First.Worker);
  this->stopMembers(Of, Now, "stands_still");
}

void JobTable::applyEnd(Unit &Of, std::size_t Index, const EndedRun &End,
                        Instant Now, std::int64_t WallMs) {
  if (Of.Members[Index].Phase == MemberPhase::Gone)
    return;
  this->note(TableEvent::Kind::Ended, End.Task, Of.Members[Index].Worker,
             End.Run, std::string(endName(End.How)), (Now - Of.PlacedAt).Ms);
  if (End.How == RunEnd::Done && Of.Checkpoint.empty()) {
    this->Events.back().Queue = Of.Owner->Submission.Queue;
    this->Events.back().EstimatedMs = Of.spec().EstimatedMs;
  }
  if (!End.Checkpoint.empty())
    Of.Checkpoint = End.Checkpoint;
  if (End.How == RunEnd::Failed && !Of.Done) {
    // Several members of one run may fail; the run counts once.
    if (Of.FailedRun != End.Run)
      ++Of.Failures;
    Of.FailedRun = End.Run;
    Of.FailedOn.insert(Of.Members[Index].Worker);
    Of.Owner->FailedOn.insert(Of.Members[Index].Worker);
    Of.NotBefore = std::max(Of.NotBefore, Now + PauseAfterFailure);
  }
  this->memberGone(Of, Index, Now);
  this->markDirty(Of);
  const bool Done = End.How == RunEnd::Done && !Of.spec().LongRunning;
  if (Done && !Of.Done)
    this->unitDone(Of, Now, WallMs);
  else if (!Of.Done)
    this->stopMembers(Of, Now, "member_ended");
  const std::int64_t Budget = Of.Owner->Submission.Terms.MaxAttempts;
  if (!Of.Done && !Of.spec().LongRunning && Of.Failures >= Budget &&
      !hasEnded(Of.Owner->Phase))
    this->endJob(*Of.Owner, JobPhase::Failed, WallMs, Now, "attempts");
  this->settle(Of, Now);
}

void JobTable::unitDone(Unit &Of, Instant Now, std::int64_t WallMs) {
  Of.Done = true;
  this->Waiting.erase(&Of);
  this->markDirty(Of);
  this->note(TableEvent::Kind::UnitDone, Of.name(), {}, Of.Run, {},
             (Now - Of.PlacedAt).Ms);
  Job &Owner = *Of.Owner;
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
  this->Unfinished.erase(Owner.Id);
  this->DirtyPhases[Owner.Id] = {Phase, WallMs};
  this->note(TableEvent::Kind::JobEnded, Owner.Id, {}, 0,
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

void JobTable::workerReborn(std::string_view Worker, const WorkerReport &Report,
                            Instant Now) {
  const std::int64_t BornWallMs = Report.BornWallMs;
  const auto Listed = this->OnWorker.find(std::string(Worker));
  if (Listed == this->OnWorker.end())
    return;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.Of->Members.size())
      continue;
    Member &Entry = Ref.member();
    if (Entry.BornWallMs == BornWallMs || Entry.Phase == MemberPhase::Gone)
      continue;
    // An order that was on its way may have reached the new life, and may
    // still be carried out there.
    const bool OnItsWay = Entry.Phase == MemberPhase::Sent ||
                          Entry.Phase == MemberPhase::Recorded;
    if (OnItsWay ||
        showsRun(Report, Ref.Of->taskName(Ref.Index), Ref.Of->Run)) {
      Entry.BornWallMs = BornWallMs;
      continue;
    }
    this->note(TableEvent::Kind::Vanished, Ref.Of->taskName(Ref.Index),
               std::string(Worker), Ref.Of->Run, "reborn");
    this->memberGone(*Ref.Of, Ref.Index, Now);
    this->stopMembers(*Ref.Of, Now, "member_vanished");
  }
}

void JobTable::workerSilent(std::string_view Worker, Instant OverBefore,
                            Instant Now) {
  const auto Listed = this->OnWorker.find(std::string(Worker));
  if (Listed == this->OnWorker.end())
    return;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.Of->Members.size())
      continue;
    const Instant OverSince = Ref.Of->OverSince;
    if (OverSince.Ms == 0 || OverSince >= OverBefore)
      continue;
    this->note(TableEvent::Kind::Vanished, Ref.Of->taskName(Ref.Index),
               std::string(Worker), Ref.Of->Run, "gang_ended");
    this->memberGone(*Ref.Of, Ref.Index, Now);
    this->settle(*Ref.Of, Now);
  }
}

void JobTable::workerLost(std::string_view Worker, Instant Now,
                          std::string_view Reason) {
  const auto Listed = this->OnWorker.find(std::string(Worker));
  if (Listed == this->OnWorker.end())
    return;
  const std::vector<MemberRef> Members = Listed->second;
  for (const MemberRef &Ref : Members) {
    if (Ref.Index >= Ref.Of->Members.size())
      continue;
    this->note(TableEvent::Kind::Vanished, Ref.Of->taskName(Ref.Index),
               std::string(Worker), Ref.Of->Run, std::string(Reason));
    this->memberGone(*Ref.Of, Ref.Index, Now);
    this->stopMembers(*Ref.Of, Now, "member_lost");
  }
}

} // namespace pistachioflow
