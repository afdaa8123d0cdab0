#include <catch2/catch.hpp>

#include <random>

#include "pistachioflow/policy/checker.hpp"
#include "pistachioflow/policy/replay.hpp"
#include "pistachioflow/policy/test_cell.hpp"

using namespace pistachioflow;
using namespace pistachioflow::policy;
using namespace pistachioflow::policy::test;

namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t SeedsPerCase = 250;
constexpr Instant ScheduleEnd{180'000};

/// Generates one fault schedule from its seed.
class Schedule {
public:
  explicit Schedule(std::uint64_t Seed) : Random(Seed) {}

  Workload make() {
    Workload Load;
    const CellShape Shape{this->pick(1, 2), this->pick(1, 3), this->pick(2, 3)};
    Load.Workers = workersOf(Shape);
    Load.Configuration = simpleLists();
    Load.End = ScheduleEnd;
    const std::uint32_t Jobs = this->pick(20, 50);
    for (std::uint32_t Job = 0; Job < Jobs; ++Job)
      Load.Jobs.push_back(this->job(Job));
    this->addLostWorkers(Load);
    this->addEdits(Load);
    for (const WorkerInfo &Worker : Load.Workers)
      if (this->pick(0, 7) == 0)
        Load.Faulty[Worker.Worker] = {this->time(), this->time()};
    return Load;
  }

private:
  std::uint32_t pick(std::uint32_t Least, std::uint32_t Most) {
    return Least +
           static_cast<std::uint32_t>(this->Random() % (Most - Least + 1));
  }

  Instant time() { return {this->pick(1, 150) * 1'000}; }

  ReplayJob job(std::uint32_t Number) {
    const char *Workspaces[] = {"chess", "ratings", "reports", "nobody"};
    const std::uint32_t Whose = this->pick(0, 20);
    ReplayJob Job;
    Job.Spec =
        jobOf("job" + std::to_string(Number),
              Workspaces[Whose == 20 ? 3 : Whose % 3], this->pick(1, 4),
              this->pick(0, 8), static_cast<Adjacency>(this->pick(0, 3)));
    if (Whose % 3 == 0 && this->pick(0, 1) == 0)
      Job.Spec.Shape = simpleLists().Limits.Entries[0].Guarantees[0].Shape;
    Job.Spec.Shape.CoresPerTask = this->pick(1, 12);
    if (Job.Spec.Shape == simpleLists().Limits.Entries[0].Guarantees[0].Shape)
      Job.Spec.Shape.CoresPerTask = 8;
    Job.Spec.Urgent = this->pick(0, 9) == 0;
    Job.Spec.Checkpointable = this->pick(0, 1) == 0;
    Job.Spec.DeclaredRuntime = {this->pick(1, 60) * 1'000};
    Job.Runtime = {this->pick(1, 90) * 1'000};
    Job.Arrival = this->pick(0, 2) == 0 ? Instant{20'000} : this->time();
    Job.Broken = this->pick(0, 14) == 0;
    if (this->pick(0, 5) == 0)
      Job.CancelAt = this->pick(0, 1) ? Instant{60'000} : this->time();
    return Job;
  }

  void addLostWorkers(Workload &Load) {
    for (const WorkerInfo &Worker : Load.Workers) {
      if (this->pick(0, 5) != 0)
        continue;
      const Instant At = this->time();
      Load.Facts.push_back({At, WorkerLost{Worker.Worker}});
      if (this->pick(0, 1))
        Load.Facts.push_back({At + Duration{20'000}, WorkerJoined{Worker}});
    }
  }

  void addEdits(Workload &Load) {
    Lists Next = Load.Configuration;
    if (this->pick(0, 2) == 0) {
      ++Next.Limits.At;
      Next.Limits.Entries[0].Guarantees[0].Count = this->pick(0, 3);
      Next.Limits.Entries[1].CeilingAccelerators = this->pick(0, 32);
      Load.Facts.push_back({{70'000}, ListsChanged{Next}});
    }
    if (this->pick(0, 4) == 0) {
      ++Next.Plans.At;
      Next.Plans.Entries.pop_back();
      Load.Facts.push_back({{100'000}, ListsChanged{Next}});
    }
  }

  std::mt19937_64 Random;
};

ReplayOptions optionsOf(std::uint64_t Seed) {
  ReplayOptions Options;
  Options.Seed = Seed;
  Options.Prefer = Seed % 2 ? ChessPreset : CuringPreset;
  Options.RefusedPercent = 5;
  Options.DuplicatedPercent = 5;
  Options.SnapshotCheckInterval = 20;
  return Options;
}

} // namespace

TEST_CASE("what must always hold does under seeded faults", "[schedules]") {
  const std::uint64_t Part = GENERATE(0, 1, 2, 3);
  std::uint64_t Steps = 0;
  for (std::uint64_t Next = 0; Next < SeedsPerCase; ++Next) {
    const std::uint64_t Seed = FirstSeed + Part * SeedsPerCase + Next;
    const Workload Load = Schedule(Seed).make();
    const ReplayResult Result = replay(Load, step, optionsOf(Seed));
    INFO("seed " << Seed << "\n" << formatFindings(Result.Violations));
    REQUIRE(Result.Violations.empty());
    Steps += Result.Steps;
  }
  CHECK(Steps > SeedsPerCase * 100);
}
