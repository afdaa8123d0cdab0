#include "pistachioflow/sched/job_table.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// A job or a unit that failed early on this many workers, and on none ran for
/// longer, is at fault rather than its workers.
constexpr std::size_t FaultyWorkerCount = 3;

} // namespace

bool failsByItself(Unit &Failed, std::string_view Worker) {
  Failed.EarlyFailedWorkers.emplace(Worker);
  const Job &Job = *Failed.ParentJob;
  const bool JobFails = !Job.OutlivedEarlyFailure &&
                        Job.FailedWorkers.size() >= FaultyWorkerCount;
  return JobFails || Failed.EarlyFailedWorkers.size() >= FaultyWorkerCount;
}

void outliveEarlyFailure(Unit &Sound) {
  Sound.EarlyFailedWorkers.clear();
  Sound.ParentJob->OutlivedEarlyFailure = true;
}

void JobTable::failIfExhausted(Unit &Unit, Instant Now, std::int64_t WallMs) {
  const std::int64_t MaxAttempts = Unit.ParentJob->Submission.Terms.MaxAttempts;
  const bool Exhausted = !Unit.Done && !Unit.spec().LongRunning &&
                         Unit.Attempts.failures() >= MaxAttempts;
  if (Exhausted && !hasEnded(Unit.ParentJob->Phase))
    this->endJob(*Unit.ParentJob, JobPhase::Failed, WallMs, Now, "attempts");
}

/// Counts the failure of a run that was presumed to have ended before its
/// worker could report it.
void JobTable::applyLateEnd(Unit &Unit, std::string_view Worker,
                            const EndedRun &End, Instant Now,
                            std::int64_t WallMs) {
  const bool Presumed = std::ranges::any_of(
      Unit.Attempts.PresumedEnds, [&](const PresumedEnd &Entry) {
        return Entry.Worker == Worker && Entry.Run == End.Run;
      });
  if (!Presumed || End.Outcome != RunOutcome::Failed || Unit.Done ||
      !countFailure(Unit.Attempts, End.Run))
    return;
  this->recordEvent(TableEvent::Kind::Ended, End.Task, std::string(Worker),
                    End.Run, "failed_unseen");
  Unit.FailedWorkers.emplace(Worker);
  this->markDirty(Unit);
  this->failIfExhausted(Unit, Now, WallMs);
}

/// Removes the presumed ends of runs that the worker no longer reports as
/// running: it reports an end until it is acknowledged.
void JobTable::resolvePresumedEnds(std::string_view Worker,
                                   const WorkerReport &Report) {
  const auto Match = this->PresumedEndsByWorker.find(std::string(Worker));
  if (Match == this->PresumedEndsByWorker.end())
    return;
  for (auto Entry = Match->second.begin(); Entry != Match->second.end();) {
    Unit &Unit = **Entry;
    const bool StillRunning =
        std::ranges::any_of(Report.Running, [&](const RunningTask &Task) {
          return this->findTask(Task.Task).ParentUnit == &Unit;
        });
    if (StillRunning) {
      ++Entry;
      continue;
    }
    std::erase_if(Unit.Attempts.PresumedEnds,
                  [&](const PresumedEnd &End) { return End.Worker == Worker; });
    this->markDirty(Unit);
    Entry = Match->second.erase(Entry);
  }
  if (Match->second.empty())
    this->PresumedEndsByWorker.erase(Match);
}

} // namespace pistachioflow
