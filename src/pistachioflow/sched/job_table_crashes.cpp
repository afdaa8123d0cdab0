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

CrashRecord crashOf(const Unit &Unit, std::size_t Index) {
  const Member &Crashed = Unit.Members[Index];
  CrashRecord Crash;
  Crash.Worker = Crashed.Worker;
  Crash.IncarnationStartMs = Crashed.IncarnationStartMs;
  Crash.Run = Unit.Run;
  Crash.Member = static_cast<std::int64_t>(Index);
  Crash.Evidence = evidenceOf(Unit, Crashed);
  return Crash;
}

} // namespace

/// Counts the crash of a member's worker. Precondition: the member's start was
/// sent to the worker's earlier incarnation, or may have been.
void JobTable::recordCrash(Unit &Unit, std::size_t Index,
                           std::int64_t IncarnationAfter, Instant Now,
                           std::int64_t WallMs) {
  const CrashRecord Crash = crashOf(Unit, Index);
  if (pistachioflow::recordCrash(Unit.Crashes, Crash))
    this->applyCrash(Unit, Crash, IncarnationAfter, Now, WallMs);
}

/// Remembers that a member's worker was lost. Whether it crashed shows when it
/// returns.
void JobTable::suspectCrash(Unit &Unit, std::size_t Index, Instant Now) {
  const MemberPhase Phase = Unit.Members[Index].Phase;
  const bool NeverSent =
      Phase == MemberPhase::Planned || Phase == MemberPhase::Refused;
  if (NeverSent || hasEnded(Unit.ParentJob->Phase))
    return; // Records of ended jobs are dropped.
  pistachioflow::suspectCrash(Unit.Crashes, crashOf(Unit, Index), Now);
  this->SuspectsByWorker[Unit.Members[Index].Worker].insert(&Unit);
  this->markDirty(Unit);
}

void JobTable::workerCrashed(std::string_view Worker, Instant Now,
                             std::int64_t WallMs, std::string_view Reason) {
  constexpr std::int64_t NoIncarnation = 0;
  const std::span<const MemberRef> Members = this->membersOn(Worker);
  for (const MemberRef &Ref :
       std::vector<MemberRef>(Members.begin(), Members.end())) {
    const bool Current = Ref.Index < Ref.ParentUnit->Members.size() &&
                         Ref.member().Worker == Worker;
    const bool Sent = Current && Ref.member().Phase != MemberPhase::Planned &&
                      Ref.member().Phase != MemberPhase::Refused;
    if (Sent && !hasEnded(Ref.ParentUnit->ParentJob->Phase))
      this->recordCrash(*Ref.ParentUnit, Ref.Index, NoIncarnation, Now, WallMs);
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
