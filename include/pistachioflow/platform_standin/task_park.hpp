#pragma once

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

/// What a stand-in task does; its payload says it, as "ms=300 gang=2 fail=1".
struct TaskScript {
  std::int64_t WorkMs = 100;
  std::int64_t GangSize = 1; ///< Members that must be present.
  std::int64_t FailRuns = 0; ///< So many first runs end as failed.
  Resources Room{1'000, 100, 1};
};

/// Reads a script; unknown words are ignored.
TaskScript parseScript(std::string_view Payload);

/// Writes a script, as parseScript() reads it.
std::string formatScript(const TaskScript &Script);

/// Bounds of the stand-in's workers.
struct ParkLimits {
  Duration MaxLease{6'000};
  Duration StopTime{50};
  Duration GangTimeout{3'000};
};

/// The stand-in's workers, with what they must never see.
///
/// Each worker keeps the rules of the platform: fencing, leases on its own
/// clock, run numbers, ends that are told until acknowledged. Two runs of a
/// task at once, a start after an acknowledged end, a gang member left alone
/// and work nobody submitted are noted as violations.
///
/// Thread safety: none.
class TaskPark {
public:
  explicit TaskPark(ParkLimits Limits) : Limits(Limits) {}

  void addWorker(const std::string &Id, Resources Capacity);
  /// The worker loses everything it knew and begins a new life.
  void crash(const std::string &Id, std::int64_t BornWallMs);

  OrderAnswer start(const std::string &Id, const StartOrder &Order,
                    Instant Now);
  OrderAnswer stop(const std::string &Id, std::string_view Task,
                   std::int64_t Run, std::int64_t Epoch, Instant Now);
  HoldAnswer hold(const std::string &Id, const HoldOrder &Order, Instant Now);

  /// Lets time pass for every worker.
  void advance(Instant Now);

  /// Whether a hold of \p Id has ends to tell.
  bool hasEnds(const std::string &Id) const;

  /// Start of the worker's present life.
  std::int64_t bornWallMs(const std::string &Id) const {
    return this->Workers.at(Id).BornWallMs;
  }

  /// Tasks that may be started; others are violations.
  void expectJob(const std::string &JobId) { this->Expected.insert(JobId); }

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  /// How often each task ended as done, as far as that was acknowledged.
  std::int64_t doneCount(const std::string &Task) const;
  std::int64_t runningCount() const;
  std::int64_t startCount() const { return this->Starts; }

private:
  struct Running {
    std::int64_t Run = 0;
    TaskScript Script;
    Instant ArrivedAt;
    Instant EndsAt;  ///< Set once every member is present.
    Instant StopsAt; ///< Set by an order to stop.
  };
  struct Worker {
    Resources Capacity;
    std::int64_t BornWallMs = 1;
    std::int64_t Epoch = 0;
    Instant LeaseEnds;
    std::int64_t LastEnd = 0;
    std::map<std::string, Running> Tasks;
    std::vector<EndedRun> Ends;
    std::map<std::string, std::int64_t> ClosedRuns; ///< Highest ended run.
  };

  void end(Worker &At, const std::string &Task, RunOutcome How);
  void breakGang(const std::string &Task, std::int64_t Run);
  void beginGang(const std::string &Task, std::int64_t Run, Instant Now);
  /// Percent of its work that a run has done.
  static std::int64_t progressOf(const Running &Of, Instant Now);
  bool hasRoom(const Worker &At, const Resources &Each) const;
  bool runsElsewhere(const std::string &Task) const;
  void violate(std::string Text);

  ParkLimits Limits;
  std::map<std::string, Worker> Workers;
  std::set<std::string> Expected;
  std::map<std::string, std::int64_t> DoneTasks;
  std::vector<std::string> Violations;
  std::int64_t Starts = 0;
};

} // namespace pistachioflow
