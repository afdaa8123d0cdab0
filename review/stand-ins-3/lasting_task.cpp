// A task that lasts, and runners that crash under it now and then.

#include "scene.hpp"

using namespace review;

namespace {

const std::string Id = "5c0e7a21d94b36f8";
const std::string Task = Id + ".0.0.0";
/// Between two crashes of the task's runner. Longer than a crash takes to be
/// noticed and the task to be at work again.
constexpr Duration Calm{8'000};
constexpr Duration Down{1'000};
constexpr int Crashes = 5;
/// LOST counts from 6 s after the last run of a task that lasts, for 3 s.
constexpr Duration StartAgainLimit{9'000};

asio::awaitable<void> play(Scene &Stage) {
  const Json Step = {{"cpu", 500},
                     {"memory_request_mb", 256},
                     {"gpus", 1},
                     {"count", 1},
                     {"long_running", true}};
  if (!co_await Stage.submit(Id, jobBody(Step, "ms=1000000000 gpus=1"), 10)) {
    Stage.cannotRun("the job is not accepted");
    co_return;
  }
  const auto AtWork = [&Stage] { return Stage.runnerOf(Task) >= 0; };
  for (int Crash = 0; Crash <= Crashes; ++Crash) {
    const bool Works = co_await Stage.waitUntil(AtWork, StartAgainLimit);
    const std::string State =
        co_await Stage.state(Id, static_cast<std::size_t>(Crash));
    if (State == "failed" || State == "cancelled")
      Stage.broken("LOST: after " + std::to_string(Crash) +
                   " crashes of runners the job is shown as " + State +
                   ", though nobody cancelled it and no run ended failed");
    if (!Works)
      Stage.broken("LOST: the task that lasts has not been started again " +
                   std::to_string(StartAgainLimit.Ms) + " ms after crash " +
                   std::to_string(Crash));
    if (!Works || Crash == Crashes)
      co_return;
    co_await pauseFor(Stage.Io, Calm);
    const int Runner = Stage.runnerOf(Task);
    if (Stage.trouble() && Runner >= 0)
      co_await Stage.restartRunner(static_cast<std::size_t>(Runner), Down);
  }
}

} // namespace

int main(int Argc, char **Argv) {
  Scene Stage(Argc > 1 ? Argv[1] : ".", 3, 8);
  return Stage.run(play);
}
