#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/sched/job_table.hpp"

namespace pistachioflow {

namespace {

CrashEvidence evidenceOf(const Unit &Unit, const Member &Crashed) {
  if (Crashed.Phase != MemberPhase::Running)
    return CrashEvidence::Unconfirmed;
  const bool Outlived = Crashed.ReportedAt.Ms > 0 &&
                        Crashed.ReportedAt - Unit.PlacedAt >= EarlyCrashWindow;
  return Outlived ? CrashEvidence::Late : CrashEvidence::Early;
}

bool wasSent(const Member &Entry) {
  return Entry.Phase != MemberPhase::Planned &&
         Entry.Phase != MemberPhase::Refused;
}

CrashRecord crashOf(const Unit &Unit, std::size_t Index, bool Shared) {
  const Member &Crashed = Unit.Members[Index];
  CrashRecord Crash;
  Crash.Worker = Crashed.Worker;
  Crash.IncarnationStartMs = Crashed.IncarnationStartMs;
  Crash.Run = Unit.Run;
  Crash.Member = static_cast<std::int64_t>(Index);
  Crash.Evidence = evidenceOf(Unit, Crashed);
  Crash.Shared = Shared;
  return Crash;
}

} // namespace

/// Returns the members on a worker. Taken before any of them is ended, since
/// each crash makes a suspect of its unit.
std::vector<JobTable::ExposedMember>
JobTable::exposedMembers(std::string_view Worker) const {
  std::vector<ExposedMember> Result;
  std::vector<const Job *> JobsOfSuspects;
  for (const MemberRef &Ref : this->membersOn(Worker)) {
    if (Ref.Index >= Ref.ParentUnit->Members.size())
      continue;
    Result.push_back({Ref});
    if (Ref.ParentUnit->mayCrashWorker() && wasSent(Ref.member()))
      JobsOfSuspects.push_back(Ref.ParentUnit->ParentJob);
  }
  for (ExposedMember &Exposed : Result)
    Exposed.Shared =
        std::ranges::any_of(JobsOfSuspects, [&Exposed](const Job *Other) {
          return Other != Exposed.Ref.ParentUnit->ParentJob;
        });
  return Result;
}

/// Counts the crash of a member's worker. Precondition: the member's start was
/// sent to the worker's earlier incarnation, or may have been.
void JobTable::recordCrash(const ExposedMember &Exposed,
                           std::int64_t IncarnationAfter, Instant Now,
                           std::int64_t WallMs) {
  Unit &Unit = *Exposed.Ref.ParentUnit;
  const CrashRecord Crash = crashOf(Unit, Exposed.Ref.Index, Exposed.Shared);
  if (pistachioflow::recordCrash(Unit.Crashes, Crash))
    this->applyCrash(Unit, Crash, IncarnationAfter, Now, WallMs);
}

/// Remembers that a member's worker was lost. Whether it crashed shows when it
/// returns.
void JobTable::suspectCrash(const ExposedMember &Exposed, Instant Now) {
  Unit &Unit = *Exposed.Ref.ParentUnit;
  const Member &Lost = Exposed.Ref.member();
  if (!wasSent(Lost) || hasEnded(Unit.ParentJob->Phase))
    return; // Records of ended jobs are dropped.
  pistachioflow::suspectCrash(
      Unit.Crashes, crashOf(Unit, Exposed.Ref.Index, Exposed.Shared), Now);
  this->SuspectsByWorker[Lost.Worker].insert(&Unit);
  this->markDirty(Unit);
}

void JobTable::workerCrashed(std::string_view Worker, Instant Now,
                             std::int64_t WallMs, std::string_view Reason) {
  constexpr std::int64_t NoIncarnation = 0;
  for (const ExposedMember &Exposed : this->exposedMembers(Worker)) {
    const MemberRef &Ref = Exposed.Ref;
    const bool Current = Ref.Index < Ref.ParentUnit->Members.size() &&
                         Ref.member().Worker == Worker;
    if (Current && wasSent(Ref.member()) &&
        !hasEnded(Ref.ParentUnit->ParentJob->Phase))
      this->recordCrash(Exposed, NoIncarnation, Now, WallMs);
  }
  this->workerLost(Worker, Now, Reason);
}

void JobTable::settleSuspicions(std::string_view Worker,
                                std::int64_t IncarnationStartMs, Instant Now,
                                std::int64_t WallMs) {
  const auto Match = this->SuspectsByWorker.find(std::string(Worker));
  const bool IncarnationKnown = IncarnationStartMs > 0;
  if (Match == this->SuspectsByWorker.end() || !IncarnationKnown)
    return;
  const std::set<Unit *> Units = std::exchange(Match->second, {});
  this->SuspectsByWorker.erase(Match);
  for (Unit *Suspect : Units) {
    this->markDirty(*Suspect);
    for (const CrashRecord &Crash : pistachioflow::settleSuspicions(
             Suspect->Crashes, Worker, IncarnationStartMs))
      this->applyCrash(*Suspect, Crash, IncarnationStartMs, Now, WallMs);
  }
}

void JobTable::giveUpAfterLosses(Instant Now, std::int64_t WallMs) {
  std::set<Job *> GivenUp;
  for (const Unit *Entry : this->Waiting)
    if (Entry->mayCrashWorker() && lossLimitReached(Entry->Crashes, Now))
      GivenUp.insert(Entry->ParentJob);
  for (Job *Entry : GivenUp)
    if (!hasEnded(Entry->Phase))
      this->endJob(*Entry, JobPhase::Failed, WallMs, Now, "losses");
}

/// Holds back the unit after a crash under it, and gives its job up at the
/// limit.
void JobTable::applyCrash(Unit &Unit, const CrashRecord &Crash,
                          std::int64_t IncarnationAfter, Instant Now,
                          std::int64_t WallMs) {
  this->recordEvent(TableEvent::Kind::WorkerCrashed,
                    Unit.taskName(static_cast<std::size_t>(Crash.Member)),
                    Crash.Worker, Crash.Run,
                    std::string(toString(Crash.Evidence)));
  TableEvent &Event = this->Events.back();
  Event.IncarnationBefore = Crash.IncarnationStartMs;
  Event.IncarnationAfter = IncarnationAfter;
  Event.Crashes = crashesUnder(Unit.Crashes, Crash.Member);
  Event.SharedWorker = Crash.Shared;
  Unit.FailedWorkers.insert(Crash.Worker);
  Unit.NotBefore =
      std::max(Unit.NotBefore, Now + crashBackoff(Unit.Crashes, Crash.Member));
  this->markDirty(Unit);
  const bool GivenUp = !Unit.Done && !hasEnded(Unit.ParentJob->Phase) &&
                       crashLimitReached(Unit.Crashes);
  if (GivenUp)
    this->endJob(*Unit.ParentJob, JobPhase::Failed, WallMs, Now, "crashes");
}

} // namespace pistachioflow
