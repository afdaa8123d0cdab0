#include <string>
#include <utility>

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
  return {Crashed.Worker, Crashed.IncarnationStartMs, Unit.Run,
          static_cast<std::int64_t>(Index), evidenceOf(Unit, Crashed)};
}

} // namespace

/// Records the crash of a member's worker. Precondition: the member's start was
/// sent to the worker's earlier incarnation, or may have been.
void JobTable::recordCrash(Unit &Unit, std::size_t Index,
                           std::int64_t IncarnationAfter) {
  CrashRecord Crash = crashOf(Unit, Index);
  const std::string Worker = Crash.Worker;
  const std::int64_t IncarnationBefore = Crash.IncarnationStartMs;
  const std::string Evidence(toString(Crash.Evidence));
  if (!pistachioflow::recordCrash(Unit.Crashes, std::move(Crash)))
    return;
  this->recordEvent(TableEvent::Kind::WorkerCrashed, Unit.taskName(Index),
                    Worker, Unit.Run, Evidence);
  TableEvent &Event = this->Events.back();
  Event.IncarnationBefore = IncarnationBefore;
  Event.IncarnationAfter = IncarnationAfter;
  Event.Crashes = crashesUnder(Unit.Crashes, static_cast<std::int64_t>(Index));
}

} // namespace pistachioflow
