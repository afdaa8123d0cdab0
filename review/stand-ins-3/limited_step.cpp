// Jobs with a wide step whose tasks have a limit per runner (anti_affinity).
// The daemon that plans has to stay within the memory of its machine, keep its
// ownership and go on with all accepted jobs.
//
// Usage: limited_step FOLDER JOBS TASKS MILLICORES GPUS MS

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "scene.hpp"

using namespace review;

namespace {

constexpr int UsualTasks = 78; // the widest step of our sheets
constexpr int TasksPerRunner = 400;
const std::string SmallJob = "5c0e7a21d94b36f8";
const std::string SmallTask = SmallJob + ".0.0.0";
constexpr Duration BetweenJobs{200};
/// From the wide jobs to the small one.
constexpr Duration Settling{5'000};
constexpr Duration FinishTime{14'000};
/// LOST: a job has nothing running for this long while its turn has come.
constexpr Duration IdleLimit{3'000};
constexpr Duration Watched{6'000};
constexpr std::int64_t CoresOfService = 8 * 32'000;
constexpr std::int64_t GpusOfService = 8 * 8;

struct Wide {
  int Jobs = 1;
  int Tasks = 1; // of each job
  std::int64_t MilliCores = 0;
  std::int64_t Gpus = 0;
  std::int64_t Ms = 0;
};

Json step(std::int64_t Tasks, std::int64_t MilliCores, std::int64_t Gpus,
          std::int64_t Ms) {
  Json Step = {{"cpu", MilliCores},
               {"memory_request_mb", 16},
               {"estimated_duration_ms", Ms},
               {"count", Tasks}};
  if (Gpus > 0)
    Step["gpus"] = Gpus;
  return Step;
}

std::string text(std::int64_t Gpus, std::int64_t Ms) {
  return "ms=" + std::to_string(Ms) + " gpus=" + std::to_string(Gpus);
}

/// Submits \p Jobs; returns whether all are accepted.
asio::awaitable<bool> submitWide(Scene &Stage, Wide Jobs) {
  Json Step = step(Stage.trouble() ? Jobs.Tasks : UsualTasks, Jobs.MilliCores,
                   Jobs.Gpus, Jobs.Ms);
  Step["anti_affinity"] = TasksPerRunner;
  for (int Job = 0; Job < Jobs.Jobs; ++Job) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016x", 0x3a41c000 + Job);
    if (!co_await Stage.submit(Id, jobBody(Step, text(Jobs.Gpus, Jobs.Ms)), 10))
      co_return false;
    co_await pauseFor(Stage.Io, BetweenJobs);
  }
  co_return true;
}

/// Whether under half of the capacity is in use, as far as the wide jobs go.
bool mostlyIdle(const Scene &Stage, const Wide &Jobs) {
  const auto Running = static_cast<std::int64_t>(Stage.runningNow());
  return Running * Jobs.MilliCores * 2 < CoresOfService &&
         Running * Jobs.Gpus * 2 < GpusOfService;
}

asio::awaitable<void> play(Scene &Stage, Wide Jobs) {
  if (!co_await submitWide(Stage, Jobs)) {
    Stage.cannotRun("a wide job is not accepted");
    co_return;
  }
  co_await pauseFor(Stage.Io, Settling);
  if (!co_await Stage.submitUrgent(
          SmallJob, jobBody(step(1, 500, 1, 1'000), text(1, 1'000)))) {
    Stage.cannotRun("no daemon accepts an urgent job of one task");
    co_return;
  }
  const auto Begun = [&Stage] { return Stage.count("started", SmallTask) > 0; };
  const bool InTime = co_await Stage.waitUntil(Begun, FinishTime);
  const Instant Begin = Stage.Time.monotonic();
  Instant BusyAt = Begin;
  Duration LongestIdle;
  while (!InTime && !Begun() && Stage.Time.monotonic() - Begin < Watched) {
    if (!mostlyIdle(Stage, Jobs))
      BusyAt = Stage.Time.monotonic();
    LongestIdle = std::max(LongestIdle, Stage.Time.monotonic() - BusyAt);
    co_await pauseFor(Stage.Io, Duration{50});
  }
  Stage.record(std::to_string(Stage.MemoryKills) +
               " times a daemon was killed for its memory; " +
               std::to_string(Stage.runningNow()) + " tasks run");
  if (InTime)
    co_return;
  if (LongestIdle >= IdleLimit)
    Stage.broken("LOST: from " + std::to_string(FinishTime.Ms) +
                 " ms after the traffic on the urgent job has nothing running "
                 "for " +
                 std::to_string(LongestIdle.Ms) +
                 " ms, while its turn has come and under half of the capacity "
                 "is in use; " +
                 std::to_string(Stage.MemoryKills) +
                 " times a daemon was killed for its memory");
  else
    Stage.record("the urgent job begins late, or the runners are busy");
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr int Arguments = 7;
  if (Argc != Arguments)
    return 2;
  const Wide Jobs{std::atoi(Argv[2]), std::atoi(Argv[3]), std::atoll(Argv[4]),
                  std::atoll(Argv[5]), std::atoll(Argv[6])};
  Scene Stage(Argv[1], 3, 8);
  return Stage.run([Jobs](Scene &Entry) { return play(Entry, Jobs); });
}
