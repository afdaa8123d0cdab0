// Placement rounds while workers, jobs and owners fail, with a checker that
// knows only the users' rule: with capacity to spare, no job waits for long.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "simulated_cluster.hpp"

namespace pistachioflow::testing {

namespace {

constexpr std::size_t WorkerCount = 24;
constexpr std::size_t RackCount = 6;
constexpr std::size_t MaxAddedWorkers = 6;
constexpr int ArrivalRounds = 200;
constexpr int Rounds = 450;

/// One random play: jobs and troubles arrive for a while, then the queue is
/// worked off.
class RandomPlay {
public:
  /// One trouble in \p TroubleRounds rounds on average, while jobs arrive.
  RandomPlay(std::uint64_t Seed, std::int64_t TroubleRounds)
      : Random(Seed), TroubleRounds(TroubleRounds) {
    this->Simulated.guarantee("team", 32);
    this->Simulated.guarantee("other", 24);
    for (std::size_t Index = 0; Index < WorkerCount; ++Index)
      this->Simulated.addWorker("w" + std::to_string(Index),
                                "r" + std::to_string(Index % RackCount),
                                Index % 7 == 0 ? "b" : "a");
  }

  std::vector<std::string> run() {
    for (int Round = 0; Round < Rounds; ++Round) {
      if (Round < ArrivalRounds && this->pick(0, 3) == 0)
        this->submit();
      if (Round < ArrivalRounds && this->pick(1, this->TroubleRounds) == 1)
        this->disturb();
      this->Simulated.playRound();
    }
    return this->Simulated.Violations;
  }

private:
  std::int64_t pick(std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(this->Random);
  }

  void submit() {
    const bool Gang = this->pick(0, 1) == 1;
    StepSpec Step = makeStep(Gang ? this->pick(1, 6) : this->pick(1, 4),
                             std::int64_t{1} << this->pick(0, 3), Gang);
    Step.TightlyCoupled = Gang && this->pick(0, 1) == 1;
    if (this->pick(0, 3) == 0)
      Step.DataRack = "r" + std::to_string(this->pick(0, 5));
    if (this->pick(0, 5) == 0)
      Step.RequiredLabel = "b";
    if (!Gang && this->pick(0, 7) == 0) {
      Step.LongRunning = true;
      Step.TaskResources.Accelerators = 1;
    }
    SimulatedJob Behaviour{this->pick(500, 9'000)};
    if (this->pick(0, 4) == 0)
      Behaviour.EarlyFailures = static_cast<int>(this->pick(1, 4));
    this->Simulated.submit(jobId(++this->Jobs), Step, this->pick(0, 2),
                           Behaviour, this->pick(0, 1) == 1 ? "team" : "other");
  }

  void disturb() {
    const std::vector<std::string> Ids = this->Simulated.workerIds();
    const std::string &Id = Ids[static_cast<std::size_t>(
        this->pick(0, static_cast<std::int64_t>(Ids.size()) - 1))];
    const Instant Until =
        this->Simulated.now() + Duration{this->pick(500, 8'000)};
    switch (this->pick(0, 5)) {
    case 0:
      this->Simulated.trouble(Id).FailsUntil = Until;
      break;
    case 1:
      this->Simulated.trouble(Id).RefusesUntil = Until;
      break;
    case 2:
      this->Simulated.trouble(Id).SilentUntil = Until;
      break;
    case 3:
      this->Simulated.changeOwner();
      break;
    case 4:
      this->Simulated.drainWorker(Id);
      break;
    default:
      if (this->Added == MaxAddedWorkers)
        break;
      this->Simulated.loseWorker(Id);
      this->Simulated.addWorker(
          "w" + std::to_string(WorkerCount + this->Added++), "r9", "b");
      break;
    }
  }

  std::mt19937_64 Random;
  std::int64_t TroubleRounds;
  SimulatedCluster Simulated;
  std::size_t Jobs = 0;
  std::size_t Added = 0;
};

} // namespace

/// Plays the seeds from \p First to \p Last and returns what was found.
std::vector<std::string> playSeeds(std::uint64_t First, std::uint64_t Last,
                                   std::int64_t TroubleRounds) {
  std::vector<std::string> Violations;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed)
    for (const std::string &Text : RandomPlay(Seed, TroubleRounds).run())
      Violations.push_back("seed " + std::to_string(Seed) + ": " + Text);
  return Violations;
}

TEST_CASE("no job waits beside idle workers once faults are over") {
  REQUIRE(playSeeds(1, 60, 40) == std::vector<std::string>{});
}

// Guards against a job that waits beside idle workers: its wait started anew
// whenever it fitted nowhere for one round.
TEST_CASE("no wait starts anew when a unit fits nowhere for a round") {
  const std::uint64_t Seed = GENERATE(137U, 1'234U, 1'648U, 1'656U);
  REQUIRE(playSeeds(Seed, Seed, 60) == std::vector<std::string>{});
}

// Guards against a job that waits beside sound workers that others' faulty jobs
// have brought under suspicion.
TEST_CASE("no job waits for workers that faulty jobs got suspended") {
  const std::uint64_t Seed = GENERATE(39U, 1'570U, 1'768U);
  REQUIRE(playSeeds(Seed, Seed, 60) == std::vector<std::string>{});
}

// By hand: entry_tests "[many]", some minutes.
TEST_CASE("no job waits beside idle workers, many seeds", "[.][many]") {
  const std::int64_t TroubleRounds = GENERATE(40, 60);
  CAPTURE(TroubleRounds);
  REQUIRE(playSeeds(1, 2'000, TroubleRounds) == std::vector<std::string>{});
}

TEST_CASE("guaranteed work leaves its rack to begin in time") {
  // Its rack is full of work that it may not preempt.
  constexpr Duration ReclaimTimeout{3'400};
  constexpr std::int64_t LongMs = 60'000;
  SimulatedCluster Simulated;
  Simulated.guarantee("team", 32);
  for (std::size_t Index = 0; Index < 6; ++Index)
    Simulated.addWorker("w" + std::to_string(Index),
                        "r" + std::to_string(Index / 2));
  StepSpec Step = makeStep(2, 8, GENERATE(true, false));
  Step.TaskResources = WorkerCapacity;
  Step.EstimatedMs = LongMs;
  Step.DataRack = "r0";
  Simulated.submit(jobId(1), Step, 0, {LongMs});
  Simulated.play(Duration{500});
  const std::size_t LowerJobs = GENERATE(1U, 2U);
  Step.DataRack = "";
  for (std::size_t Job = 0; Job < LowerJobs; ++Job)
    Simulated.submit(jobId(2 + Job), Step, 2, {LongMs});
  Simulated.play(Duration{500});
  Step.DataRack = "r0";
  Simulated.submit(jobId(9), Step, 0, {LongMs});
  Simulated.play(ReclaimTimeout);
  REQUIRE(Simulated.hasStarted(jobId(9)));
}

TEST_CASE("small tasks do not keep a wide gang from starting") {
  // Without free accelerators, they would take each worker that drains for it.
  constexpr std::size_t Workers = 20;
  constexpr int MaxWaitS = 15;
  const auto Seed = GENERATE(range(1U, 11U));
  std::mt19937_64 Random(Seed);
  std::uniform_int_distribution<std::int64_t> WorkMs(500, 9'000);
  SimulatedCluster Simulated;
  for (std::size_t Index = 0; Index < Workers; ++Index)
    Simulated.addWorker("w" + std::to_string(Index), "r0");
  std::size_t Jobs = 100;
  const auto AddTasks = [&](std::size_t Count) {
    for (std::size_t Job = 0; Job < Count; ++Job)
      Simulated.submit(jobId(Jobs++), makeStep(1, 8, false), 2,
                       {WorkMs(Random)});
  };
  AddTasks(60);
  Simulated.play(Duration{1'000});
  Simulated.submit(jobId(1), makeStep(8, 8, true), 1);
  int WaitedS = 0;
  for (; WaitedS < MaxWaitS && !Simulated.hasStarted(jobId(1)); ++WaitedS) {
    AddTasks(4);
    Simulated.play(Duration{1'000});
  }
  CAPTURE(Seed, WaitedS);
  REQUIRE(Simulated.hasStarted(jobId(1)));
}

TEST_CASE("no worker is reserved until a task that lasts has ended") {
  // Each rack has such a task, so that no rack becomes free as a whole.
  SimulatedCluster Simulated;
  for (std::size_t Index = 0; Index < 8; ++Index)
    Simulated.addWorker("w" + std::to_string(Index),
                        "r" + std::to_string(Index / 2));
  StepSpec Lasting = makeStep(1, 8, false);
  Lasting.LongRunning = true;
  for (std::size_t Rack = 0; Rack < 4; ++Rack) {
    Lasting.DataRack = "r" + std::to_string(Rack);
    Simulated.submit(jobId(100 + Rack), Lasting, 2);
  }
  Simulated.play(Duration{1'000});
  StepSpec Gang = makeStep(2, 8, true);
  Gang.TightlyCoupled = true;
  Simulated.submit(jobId(1), Gang, 1);
  Simulated.play(Duration{1'600});
  Job &Waiting = *Simulated.Table->find(jobId(1));
  const Unit &Entry = Waiting.Occurrences.at(0).Steps.front().Units.front();
  REQUIRE(Entry.ReservedWorkers == std::vector<std::string>{});
}

TEST_CASE("a gang on two racks replaces a refused member on any rack") {
  // Its rack is taken for good, so that it leaves it after a while. A worker
  // refuses its second task; stopping the gang would cost that time again.
  SimulatedCluster Simulated;
  for (std::size_t Index = 0; Index < 8; ++Index)
    Simulated.addWorker("w" + std::to_string(Index),
                        "r" + std::to_string(Index / 2));
  StepSpec Lasting = makeStep(1, 7, false);
  Lasting.LongRunning = true;
  for (std::size_t Rack = 0; Rack < 4; ++Rack) {
    Lasting.DataRack = "r" + std::to_string(Rack);
    Simulated.submit(jobId(100 + Rack), Lasting, 2);
  }
  Simulated.play(Duration{1'000});
  Simulated.trouble("w3").RefusesUntil = Simulated.now() + Duration{10'000};
  StepSpec Gang = makeStep(2, 8, true);
  Gang.TightlyCoupled = GENERATE(true, false);
  if (!Gang.TightlyCoupled)
    Gang.DataRack = "r0";
  Simulated.submit(jobId(1), Gang, 1);
  Simulated.play(Duration{2'600});
  Job &Submitted = *Simulated.Table->find(jobId(1));
  const Unit &Entry = Submitted.Occurrences.at(0).Steps.front().Units.front();
  REQUIRE(Entry.Members.size() == 2);
  REQUIRE(Entry.allRunning());
}

// Guards against a job that never gets its last attempt: tasks that last failed
// at each start and kept all sound workers distrusted.
TEST_CASE("a last attempt does not wait for ever beside tasks that fail") {
  constexpr int Endless = 1'000'000;
  const std::int64_t Failing = GENERATE(2, 6);
  CAPTURE(Failing);
  SimulatedCluster Simulated;
  for (int Index = 0; Index < 8; ++Index)
    Simulated.addWorker("w" + std::to_string(Index), "r0");
  StepSpec Lasting = makeStep(1, 1, false);
  Lasting.LongRunning = true;
  const Instant FailsFrom = Simulated.now() + Duration{4'000};
  for (std::int64_t Index = 0; Index < Failing; ++Index)
    Simulated.submit(jobId(static_cast<std::size_t>(100 + Index)), Lasting, 1,
                     {0, Endless, FailsFrom});
  Simulated.play(Duration{5'000});
  constexpr std::int64_t MaxAttempts = 4;
  Simulated.submit(jobId(1), makeStep(1, 1, false), 1,
                   {1'000, MaxAttempts - 1, Instant{}, MaxAttempts});
  Simulated.play(Duration{20'000});
  REQUIRE(Simulated.Violations == std::vector<std::string>{});
  REQUIRE(Simulated.Table->find(jobId(1))->Phase == JobPhase::Completed);
}

} // namespace pistachioflow::testing
