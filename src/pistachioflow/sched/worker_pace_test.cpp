#include "pistachioflow/sched/worker_pace.hpp"

#include <cmath>
#include <string>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr std::int64_t Incarnation = 1;
constexpr Instant Start{1'000'000};
constexpr std::size_t WorkerCount = 30;

/// A third of the workers is slow, and a third is fast.
double speedOf(std::size_t Worker) {
  constexpr double Speeds[] = {0.6, 1.0, 1.6};
  return Speeds[Worker % 3];
}

std::string nameOf(std::size_t Worker) { return "w" + std::to_string(Worker); }

/// A step that every worker runs one task of; the work of its tasks differs a
/// little.
void learnStep(PaceModel &Model, const std::string &Step, double WorkS,
               Instant Now, TaskKinds Beside = 0, double SlowerBeside = 0) {
  for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker) {
    const double Uneven = 0.05 * static_cast<double>(Worker % 5) - 0.1;
    const bool Disturbed = Beside != 0 && Worker % 2 == 0;
    const double LogSpeed = std::log(speedOf(Worker) / WorkS) + Uneven -
                            (Disturbed ? SlowerBeside : 0);
    learnSpeed(Model,
               {Step, nameOf(Worker), Incarnation, "queue",
                Disturbed ? Beside : 0, LogSpeed},
               Now);
  }
}

} // namespace

// Guards against urgent gangs on slow workers: of 149 jobs, 69 ended late since
// one of their workers was slow.
TEST_CASE("paces of workers show in steps of any length") {
  PaceModel Model;
  for (int Step = 0; Step < 6; ++Step)
    learnStep(Model, "job.0." + std::to_string(Step), 1.0 + 3.0 * Step, Start);
  const auto Pace = [&](std::size_t Worker) {
    return logPace(Model, nameOf(Worker), Incarnation, Start);
  };
  for (std::size_t Worker = 0; Worker < WorkerCount; Worker += 3) {
    REQUIRE(Pace(Worker) < Pace(Worker + 1) - 0.2);
    REQUIRE(Pace(Worker + 1) < Pace(Worker + 2) - 0.2);
  }
  const double Spread = paceSpread(Model, Start);
  REQUIRE(Spread > 1.4);
  REQUIRE(Spread < 1.9);
}

// Guards against a change for fleets of equal workers, whose runs differ by
// chance or by what runs beside them.
TEST_CASE("workers that differ by chance only show no spread") {
  const double Noise = GENERATE(0.1, 0.4);
  const int RunsOnWorker = GENERATE(1, 4);
  PaceModel Model;
  for (int Step = 0; Step < 8; ++Step)
    for (int Worker = 0; Worker < 30; ++Worker) {
      const std::string StepName = "job.0." + std::to_string(Step);
      const std::string WorkerName = "w" + std::to_string(Worker);
      const double Chance = std::sin(7.0 * Worker + 13.0 * Step * Step);
      for (int Run = 0; Run < RunsOnWorker; ++Run)
        learnSpeed(
            Model,
            {StepName, WorkerName, Incarnation, "queue", 0, Noise * Chance},
            Start);
    }
  REQUIRE(paceSpread(Model, Start) < 1.25);
}

TEST_CASE("nothing is concluded from little or about others") {
  PaceModel Model;
  const auto Learn = [&](const char *Step, const char *Worker, double Speed) {
    learnSpeed(Model, {Step, Worker, Incarnation, "queue", 0, std::log(Speed)},
               Start);
  };
  // Two workers don't tell which one is usual, however many runs they had.
  Learn("a.0.0", "slow", 0.1);
  Learn("a.0.0", "slow", 0.1);
  Learn("a.0.0", "fast", 9.0);
  REQUIRE(logPace(Model, "slow", Incarnation, Start) == 0);
  Learn("a.0.0", "usual", 1.0);
  REQUIRE(logPace(Model, "slow", Incarnation, Start) < -0.3);
  REQUIRE(logPace(Model, "slow", Incarnation + 1, Start) == 0);
  REQUIRE(logPace(Model, "unknown", Incarnation, Start) == 0);
  REQUIRE(paceSpread(Model, Start) == 1);
}

TEST_CASE("runs of one step on one worker count once") {
  const int Runs = GENERATE(1, 20);
  PaceModel Model;
  for (int Run = 0; Run < Runs; ++Run)
    for (const auto &[Worker, Speed] :
         {std::pair{"slow", 0.5}, {"usual", 1.0}, {"another", 1.0}})
      learnSpeed(Model,
                 {"a.0.0", Worker, Incarnation, "queue", 0, std::log(Speed)},
                 Start);
  const double Pace = logPace(Model, "slow", Incarnation, Start);
  REQUIRE(Pace < -0.3);
  REQUIRE(Pace > -0.65);
}

// Guards against a worker that is avoided for ever after a bad while.
TEST_CASE("a pace is forgotten as it ages") {
  PaceModel Model;
  learnStep(Model, "a.0.0", 2, Start);
  const double Fresh = logPace(Model, "w0", Incarnation, Start);
  const double Aged =
      logPace(Model, "w0", Incarnation, Start + Duration{60'000});
  REQUIRE(Fresh < Aged);
  REQUIRE(Aged < 0);
  forgetOldSpeeds(Model, Start + Duration{600'000});
  REQUIRE(Model.Workers.empty());
  REQUIRE(Model.Steps.empty());
}

// Guards against kinds of work that slow each other down on one worker while
// others are free.
TEST_CASE("a kind that slows another one down is noticed") {
  const double Slower = GENERATE(0.0, 0.05, 0.5);
  CAPTURE(Slower);
  PaceModel Model;
  const std::size_t Own = indexOfKind(Model, "queue");
  const std::size_t Other = indexOfKind(Model, "other");
  for (int Step = 0; Step < 8; ++Step)
    learnStep(Model, "job.0." + std::to_string(Step), 2, Start,
              bitOfKind(Other), Slower);
  const double Found = slowdownsBeside(Model, Own).at(Other);
  if (Slower < 0.1)
    REQUIRE(Found == 0);
  else
    REQUIRE(Found > 0.1);
  // The effect counts for both kinds.
  REQUIRE(slowdownsBeside(Model, Other).at(Own) == Found);
}

TEST_CASE("kinds beyond the limit count as none") {
  PaceModel Model;
  for (std::size_t Kind = 0; Kind < MaxTaskKinds; ++Kind)
    REQUIRE(indexOfKind(Model, "k" + std::to_string(Kind)) == Kind);
  REQUIRE(indexOfKind(Model, "one more") == MaxTaskKinds);
  REQUIRE(findKind(Model, "k0") == 0);
  REQUIRE(bitOfKind(MaxTaskKinds) == 0);
}

} // namespace pistachioflow
