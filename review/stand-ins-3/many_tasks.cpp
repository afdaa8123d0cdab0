// Large jobs that come at once: the daemons have to stay within the memory of
// their machines and go on with the work that they have accepted.

#include <algorithm>
#include <cstdio>

#include "scene.hpp"

using namespace review;

namespace {

constexpr int Jobs = 32;
constexpr int LargeTasks = 20'000; // what the system accepts for one job
constexpr int UsualTasks = 78;     // the widest step of our sheets
constexpr Duration BetweenJobs{100};
const std::string SmallJob = "5c0e7a21d94b36f8";
const std::string SmallTask = SmallJob + ".0.0.0";
constexpr Duration FinishTime{14'000};
/// LOST: nothing runs for this long while a task's turn has come.
constexpr Duration IdleLimit{3'000};
constexpr Duration Watched{10'000};

Json step(int Tasks) {
  return {{"cpu", 500},
          {"memory_request_mb", 256},
          {"gpus", 1},
          {"estimated_duration_ms", 1'000},
          {"count", Tasks}};
}

asio::awaitable<void> play(Scene &Stage) {
  int Accepted = 0;
  for (int Job = 0; Job < Jobs; ++Job) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016x", 0x3a41c000 + Job);
    std::string Body = jobBody(step(Stage.trouble() ? LargeTasks : UsualTasks),
                               "ms=1000 gpus=1");
    const Reply Answer = co_await Stage.call(
        "POST", Path + Id, Key, std::move(Body), static_cast<std::size_t>(Job));
    Accepted += Answer.Status / 100 == 2 ? 1 : 0;
    co_await pauseFor(Stage.Io, BetweenJobs);
  }
  Stage.record(std::to_string(Accepted) + " large jobs accepted");
  if (!co_await Stage.submitUrgent(SmallJob,
                                   jobBody(step(1), "ms=1000 gpus=1"))) {
    Stage.cannotRun("no daemon accepts an urgent job of one task");
    co_return;
  }
  const auto SmallDone = [&Stage] {
    return Stage.count("ended", SmallTask) > 0;
  };
  const bool DoneInTime = co_await Stage.waitUntil(SmallDone, FinishTime);
  const bool LargeJobsWait = Stage.trouble();
  const Instant Begin = Stage.Time.monotonic();
  Instant RanAt = Begin;
  Duration LongestIdle;
  while (Stage.Time.monotonic() - Begin < Watched &&
         (LargeJobsWait || !SmallDone())) {
    if (Stage.runningNow() > 0)
      RanAt = Stage.Time.monotonic();
    LongestIdle = std::max(LongestIdle, Stage.Time.monotonic() - RanAt);
    co_await pauseFor(Stage.Io, Duration{50});
  }
  const std::string State = co_await Stage.state(SmallJob, 0);
  Stage.record("the urgent job is '" + State + "'" +
               (DoneInTime ? ", its task has ended" : "") +
               "; longest time with nothing running " +
               std::to_string(LongestIdle.Ms) + " ms");
  const bool WorkWaits = LargeJobsWait || !SmallDone();
  if (WorkWaits && LongestIdle >= IdleLimit)
    Stage.broken("LOST: after the traffic no runner has run anything for " +
                 std::to_string(LongestIdle.Ms) +
                 " ms, while accepted jobs have tasks whose turn has come; " +
                 std::to_string(Stage.MemoryKills) +
                 " times a daemon was killed for its memory");
  else if (!SmallDone())
    Stage.record("the urgent job waits, and other work runs");
}

} // namespace

int main(int Argc, char **Argv) {
  Scene Stage(Argc > 1 ? Argv[1] : ".", 3, 8);
  return Stage.run(play);
}
