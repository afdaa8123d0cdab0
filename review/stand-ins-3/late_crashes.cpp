// A task that crashes each runner that starts it, some seconds after its start.
// Each of these runners is replaced by a new one.

#include <memory>

#include "scene.hpp"

using namespace review;

namespace {

const std::string Id = "5c0e7a21d94b36f8";
const std::string Task = Id + ".0.0.0";
/// From a start to the crash of its runner.
constexpr Duration CrashAfter{7'000};
/// From a crash until a new runner takes the place of the crashed one.
constexpr Duration ReplaceAfter{2'000};
constexpr Duration PlayTime{104'000};
constexpr std::int64_t WorkMs = 20'000;
/// Sound jobs, done first: the site file has a share of 0.05 of poison.
constexpr int SoundJobs = 20;
constexpr std::int64_t SoundMs = 500;
constexpr Duration SoundLimit{5'000};
/// BUDGET: that many starts more after three runners have crashed.
constexpr std::size_t CrashesThatCount = 3;
constexpr std::size_t StartsMore = 3;

std::string soundId(int Job) {
  constexpr int FirstOfTwoDigits = 10;
  return "3a41c000000000" + std::to_string(FirstOfTwoDigits + Job);
}

void addRunner(Scene &Stage) {
  auto Entry = std::make_unique<RunnerProcess>();
  Entry->Id = "n-" + std::to_string(2'000 + Stage.Runners.size());
  Entry->Rack = "r1-0";
  Entry->Port = Stage.unusedPort();
  Stage.Runners.push_back(std::move(Entry));
  Stage.startRunner(Stage.Runners.size() - 1);
}

/// Submits the sound jobs; returns whether all have ended.
asio::awaitable<bool> playSoundJobs(Scene &Stage) {
  const Json Step = {{"cpu", 500},
                     {"memory_request_mb", 256},
                     {"gpus", 1},
                     {"count", 1},
                     {"estimated_duration_ms", SoundMs}};
  const std::string Text = "ms=" + std::to_string(SoundMs) + " gpus=1";
  for (int Job = 0; Job < SoundJobs; ++Job) {
    if (!co_await Stage.submit(soundId(Job), jobBody(Step, Text), 10))
      co_return false;
  }
  const auto AllEnded = [&Stage] {
    for (int Job = 0; Job < SoundJobs; ++Job)
      if (Stage.count("ended", soundId(Job) + ".0.0.0") == 0)
        return false;
    return true;
  };
  co_return co_await Stage.waitUntil(AllEnded, SoundLimit);
}

asio::awaitable<void> play(Scene &Stage) {
  if (!co_await playSoundJobs(Stage)) {
    Stage.cannotRun("the sound jobs are not done");
    co_return;
  }
  const Json Step = {{"cpu", 500},
                     {"memory_request_mb", 256},
                     {"gpus", 1},
                     {"count", 1},
                     {"estimated_duration_ms", WorkMs}};
  const std::string Text = "ms=" + std::to_string(WorkMs) + " gpus=1";
  if (!co_await Stage.submit(Id, jobBody(Step, Text), 10)) {
    Stage.cannotRun("the job is not accepted");
    co_return;
  }
  const Instant Until = Stage.Time.monotonic() + PlayTime;
  std::size_t Crashes = 0;
  std::size_t StartsAfter = 0;
  const auto AtWork = [&Stage] { return Stage.runnerOf(Task) >= 0; };
  const auto Over = [&Stage] { return Stage.count("ended", Task) > 0; };
  while (true) {
    const Duration Left = Until - Stage.Time.monotonic();
    if (!co_await Stage.waitUntil(AtWork, Left))
      break;
    StartsAfter += Crashes >= CrashesThatCount ? 1 : 0;
    if (StartsAfter > StartsMore)
      break;
    if (!Stage.trouble()) {
      co_await Stage.waitUntil(Over, Left);
      break;
    }
    co_await pauseFor(Stage.Io, CrashAfter);
    const int Runner = Stage.runnerOf(Task);
    if (Runner < 0)
      continue;
    Stage.killRunner(static_cast<std::size_t>(Runner));
    ++Crashes;
    co_await pauseFor(Stage.Io, ReplaceAfter);
    addRunner(Stage);
  }
  Stage.record(std::to_string(Crashes) + " runners crashed, " +
               std::to_string(Stage.count("started", Task)) + " starts, " +
               std::to_string(StartsAfter) + " after the third crash");
  const std::string State = co_await Stage.state(Id, 0);
  if (StartsAfter > StartsMore)
    Stage.broken("BUDGET: after three runners had crashed under the task it "
                 "was started " +
                 std::to_string(StartsAfter) + " times more; the job is '" +
                 State + "'");
  else if (!Stage.trouble() && State != "completed")
    Stage.cannotRun("without trouble the job is '" + State + "'");
}

} // namespace

int main(int Argc, char **Argv) {
  Scene Stage(Argc > 1 ? Argv[1] : ".", 3, 8);
  return Stage.run(play);
}
