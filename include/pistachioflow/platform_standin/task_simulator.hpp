#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/platform/worker_client.hpp"
#include "pistachioflow/sched/worker.hpp"

namespace pistachioflow {

/// Behaviour of a simulated task, given in its payload as in
/// "ms=300 gang=2 fail=1" or "crash=99 crash_after_ms=5".
struct TaskScript {
  std::int64_t WorkMs = 100;
  std::int64_t GangSize = 1;    ///< Members that must have arrived.
  std::int64_t FailingRuns = 0; ///< The first runs, that many, fail.
  /// The first runs, that many, crash the worker that starts them.
  std::int64_t CrashingRuns = 0;
  /// From a start to the crash. With 0 the start is not answered.
  std::int64_t CrashAfterMs = 20;
  Resources RequiredResources{1'000, 100, 1};
};

/// Parses a script. Unknown words are ignored.
TaskScript parseScript(std::string_view Payload);

/// Formats a script as parseScript() expects it.
std::string formatScript(const TaskScript &Script);

/// Time limits of the simulated workers.
struct SimulatorLimits {
  Duration MaxLease{6'000};
  Duration StopTime{50};
  Duration GangTimeout{3'000};
  Duration RestartDelay{1'000}; ///< From a task's crash of a worker.
  /// Starts within a capacity that was shown this recently are no violation:
  /// the platform's time limit for contact and one heartbeat.
  Duration CapacityNotice{3'500};
};

/// Simulates the platform's workers and checks the orders that they get.
///
/// Each worker follows the rules of the platform: fencing, leases on its own
/// clock, which begins anew when it restarts, run numbers, and ends that are
/// reported until acknowledged. Recorded as violations: two simultaneous runs
/// of a task, a start after an acknowledged end, a gang member that times out
/// waiting for its gang (unless a worker has crashed meanwhile), tasks of jobs
/// that were never submitted, starts beyond the capacity of a worker that does
/// not check it, and a task that is started three times more after it has
/// crashed three workers.
///
/// Thread safety: none.
class TaskSimulator {
public:
  explicit TaskSimulator(SimulatorLimits Limits) : Limits(Limits) {}

  void addWorker(const std::string &Id, Resources Capacity);
  /// Restarts the worker at once as a new incarnation, which knows nothing of
  /// the earlier one. A gang with a member on it breaks.
  void crash(const std::string &Id, Instant Now);
  /// As crash(), but the worker stays down until RestartDelay has passed.
  void crashForDelay(const std::string &Id, Instant Now);
  /// Whether the worker's process runs. Orders to a worker that is down have no
  /// effect and no answer.
  bool isUp(const std::string &Id) const;
  /// Returns since when the worker is down. Precondition: it is.
  Instant downSince(const std::string &Id) const;

  /// Notes that a worker has crashed, or that the owner is cut off from the
  /// store, so that a gang may stay incomplete by no fault of the owner.
  void noteDisruption(Instant Now) { this->LastDisruptionAt = Now; }

  /// Changes what the worker shows as its capacity. Runs continue.
  void setCapacity(const std::string &Id, Resources Capacity, Instant Now);
  Resources capacity(const std::string &Id) const;
  /// Chooses whether the worker refuses starts beyond its capacity, as it does
  /// at first.
  void setGuardsCapacity(const std::string &Id, bool Guards);

  OrderAnswer start(const std::string &Id, const StartOrder &Order,
                    Instant Now);
  OrderAnswer stop(const std::string &Id, std::string_view Task,
                   std::int64_t Run, std::int64_t Epoch, Instant Now);
  PollAnswer poll(const std::string &Id, const PollRequest &Order, Instant Now);

  /// Ends the runs that are due at \p Now on every worker.
  void advance(Instant Now);

  /// Returns whether a poll of \p Id would report ended runs.
  bool hasUnacknowledgedEnds(const std::string &Id) const;

  /// Returns the worker's own clock, which each incarnation begins anew.
  std::int64_t clockMs(const std::string &Id, Instant Now) const;

  /// Start of the worker's current incarnation.
  std::int64_t incarnationStartMs(const std::string &Id) const {
    return this->Workers.at(Id).IncarnationStartMs;
  }

  /// Allows starts of the tasks of \p JobId; any other start is a violation.
  void expectJob(const std::string &JobId) { this->ExpectedJobs.insert(JobId); }

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  /// Returns how often \p Task ended as done, counting acknowledged ends only.
  std::int64_t doneCount(const std::string &Task) const;
  std::int64_t runningCount() const;
  /// Returns a worker that runs \p Task; empty: none does.
  std::string workerOf(const std::string &Task) const;
  std::int64_t startCount() const { return this->StartedRuns; }
  /// Returns how many stops the workers have been told of.
  std::int64_t stopCount() const { return this->StopOrders; }
  /// Returns how many workers \p Task has crashed.
  std::int64_t crashCount(const std::string &Task) const;
  /// Returns how many workers have crashed while \p Task ran there, whatever
  /// crashed them.
  std::int64_t crashesUnder(const std::string &Task) const;

  SimulatorLimits Limits;

private:
  struct ActiveRun {
    std::int64_t Run = 0;
    TaskScript Script;
    Instant ArrivedAt;
    Instant EndsAt;    ///< Set once the gang is complete.
    Instant StopsAt;   ///< Set by a stop order.
    Instant CrashesAt; ///< When it crashes its worker; 0: never.
  };
  /// A capacity that a worker showed until \p Until.
  struct EarlierCapacity {
    Resources Shown;
    Instant Until;
  };
  /// The crashes that a task has caused.
  struct CausedCrashes {
    std::int64_t Crashes = 0;
    std::int64_t LaterStarts = 0; ///< Since the limit was reached.
  };
  struct SimulatedWorker {
    Resources Capacity;
    bool GuardsCapacity = true;
    std::vector<EarlierCapacity> EarlierCapacities;
    Instant DownSince; ///< 0: up.
    std::int64_t IncarnationStartMs = 1;
    Instant ClockOrigin; ///< When its clock read 0.
    std::int64_t Epoch = 0;
    Instant LeaseEnds;
    std::int64_t LastEndNumber = 0;
    std::map<std::string, ActiveRun> ActiveRuns;
    std::vector<EndedRun> UnacknowledgedEnds;
    /// Highest ended or stopped run by task.
    std::map<std::string, std::int64_t> LastEndedRuns;

    std::int64_t clockMs(Instant Now) const {
      return (Now - this->ClockOrigin).Ms;
    }
    /// Returns until when a lease lasts that is asked for at \p Now.
    Instant grant(std::int64_t UntilClockMs, Duration MaxLease,
                  Instant Now) const {
      return std::min(this->ClockOrigin + Duration{UntilClockMs},
                      Now + MaxLease);
    }
  };

  void endRun(SimulatedWorker &Target, const std::string &Task, RunOutcome How);
  void endGangAsBroken(const std::string &Task, std::int64_t Run);
  void startWorkIfGangComplete(const std::string &Task, std::int64_t Run,
                               Instant Now);
  /// Returns how much of its work a run has done, in percent.
  static std::int64_t progressOf(const ActiveRun &Run, Instant Now);
  static bool fits(const SimulatedWorker &Target, const Resources &Capacity,
                   const Resources &Required);
  /// Whether a start stays within a capacity that the worker shows or lately
  /// showed.
  bool fitsShown(const SimulatedWorker &Target, const Resources &Required,
                 Instant Now) const;
  void checkStart(const std::string &Id, const StartOrder &Order,
                  const TaskScript &Script, Instant Now);
  void countStartAfterCrashes(const std::string &Task);
  void restartDueWorkers(Instant Now);
  void crashDueWorkers(Instant Now);
  bool isRunning(const std::string &Task) const;
  void recordViolation(std::string Text);

  std::map<std::string, SimulatedWorker> Workers;
  std::map<std::string, CausedCrashes> CrashesByTask;
  std::map<std::string, std::int64_t> CrashedUnder; ///< Workers, by task.
  Instant LastDisruptionAt;
  std::set<std::string> ExpectedJobs;
  std::map<std::string, std::int64_t> DoneCounts;
  std::vector<std::string> Violations;
  std::int64_t StartedRuns = 0;
  std::int64_t StopOrders = 0;
};

} // namespace pistachioflow
