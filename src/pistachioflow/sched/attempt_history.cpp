#include "pistachioflow/sched/attempt_history.hpp"

#include <algorithm>
#include <set>

namespace pistachioflow {

bool countFailure(AttemptHistory &History, std::int64_t Run) {
  if (std::ranges::find(History.FailedRuns, Run) != History.FailedRuns.end())
    return false;
  History.FailedRuns.push_back(Run);
  return true;
}

void presumeEnd(AttemptHistory &History, std::string_view Worker,
                std::int64_t Run, Instant LeaseEnds) {
  History.PresumedEnds.push_back({std::string(Worker), Run, LeaseEnds});
}

void resolvePresumedEnd(AttemptHistory &History, std::string_view Worker,
                        std::int64_t Run) {
  std::erase_if(History.PresumedEnds, [&](const PresumedEnd &End) {
    return End.Worker == Worker && End.Run == Run;
  });
}

bool mayRunAgain(const AttemptHistory &History, std::int64_t MaxAttempts,
                 Instant Now) {
  std::set<std::int64_t> Runs(History.FailedRuns.begin(),
                              History.FailedRuns.end());
  for (const PresumedEnd &End : History.PresumedEnds)
    if (Now < End.LeaseEnds)
      Runs.insert(End.Run);
  return static_cast<std::int64_t>(Runs.size()) < MaxAttempts;
}

void writeAttempts(const AttemptHistory &History, UnitRecord &Record) {
  Record.Failures = History.failures();
  Record.FailedRun = History.FailedRuns.empty() ? 0 : History.FailedRuns.back();
  Record.FailedRuns = History.FailedRuns;
  for (const PresumedEnd &End : History.PresumedEnds)
    Record.PresumedEnds.push_back({End.Worker, End.Run});
}

AttemptHistory readAttempts(const UnitRecord &Record, Instant LeaseEnds) {
  AttemptHistory History{Record.FailedRuns, {}};
  for (const PresumedEndRecord &End : Record.PresumedEnds)
    presumeEnd(History, End.Worker, End.Run, LeaseEnds);
  // Records of earlier versions name only the newest failed run. Numbers of
  // runs are positive, so negative ones stand for the others.
  if (Record.FailedRuns.empty() && Record.Failures > 0)
    countFailure(History, Record.FailedRun);
  while (History.failures() < Record.Failures)
    countFailure(History, -History.failures());
  return History;
}

} // namespace pistachioflow
