#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <utility>

#include "candidate_workers.hpp"
#include "pistachioflow/sched/placement.hpp"
#include "task_name.hpp"

namespace pistachioflow {

const StepSpec &Unit::spec() const {
  return this->ParentJob->Submission.Job.Steps[this->Step];
}

bool Unit::isGang() const { return this->spec().Gang; }

bool Unit::allRunning() const {
  return std::ranges::all_of(this->Members, [](const Member &Entry) {
    return Entry.Phase == MemberPhase::Running;
  });
}

std::string Unit::name() const {
  std::string Name = this->ParentJob->Id + "." +
                     std::to_string(this->Occurrence) + "." +
                     std::to_string(this->Step);
  if (!this->isGang())
    Name += "." + std::to_string(this->FirstTask);
  return Name;
}

std::string Unit::taskName(std::size_t MemberIndex) const {
  if (!this->isGang())
    return this->name();
  return this->name() + "." + std::to_string(MemberIndex);
}

Job *JobTable::find(std::string_view JobId) {
  const auto Match = this->Jobs.find(std::string(JobId));
  return Match == this->Jobs.end() ? nullptr : &Match->second;
}

Unit *JobTable::unitOf(std::string_view Task) {
  return this->findTask(Task).ParentUnit;
}

JobTable::TaskLocation JobTable::findTask(std::string_view Task) {
  const TaskName Name = parseTaskName(Task);
  Job *Job = this->find(Name.JobId);
  if (!Job || Name.Occurrence < 0 || Name.Step < 0)
    return {};
  const auto Match = Job->Occurrences.find(Name.Occurrence);
  if (Match == Job->Occurrences.end() ||
      static_cast<std::size_t>(Name.Step) >= Match->second.Steps.size())
    return {};
  StepState &Step = Match->second.Steps[static_cast<std::size_t>(Name.Step)];
  const auto Index =
      static_cast<std::size_t>(std::max<std::int64_t>(Name.Index, 0));
  if (Step.Units.front().isGang())
    return {&Step.Units.front(), Index};
  if (Index >= Step.Units.size())
    return {};
  return {&Step.Units[Index], 0};
}

void JobTable::addSubmission(std::string_view JobId,
                             SubmissionRecord Submission, Instant Now,
                             std::int64_t WallMs) {
  const auto [Entry, Added] = this->Jobs.try_emplace(std::string(JobId));
  if (!Added)
    return; // A repeated submission stays one job.
  Job &Job = Entry->second;
  Job.Id = JobId;
  Job.Submission = std::move(Submission);
  const std::int64_t AgeMs =
      std::max<std::int64_t>(WallMs - Job.Submission.AcceptedWallMs, 0);
  Job.AcceptedAt = Now - Duration{AgeMs};
  this->JobsToUnlock.insert(Job.Id);
  this->cancelIfRequested(Job, WallMs, Now);
}

void JobTable::addCancellation(std::string_view JobId, std::int64_t WallMs,
                               Instant Now) {
  Job *Job = this->find(JobId);
  if (Job && !hasEnded(Job->Phase))
    this->endJob(*Job, JobPhase::Cancelled, WallMs, Now, "caller");
}

void JobTable::addEarlyCancellation(std::string_view Name,
                                    EarlyCancellationRecord Record,
                                    std::int64_t WallMs, Instant Now) {
  this->Cancellations.ByName.insert_or_assign(std::string(Name),
                                              std::move(Record));
  if (Job *Job = this->find(Name.substr(0, Name.find('/'))))
    this->cancelIfRequested(*Job, WallMs, Now);
}

/// Ends a job that was cancelled before its submission was known.
void JobTable::cancelIfRequested(Job &Job, std::int64_t WallMs, Instant Now) {
  const SubmissionRecord &Submission = Job.Submission;
  if (!hasEnded(Job.Phase) &&
      cancelsJob(this->Cancellations, Job.Id, Submission.Queue,
                 Submission.Workspace))
    this->endJob(Job, JobPhase::Cancelled, WallMs, Now, "caller_early");
}

void JobTable::restorePhase(std::string_view JobId,
                            const JobPhaseRecord &Record) {
  Job *Job = this->find(JobId);
  if (!Job)
    return;
  Job->Phase = Record.Phase;
  Job->EndedWallMs = Record.EndedWallMs;
  if (hasEnded(Record.Phase))
    this->JobsToUnlock.erase(Job->Id);
}

void JobTable::restoreUnit(std::string_view UnitName, const UnitRecord &Record,
                           Instant LeaseEnds, Instant Now) {
  const TaskName Name = parseTaskName(UnitName);
  Job *Job = this->find(Name.JobId);
  if (!Job || hasEnded(Job->Phase) || Name.Occurrence < 0)
    return;
  this->openOccurrence(*Job, Name.Occurrence);
  Unit *Unit = this->unitOf(UnitName);
  if (!Unit)
    return;
  this->RecordedUnits.insert(std::string(UnitName));
  Unit->Run = Record.Run;
  // Records of earlier versions count the failures of tasks that last.
  if (!Unit->spec().LongRunning)
    Unit->Attempts = readAttempts(Record, LeaseEnds);
  for (const PresumedEnd &End : Unit->Attempts.PresumedEnds)
    this->PresumedEndsByWorker[End.Worker].insert(Unit);
  Unit->Crashes = readCrashes(Record, Now);
  for (const CrashRecord &Crash : Unit->Crashes.Crashes)
    if (Crash.Suspected)
      this->SuspectsByWorker[Crash.Worker].insert(Unit);
  if (Record.GangRunEnded)
    Unit->FirstMemberEndedAt = Now;
  Unit->Checkpoint = Record.Checkpoint;
  Unit->PlacedAt = Now;
  if (Record.Done) {
    this->completeUnit(*Unit, Now, 0);
    return;
  }
  const bool Complete =
      Record.Places.size() == static_cast<std::size_t>(Unit->TaskCount);
  if (!Complete)
    return;
  for (const PlaceRecord &Place : Record.Places)
    Unit->Members.push_back({Place.Worker, Place.IncarnationStartMs,
                             MemberPhase::Adopted, false, false, false, Now});
  this->registerMembers(*Unit);
}

void JobTable::openOccurrence(Job &Job, std::int64_t Number) {
  const auto [Entry, Added] = Job.Occurrences.try_emplace(Number);
  if (!Added)
    return;
  Occurrence &Occurrence = Entry->second;
  Occurrence.Number = Number;
  Occurrence.Steps.resize(Job.Submission.Job.Steps.size());
  for (std::size_t Index = 0; Index < Occurrence.Steps.size(); ++Index) {
    const StepSpec &Spec = Job.Submission.Job.Steps[Index];
    const auto UnitCount =
        Spec.Gang ? std::size_t{1} : static_cast<std::size_t>(Spec.TaskCount);
    Occurrence.Steps[Index].Units.resize(UnitCount);
    for (std::size_t Task = 0; Task < UnitCount; ++Task) {
      Unit &Unit = Occurrence.Steps[Index].Units[Task];
      Unit.ParentJob = &Job;
      Unit.Occurrence = Number;
      Unit.Step = Index;
      Unit.FirstTask = static_cast<std::int64_t>(Task);
      Unit.TaskCount = Spec.Gang ? Spec.TaskCount : 1;
    }
  }
}

void JobTable::unlockDueSteps(Instant Now, std::int64_t WallMs) {
  for (auto Id = this->JobsToUnlock.begin(); Id != this->JobsToUnlock.end();) {
    Job &Job = this->Jobs.at(*Id);
    const JobSpec &Spec = Job.Submission.Job;
    const std::int64_t Total = std::max<std::int64_t>(Spec.Occurrences, 1);
    while (Job.NextOccurrence < Total) {
      const std::int64_t DueWallMs =
          Spec.Occurrences > 0
              ? Spec.FirstDueWallMs + Job.NextOccurrence * Spec.IntervalMs
              : 0;
      if (DueWallMs > WallMs)
        break;
      this->openOccurrence(Job, Job.NextOccurrence++);
    }
    for (auto &[Number, Occurrence] : Job.Occurrences)
      this->unlockSteps(Job, Occurrence, Now);
    // The job stays listed until every occurrence is open and all of their
    // steps are unlocked.
    const bool AllOpen =
        Job.NextOccurrence >= Total &&
        std::ranges::all_of(Job.Occurrences, [](const auto &Entry) {
          return std::ranges::all_of(Entry.second.Steps, &StepState::Unlocked);
        });
    Id = AllOpen ? this->JobsToUnlock.erase(Id) : std::next(Id);
  }
}

void JobTable::unlockSteps(Job &Job, Occurrence &Occurrence, Instant Now) {
  for (std::size_t Index = 0; Index < Occurrence.Steps.size(); ++Index) {
    StepState &Step = Occurrence.Steps[Index];
    if (Step.Unlocked)
      continue;
    const auto &After = Job.Submission.Job.Steps[Index].After;
    const bool Due =
        std::ranges::all_of(After, [&Occurrence](std::int64_t Earlier) {
          const StepState &Before =
              Occurrence.Steps[static_cast<std::size_t>(Earlier)];
          return Before.DoneUnits == Before.Units.size();
        });
    if (!Due)
      continue;
    Step.Unlocked = true;
    for (Unit &Waiting : Step.Units) {
      Waiting.ReadySince = Now;
      if (Waiting.waiting())
        this->Waiting.insert(&Waiting);
    }
  }
}

std::vector<Unit *> JobTable::placeable(Instant Now) {
  std::vector<Unit *> Ready;
  for (Unit *Unit : this->Waiting) {
    const std::int64_t Limit = Unit->ParentJob->Submission.Terms.MaxAttempts;
    const bool MayRun =
        Unit->spec().LongRunning || mayRunAgain(Unit->Attempts, Limit, Now);
    if (MayRun && Unit->NotBefore <= Now &&
        mayStartAfterCrashes(Unit->Crashes, Now))
      Ready.push_back(Unit);
  }
  return Ready;
}

std::vector<Unit *> JobTable::active() {
  return {this->Active.begin(), this->Active.end()};
}

void JobTable::place(Unit &Unit, std::span<const PlaceRecord> Places,
                     Instant Now, std::string Detail) {
  this->endClaim(Unit, Places, Now, "other_workers");
  ++Unit.Run;
  Unit.FullyStarted = false;
  Unit.FromScratch = Unit.Checkpoint.empty();
  Unit.FirstMemberEndedAt = {};
  Unit.ReservedWorkers.clear();
  pauseHeldBack(Unit.HeldBackTime, Now);
  Unit.PlacedAt = Now;
  Unit.Members.clear();
  for (const PlaceRecord &Place : Places)
    Unit.Members.push_back({Place.Worker, Place.IncarnationStartMs,
                            MemberPhase::Planned, false, false, false, Now});
  this->registerMembers(Unit);
  this->markDirty(Unit);
  std::string Workers;
  for (const PlaceRecord &Place : Places)
    Workers += (Workers.empty() ? "" : ",") + Place.Worker;
  this->recordEvent(TableEvent::Kind::Placed, Unit.name(), std::move(Workers),
                    Unit.Run, std::move(Detail), (Now - Unit.ReadySince).Ms);
}

void JobTable::registerMembers(Unit &Unit) {
  this->Waiting.erase(&Unit);
  this->Active.insert(&Unit);
  for (std::size_t Index = 0; Index < Unit.Members.size(); ++Index)
    this->MembersByWorker[Unit.Members[Index].Worker].push_back({&Unit, Index});
}

void JobTable::preempt(Unit &Unit, Instant Now, std::string_view Reason) {
  this->stopMembers(Unit, Now, Reason);
}

void JobTable::stopMembers(Unit &Unit, Instant Now, std::string_view Reason) {
  bool Changed = false;
  for (std::size_t Index = 0; Index < Unit.Members.size(); ++Index) {
    Member &Entry = Unit.Members[Index];
    if (Entry.Phase == MemberPhase::Ended || Entry.StopRequested)
      continue;
    Entry.StopRequested = true;
    Changed = true;
  }
  if (Changed)
    this->recordEvent(TableEvent::Kind::StopRequested, Unit.name(), {},
                      Unit.Run, std::string(Reason));
  // Members without a start order that may take effect need no stop.
  for (std::size_t Index = 0; Index < Unit.Members.size(); ++Index) {
    const MemberPhase Phase = Unit.Members[Index].Phase;
    if (Phase == MemberPhase::Planned || Phase == MemberPhase::Refused)
      this->endMember(Unit, Index, Now);
  }
  this->requeueIfEnded(Unit, Now);
}

void JobTable::reserve(Unit &Unit, std::span<const std::string> Workers,
                       Instant Now) {
  if (std::ranges::equal(Unit.ReservedWorkers, Workers))
    return;
  Unit.ReservedWorkers.assign(Workers.begin(), Workers.end());
  Unit.ReservedAt = Now;
  this->recordEvent(TableEvent::Kind::Reserved, Unit.name(), Workers.front(),
                    Unit.Run, std::to_string(Workers.size()) + " workers",
                    (Now - Unit.ReadySince).Ms);
}

void JobTable::claim(Unit &Unit, CapacityClaim Claim) {
  Unit.Claim = std::move(Claim);
}

void JobTable::dropClaim(Unit &Unit, Instant Now, std::string_view Reason) {
  this->endClaim(Unit, {}, Now, Reason);
}

void JobTable::endClaim(Unit &Unit, std::span<const PlaceRecord> Used,
                        Instant Now, std::string_view Reason) {
  const CapacityClaim Claim = std::exchange(Unit.Claim, {});
  const auto Unused =
      std::ranges::count_if(Claim.VictimWorkers, [&](const std::string &Id) {
        return std::ranges::find(Used, Id, &PlaceRecord::Worker) == Used.end();
      });
  if (Unused == 0)
    return;
  this->recordEvent(Used.empty() ? TableEvent::Kind::ClaimFailed
                                 : TableEvent::Kind::ClaimReplaced,
                    Unit.name(), {}, Unit.Run, std::string(Reason),
                    (Now - Claim.At).Ms);
  this->Events.back().Victims = Unused;
}

void JobTable::noteHeldBack(std::span<Unit *const> HeldBack, Instant Now) {
  const std::set<const Unit *> Listed(HeldBack.begin(), HeldBack.end());
  for (Unit *Entry : this->Waiting) {
    if (Listed.contains(Entry))
      holdBack(Entry->HeldBackTime, Now);
    else
      pauseHeldBack(Entry->HeldBackTime, Now);
  }
}

void JobTable::noteWait(Unit &Unit, std::string_view Reason, Instant Now) {
  Unit.WaitNotedAt = Now;
  this->recordEvent(TableEvent::Kind::StillWaiting, Unit.name(), {}, Unit.Run,
                    std::string(Reason), (Now - Unit.ReadySince).Ms);
}

bool JobTable::markSent(const MemberRef &Ref, std::int64_t Run, Instant Now) {
  if (Ref.ParentUnit->Run != Run || Ref.Index >= Ref.ParentUnit->Members.size())
    return false;
  Member &Entry = Ref.member();
  if (Entry.Phase != MemberPhase::Planned)
    return false;
  Entry.Phase = MemberPhase::Sent;
  Entry.PhaseSince = Now;
  return true;
}

void JobTable::confirm(std::string_view Task, std::int64_t Run, Instant Now) {
  const TaskLocation Place = this->findTask(Task);
  if (!Place.ParentUnit || Place.ParentUnit->Run != Run ||
      Place.Index >= Place.ParentUnit->Members.size())
    return;
  Member &Entry = Place.ParentUnit->Members[Place.Index];
  const bool Expected =
      Entry.Phase == MemberPhase::Sent || Entry.Phase == MemberPhase::Adopted;
  if (!Expected)
    return;
  const Duration StartTime = Now - Entry.PhaseSince;
  Entry.Phase = MemberPhase::Running;
  Entry.PhaseSince = Now;
  if (Place.ParentUnit->allRunning()) {
    Place.ParentUnit->FullyStarted = true;
    Place.ParentUnit->HeldBackTime = {};
  }
  this->recordEvent(TableEvent::Kind::Confirmed, std::string(Task),
                    Entry.Worker, Run, {}, StartTime.Ms);
  Job &Job = *Place.ParentUnit->ParentJob;
  if (Job.Phase == JobPhase::Queued) {
    Job.Phase = JobPhase::Running;
    this->DirtyPhases[Job.Id] = {JobPhase::Running, 0};
  }
}

void JobTable::refuse(std::string_view Task, std::int64_t Run, Instant Now,
                      Duration Pause, std::string_view Reason) {
  const TaskLocation Place = this->findTask(Task);
  if (!Place.ParentUnit || Place.ParentUnit->Run != Run ||
      Place.Index >= Place.ParentUnit->Members.size())
    return;
  Unit &Unit = *Place.ParentUnit;
  if (Unit.Members[Place.Index].Phase != MemberPhase::Sent)
    return;
  this->recordEvent(TableEvent::Kind::Refused, std::string(Task),
                    Unit.Members[Place.Index].Worker, Run, std::string(Reason));
  const bool MayMove = Unit.isGang() && Unit.TaskCount > 1 && !Unit.Done &&
                       !hasEnded(Unit.ParentJob->Phase) &&
                       !Unit.Members[Place.Index].StopRequested;
  if (MayMove) {
    this->removeFromWorker(Unit, Place.Index);
    Unit.Members[Place.Index].Phase = MemberPhase::Refused;
    Unit.Members[Place.Index].PhaseSince = Now;
    return;
  }
  Unit.NotBefore = std::max(Unit.NotBefore, Now + Pause);
  this->endMember(Unit, Place.Index, Now);
  this->stopMembers(Unit, Now, "refused");
}

void JobTable::moveMember(const MemberRef &Ref, const PlaceRecord &Place,
                          Instant Now) {
  Member &Entry = Ref.member();
  Entry.Worker = Place.Worker;
  Entry.IncarnationStartMs = Place.IncarnationStartMs;
  Entry.Phase = MemberPhase::Planned;
  Entry.PhaseSince = Now;
  Entry.RestartedSinceSent = false;
  this->MembersByWorker[Place.Worker].push_back(Ref);
  this->markDirty(*Ref.ParentUnit);
  this->recordEvent(TableEvent::Kind::Placed,
                    Ref.ParentUnit->taskName(Ref.Index), Place.Worker,
                    Ref.ParentUnit->Run, "moved");
}

Member *JobTable::findMember(std::string_view Task, std::int64_t Run) {
  const TaskLocation Place = this->findTask(Task);
  if (!Place.ParentUnit || Place.ParentUnit->Run != Run ||
      Place.Index >= Place.ParentUnit->Members.size())
    return nullptr;
  return &Place.ParentUnit->Members[Place.Index];
}

void JobTable::giveUpStart(std::string_view Task, std::int64_t Run) {
  Member *Entry = this->findMember(Task, Run);
  if (Entry && Entry->Phase == MemberPhase::Sent)
    Entry->StartGivenUp = true;
}

void JobTable::stopAccepted(std::string_view Task, std::int64_t Run,
                            Instant Now) {
  if (Member *Entry = this->findMember(Task, Run))
    Entry->StopAcceptedAt = Now;
}

void JobTable::endMember(Unit &Unit, std::size_t Index, Instant Now) {
  Member &Entry = Unit.Members[Index];
  if (Entry.Phase == MemberPhase::Ended)
    return;
  Entry.Phase = MemberPhase::Ended;
  Entry.PhaseSince = Now;
  if (Unit.isGang() && Unit.FullyStarted && Unit.FirstMemberEndedAt.Ms == 0)
    Unit.FirstMemberEndedAt = Now;
  this->removeFromWorker(Unit, Index);
}

void JobTable::removeFromWorker(Unit &Unit, std::size_t Index) {
  auto &List = this->MembersByWorker[Unit.Members[Index].Worker];
  std::erase_if(List, [&Unit, Index](const MemberRef &Ref) {
    return Ref.ParentUnit == &Unit && Ref.Index == Index;
  });
}

void JobTable::requeueIfEnded(Unit &Unit, Instant Now) {
  const bool AllEnded =
      std::ranges::all_of(Unit.Members, [](const Member &Entry) {
        return Entry.Phase == MemberPhase::Ended;
      });
  if (Unit.Members.empty() || !AllEnded)
    return;
  Unit.Members.clear();
  this->Active.erase(&Unit);
  if (Unit.Done || hasEnded(Unit.ParentJob->Phase))
    return;
  Unit.ReadySince = Now;
  this->Waiting.insert(&Unit);
  this->markDirty(Unit);
}

std::span<const MemberRef> JobTable::membersOn(std::string_view Worker) const {
  const auto Match = this->MembersByWorker.find(std::string(Worker));
  if (Match == this->MembersByWorker.end())
    return {};
  return Match->second;
}

Resources JobTable::occupiedCapacity(std::string_view Worker) const {
  Resources Used;
  for (const MemberRef &Ref : this->membersOn(Worker))
    Used = Used + countedDemand(Ref.ParentUnit->spec());
  return Used;
}

Resources JobTable::neededBy(std::span<const RunningTask> Runs) {
  Resources Used;
  for (const RunningTask &Run : Runs)
    if (const StepSpec *Step = this->stepOf(Run.Task))
      Used = Used + countedDemand(*Step);
  return Used;
}

/// Returns a task's step, also if its job ended before this table was built and
/// so has no units; null if the job is unknown.
const StepSpec *JobTable::stepOf(std::string_view Task) {
  const TaskName Name = parseTaskName(Task);
  const Job *Job = this->find(Name.JobId);
  if (!Job || Name.Step < 0)
    return nullptr;
  const std::vector<StepSpec> &Steps = Job->Submission.Job.Steps;
  const auto Index = static_cast<std::size_t>(Name.Step);
  return Index < Steps.size() ? &Steps[Index] : nullptr;
}

} // namespace pistachioflow
