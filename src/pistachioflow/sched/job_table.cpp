#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pistachioflow {

namespace {

/// The four numbers in the name of a task, ID.K.STEP.INDEX. Index is -1 in the
/// name of a gang.
struct TaskName {
  std::string_view JobId;
  std::int64_t Occurrence = -1;
  std::int64_t Step = -1;
  std::int64_t Index = -1;
};

std::int64_t takeNumber(std::string_view &Rest) {
  if (!Rest.starts_with('.'))
    return -1;
  Rest.remove_prefix(1);
  std::int64_t Number = -1;
  const auto Read =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  if (Read.ec != std::errc() || Number < 0)
    return -1;
  Rest.remove_prefix(static_cast<std::size_t>(Read.ptr - Rest.data()));
  return Number;
}

TaskName parseTaskName(std::string_view Name) {
  const auto Dot = std::min(Name.find('.'), Name.size());
  std::string_view Rest = Name.substr(Dot);
  TaskName Parsed{Name.substr(0, Dot)};
  Parsed.Occurrence = takeNumber(Rest);
  Parsed.Step = takeNumber(Rest);
  if (!Rest.empty())
    Parsed.Index = takeNumber(Rest);
  return Parsed;
}

Resources plus(Resources Left, const Resources &Right) {
  Left.MilliCores += Right.MilliCores;
  Left.MemoryMb += Right.MemoryMb;
  Left.Accelerators += Right.Accelerators;
  return Left;
}

} // namespace

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
  const auto Found = this->Jobs.find(std::string(JobId));
  return Found == this->Jobs.end() ? nullptr : &Found->second;
}

Unit *JobTable::findUnit(std::string_view UnitName) {
  return this->findTask(UnitName).ParentUnit;
}

JobTable::TaskLocation JobTable::findTask(std::string_view Task) {
  const TaskName Name = parseTaskName(Task);
  Job *Owner = this->find(Name.JobId);
  if (!Owner || Name.Occurrence < 0 || Name.Step < 0)
    return {};
  const auto Found = Owner->Occurrences.find(Name.Occurrence);
  if (Found == Owner->Occurrences.end() ||
      static_cast<std::size_t>(Name.Step) >= Found->second.Steps.size())
    return {};
  StepState &Step = Found->second.Steps[static_cast<std::size_t>(Name.Step)];
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
  Job &Made = Entry->second;
  Made.Id = JobId;
  Made.Submission = std::move(Submission);
  const std::int64_t AgeMs =
      std::max<std::int64_t>(WallMs - Made.Submission.AcceptedWallMs, 0);
  Made.AcceptedAt = Now - Duration{AgeMs};
  this->JobsToUnlock.insert(Made.Id);
}

void JobTable::addCancellation(std::string_view JobId, std::int64_t WallMs,
                               Instant Now) {
  Job *Owner = this->find(JobId);
  if (Owner && !hasEnded(Owner->Phase))
    this->endJob(*Owner, JobPhase::Cancelled, WallMs, Now, "caller");
}

void JobTable::restorePhase(std::string_view JobId,
                            const JobPhaseRecord &Record) {
  Job *Owner = this->find(JobId);
  if (!Owner)
    return;
  Owner->Phase = Record.Phase;
  Owner->EndedWallMs = Record.EndedWallMs;
  if (hasEnded(Record.Phase))
    this->JobsToUnlock.erase(Owner->Id);
}

void JobTable::restoreUnit(std::string_view UnitName, const UnitRecord &Record,
                           Instant Now) {
  const TaskName Name = parseTaskName(UnitName);
  Job *Owner = this->find(Name.JobId);
  if (!Owner || hasEnded(Owner->Phase) || Name.Occurrence < 0)
    return;
  this->openOccurrence(*Owner, Name.Occurrence);
  Unit *Of = this->findUnit(UnitName);
  if (!Of)
    return;
  this->RecordedUnits.insert(std::string(UnitName));
  Of->Run = Record.Run;
  Of->Failures = Record.Failures;
  Of->FailedRun = Record.FailedRun;
  if (Record.GangRunEnded)
    Of->FirstMemberEndedAt = Now;
  Of->Checkpoint = Record.Checkpoint;
  Of->PlacedAt = Now;
  if (Record.Done) {
    this->completeUnit(*Of, Now, 0);
    return;
  }
  const bool Whole =
      Record.Places.size() == static_cast<std::size_t>(Of->TaskCount);
  if (!Whole)
    return;
  for (const PlaceRecord &Place : Record.Places)
    Of->Members.push_back({Place.Worker, Place.IncarnationStartMs,
                           MemberPhase::Adopted, false, Now, Instant{},
                           Instant{}});
  this->registerMembers(*Of);
}

void JobTable::openOccurrence(Job &Owner, std::int64_t Number) {
  const auto [Entry, Added] = Owner.Occurrences.try_emplace(Number);
  if (!Added)
    return;
  Occurrence &Made = Entry->second;
  Made.Number = Number;
  Made.Steps.resize(Owner.Submission.Job.Steps.size());
  for (std::size_t Index = 0; Index < Made.Steps.size(); ++Index) {
    const StepSpec &Spec = Owner.Submission.Job.Steps[Index];
    const auto UnitCount =
        Spec.Gang ? std::size_t{1} : static_cast<std::size_t>(Spec.TaskCount);
    Made.Steps[Index].Units.resize(UnitCount);
    for (std::size_t Task = 0; Task < UnitCount; ++Task) {
      Unit &Of = Made.Steps[Index].Units[Task];
      Of.ParentJob = &Owner;
      Of.Occurrence = Number;
      Of.Step = Index;
      Of.FirstTask = static_cast<std::int64_t>(Task);
      Of.TaskCount = Spec.Gang ? Spec.TaskCount : 1;
    }
  }
}

void JobTable::unlockDueSteps(Instant Now, std::int64_t WallMs) {
  for (auto Id = this->JobsToUnlock.begin(); Id != this->JobsToUnlock.end();) {
    Job &Owner = this->Jobs.at(*Id);
    const JobSpec &Spec = Owner.Submission.Job;
    const std::int64_t Total = std::max<std::int64_t>(Spec.Occurrences, 1);
    while (Owner.NextOccurrence < Total) {
      const std::int64_t DueWallMs =
          Spec.Occurrences > 0
              ? Spec.FirstDueWallMs + Owner.NextOccurrence * Spec.IntervalMs
              : 0;
      if (DueWallMs > WallMs)
        break;
      this->openOccurrence(Owner, Owner.NextOccurrence++);
    }
    for (auto &[Number, Of] : Owner.Occurrences)
      this->unlockSteps(Owner, Of, Now);
    // Steps are unlocked here until every occurrence has been opened and each
    // of its steps unlocked.
    const bool AllOpen =
        Owner.NextOccurrence >= Total &&
        std::ranges::all_of(Owner.Occurrences, [](const auto &Entry) {
          return std::ranges::all_of(Entry.second.Steps, &StepState::Unlocked);
        });
    Id = AllOpen ? this->JobsToUnlock.erase(Id) : std::next(Id);
  }
}

void JobTable::unlockSteps(Job &Owner, Occurrence &Of, Instant Now) {
  for (std::size_t Index = 0; Index < Of.Steps.size(); ++Index) {
    StepState &Step = Of.Steps[Index];
    if (Step.Unlocked)
      continue;
    const auto &After = Owner.Submission.Job.Steps[Index].After;
    const bool Due = std::ranges::all_of(After, [&Of](std::int64_t Earlier) {
      const StepState &Before = Of.Steps[static_cast<std::size_t>(Earlier)];
      return Before.DoneUnits == Before.Units.size();
    });
    if (!Due)
      continue;
    Step.Unlocked = true;
    for (Unit &Waiter : Step.Units) {
      Waiter.ReadySince = Now;
      if (Waiter.waiting())
        this->Waiting.insert(&Waiter);
    }
  }
}

std::vector<Unit *> JobTable::placeable(Instant Now) {
  std::vector<Unit *> Ready;
  for (Unit *Of : this->Waiting)
    if (Of->NotBefore <= Now)
      Ready.push_back(Of);
  return Ready;
}

std::vector<Unit *> JobTable::active() {
  return {this->Active.begin(), this->Active.end()};
}

void JobTable::place(Unit &Of, std::span<const PlaceRecord> Places,
                     Instant Now) {
  ++Of.Run;
  Of.FullyStarted = false;
  Of.FirstMemberEndedAt = {};
  Of.ReservedWorkers.clear();
  Of.PlacedAt = Now;
  Of.Members.clear();
  for (const PlaceRecord &Place : Places)
    Of.Members.push_back({Place.Worker, Place.IncarnationStartMs,
                          MemberPhase::Planned, false, Now, Instant{}});
  this->registerMembers(Of);
  this->markDirty(Of);
  std::string Workers;
  for (const PlaceRecord &Place : Places)
    Workers += (Workers.empty() ? "" : ",") + Place.Worker;
  this->recordEvent(TableEvent::Kind::Placed, Of.name(), std::move(Workers),
                    Of.Run, {}, (Now - Of.ReadySince).Ms);
}

void JobTable::registerMembers(Unit &Of) {
  this->Waiting.erase(&Of);
  this->Active.insert(&Of);
  for (std::size_t Index = 0; Index < Of.Members.size(); ++Index)
    this->MembersByWorker[Of.Members[Index].Worker].push_back({&Of, Index});
}

void JobTable::preempt(Unit &Of, Instant Now, std::string_view Reason) {
  this->stopMembers(Of, Now, Reason);
}

void JobTable::stopMembers(Unit &Of, Instant Now, std::string_view Reason) {
  bool Changed = false;
  for (std::size_t Index = 0; Index < Of.Members.size(); ++Index) {
    Member &Entry = Of.Members[Index];
    if (Entry.Phase == MemberPhase::Ended || Entry.StopRequested)
      continue;
    Entry.StopRequested = true;
    Changed = true;
  }
  if (Changed)
    this->recordEvent(TableEvent::Kind::StopRequested, Of.name(), {}, Of.Run,
                      std::string(Reason));
  // Members that no worker was told to start need no stop.
  for (std::size_t Index = 0; Index < Of.Members.size(); ++Index) {
    const MemberPhase Phase = Of.Members[Index].Phase;
    if (Phase == MemberPhase::Planned || Phase == MemberPhase::Refused)
      this->endMember(Of, Index, Now);
  }
  this->requeueIfEnded(Of, Now);
}

void JobTable::reserve(Unit &Of, std::span<const std::string> Workers,
                       Instant Now) {
  if (std::ranges::equal(Of.ReservedWorkers, Workers))
    return;
  Of.ReservedWorkers.assign(Workers.begin(), Workers.end());
  Of.ReservedAt = Now;
  this->recordEvent(TableEvent::Kind::Reserved, Of.name(), Workers.front(),
                    Of.Run, std::to_string(Workers.size()) + " workers",
                    (Now - Of.ReadySince).Ms);
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
  const Duration Took = Now - Entry.PhaseSince;
  Entry.Phase = MemberPhase::Running;
  Entry.PhaseSince = Now;
  Place.ParentUnit->FullyStarted =
      Place.ParentUnit->FullyStarted || Place.ParentUnit->allRunning();
  this->recordEvent(TableEvent::Kind::Confirmed, std::string(Task),
                    Entry.Worker, Run, {}, Took.Ms);
  Job &Owner = *Place.ParentUnit->ParentJob;
  if (Owner.Phase == JobPhase::Queued) {
    Owner.Phase = JobPhase::Running;
    this->DirtyPhases[Owner.Id] = {JobPhase::Running, 0};
  }
}

void JobTable::refuse(std::string_view Task, std::int64_t Run, Instant Now,
                      Duration Pause, std::string_view Reason) {
  const TaskLocation Place = this->findTask(Task);
  if (!Place.ParentUnit || Place.ParentUnit->Run != Run ||
      Place.Index >= Place.ParentUnit->Members.size())
    return;
  Unit &Of = *Place.ParentUnit;
  if (Of.Members[Place.Index].Phase != MemberPhase::Sent)
    return;
  this->recordEvent(TableEvent::Kind::Refused, std::string(Task),
                    Of.Members[Place.Index].Worker, Run, std::string(Reason));
  const bool MayMove = Of.isGang() && Of.TaskCount > 1 && !Of.Done &&
                       !hasEnded(Of.ParentJob->Phase) &&
                       !Of.Members[Place.Index].StopRequested;
  if (MayMove) {
    this->removeFromWorker(Of, Place.Index);
    Of.Members[Place.Index].Phase = MemberPhase::Refused;
    Of.Members[Place.Index].PhaseSince = Now;
    return;
  }
  Of.NotBefore = std::max(Of.NotBefore, Now + Pause);
  this->endMember(Of, Place.Index, Now);
  this->stopMembers(Of, Now, "refused");
}

void JobTable::moveMember(const MemberRef &Ref, const PlaceRecord &Place,
                          Instant Now) {
  Member &Entry = Ref.member();
  Entry.Worker = Place.Worker;
  Entry.IncarnationStartMs = Place.IncarnationStartMs;
  Entry.Phase = MemberPhase::Planned;
  Entry.PhaseSince = Now;
  this->MembersByWorker[Place.Worker].push_back(Ref);
  this->markDirty(*Ref.ParentUnit);
  this->recordEvent(TableEvent::Kind::Placed,
                    Ref.ParentUnit->taskName(Ref.Index), Place.Worker,
                    Ref.ParentUnit->Run, "moved");
}

void JobTable::stopAccepted(std::string_view Task, std::int64_t Run,
                            Instant Now) {
  const TaskLocation Place = this->findTask(Task);
  if (!Place.ParentUnit || Place.ParentUnit->Run != Run ||
      Place.Index >= Place.ParentUnit->Members.size())
    return;
  Place.ParentUnit->Members[Place.Index].StopAcceptedAt = Now;
}

void JobTable::endMember(Unit &Of, std::size_t Index, Instant Now) {
  Member &Entry = Of.Members[Index];
  if (Entry.Phase == MemberPhase::Ended)
    return;
  Entry.Phase = MemberPhase::Ended;
  Entry.PhaseSince = Now;
  if (Of.isGang() && Of.FullyStarted && Of.FirstMemberEndedAt.Ms == 0)
    Of.FirstMemberEndedAt = Now;
  this->removeFromWorker(Of, Index);
}

void JobTable::removeFromWorker(Unit &Of, std::size_t Index) {
  auto &List = this->MembersByWorker[Of.Members[Index].Worker];
  std::erase_if(List, [&Of, Index](const MemberRef &Ref) {
    return Ref.ParentUnit == &Of && Ref.Index == Index;
  });
}

void JobTable::requeueIfEnded(Unit &Of, Instant Now) {
  const bool AllGone = std::ranges::all_of(Of.Members, [](const Member &Entry) {
    return Entry.Phase == MemberPhase::Ended;
  });
  if (Of.Members.empty() || !AllGone)
    return;
  Of.Members.clear();
  this->Active.erase(&Of);
  if (Of.Done || hasEnded(Of.ParentJob->Phase))
    return;
  Of.ReadySince = Now;
  this->Waiting.insert(&Of);
  this->markDirty(Of);
}

std::span<const MemberRef> JobTable::membersOn(std::string_view Worker) const {
  const auto Found = this->MembersByWorker.find(std::string(Worker));
  if (Found == this->MembersByWorker.end())
    return {};
  return Found->second;
}

Resources JobTable::occupiedCapacity(std::string_view Worker) const {
  Resources Used;
  for (const MemberRef &Ref : this->membersOn(Worker)) {
    Resources Each = Ref.ParentUnit->spec().TaskResources;
    if (Ref.ParentUnit->spec().FillsIdleCpu)
      Each.MilliCores = 0;
    Used = plus(Used, Each);
  }
  return Used;
}

} // namespace pistachioflow
