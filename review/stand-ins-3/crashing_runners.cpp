// A job of one task that takes half a minute, and runners that crash under it.

#include "scene.hpp"

using namespace review;

namespace {

const std::string Id = "5c0e7a21d94b36f8";
const std::string Task = Id + ".0.0.0";
/// From a start to the crash of its runner.
constexpr Duration Calm{3'500};
constexpr Duration Down{1'000};
constexpr int Crashes = 3;
constexpr Duration StartLimit{9'000};
constexpr Duration EndLimit{60'000};

asio::awaitable<void> play(Scene &Stage) {
  const Json Step = {
      {"cpu", 500}, {"memory_request_mb", 256},        {"gpus", 1},
      {"count", 1}, {"estimated_duration_ms", 30'000}, {"checkpointing", true}};
  const std::string Text = "ms=30000 gpus=1 save_ms=500";
  if (!co_await Stage.submit(Id, jobBody(Step, Text), 10)) {
    Stage.cannotRun("the job is not accepted");
    co_return;
  }
  const auto AtWork = [&Stage] { return Stage.runnerOf(Task) >= 0; };
  for (int Crash = 0; Stage.trouble() && Crash < Crashes; ++Crash) {
    if (!co_await Stage.waitUntil(AtWork, StartLimit))
      break;
    co_await pauseFor(Stage.Io, Calm);
    const int Runner = Stage.runnerOf(Task);
    if (Runner >= 0)
      co_await Stage.restartRunner(static_cast<std::size_t>(Runner), Down);
  }
  const Instant Until = Stage.Time.monotonic() + EndLimit;
  std::string State;
  std::size_t Daemon = 0;
  while (Stage.Time.monotonic() < Until) {
    State = co_await Stage.state(Id, Daemon++);
    if (State == "completed" || State == "failed" || State == "cancelled")
      break;
    co_await pauseFor(Stage.Io, Duration{500});
  }
  std::size_t Failed = 0;
  for (const RunEvent &Event : Stage.Events)
    if (Event.Kind == "ended" && Event.Rest.find("failed") != std::string::npos)
      ++Failed;
  if (State == "failed" || State == "cancelled")
    Stage.broken(
        "LOST: the job is shown as " + State + " after " +
        std::to_string(Failed) +
        " runs that ended failed, of max_attempts 4; nobody cancelled it");
  else if (State != "completed")
    Stage.broken("LOST: the job is shown as '" + State + "' at the end");
}

} // namespace

int main(int Argc, char **Argv) {
  Scene Stage(Argc > 1 ? Argv[1] : ".", 3, 8);
  return Stage.run(play);
}
