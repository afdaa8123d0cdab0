// Prints the cost of the decisions by size of the cell: time, work and
// allocations of one step, and the share of a core at the target's event rate.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <new>
#include <random>
#include <string>
#include <vector>

#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/policy/work_count.hpp"

using namespace pistachioflow;
using namespace pistachioflow::policy;

namespace {

std::atomic<std::uint64_t> Allocations = 0;

constexpr std::uint32_t WorkersPerRack = 8;
constexpr std::uint32_t RacksPerDomain = 54;
constexpr std::uint32_t AcceleratorsPerWorker = 8;
constexpr std::uint32_t CoresPerWorker = 64;
constexpr std::uint32_t MemoryMbPerWorker = 256'000;
constexpr std::uint32_t Workspaces = 110;
constexpr std::uint32_t QueuedJobs = 200;
constexpr int Steps = 400;

// The target: 33,000 jobs a day over 21 cells. A job comes, starts, ends and is
// now and then preempted or cancelled; the owner ticks as well.
constexpr double JobsPerSecond = 33'000.0 / 21 / 86'400;
constexpr double EventsPerJob = 8;
constexpr double TicksPerSecond = 2;

/// Returns a cell in which \p Tasks gangs of one task run and some jobs wait.
CellState fullCell(std::uint32_t Workers, std::uint32_t Tasks) {
  CellState State;
  for (std::uint32_t At = 0; At < Workers; ++At) {
    const std::uint32_t Rack = At / WorkersPerRack;
    const std::uint32_t Domain = Rack / RacksPerDomain;
    observe(State,
            WorkerJoined{{{"worker-" + std::to_string(At)},
                          {"rack-" + std::to_string(Rack)},
                          Rack % RacksPerDomain,
                          {"domain-" + std::to_string(Domain)},
                          CoresPerWorker,
                          MemoryMbPerWorker,
                          AcceleratorsPerWorker}},
            {1});
  }
  Lists Configuration{{1, {}}, {1, {}}};
  const GangShape Promised{1, 8, 8, 8'000, Adjacency::SameWorker};
  Configuration.Limits.Entries.push_back(
      {{"team"}, {{Promised, 1}}, 1'000'000, 1, true, 0, 0});
  for (std::uint32_t At = 0; At < Workspaces; ++At)
    Configuration.Plans.Entries.push_back(
        {{"team-" + std::to_string(At)}, {"team"}});
  observe(State, ListsChanged{Configuration}, {1});
  for (const Decision &Made : decide(State, {}, {1}))
    apply(State, Made.What, {1});
  for (std::uint32_t At = 0; At < Tasks + QueuedJobs; ++At) {
    // Most tasks need cores alone, as most of the target's do.
    const bool Queued = At >= Tasks;
    const std::uint32_t Accelerators = Queued ? 8 : (At / Workers < 1 ? 1 : 0);
    const JobId Name{"job-" + std::to_string(At)};
    observe(State,
            JobSubmitted{{Name,
                          {"team-" + std::to_string(At % Workspaces)},
                          {1, Accelerators, 1, 1'000, Adjacency::SameWorker},
                          {7'200'000},
                          false,
                          At % 2 == 0}},
            {1});
    apply(State, AdmitJob{Name}, {1});
    if (Queued)
      continue;
    const std::string Worker = "worker-" + std::to_string(At % Workers);
    apply(State, StartGang{Name, 1, {{{Worker}, 1}}, true}, {1});
    observe(State, GangStarted{Name, 1}, {1});
  }
  return State;
}

/// Ends running jobs and submits new ones in turn.
class Traffic {
public:
  explicit Traffic(std::uint32_t Tasks) : Tasks(Tasks) {}

  Event next() {
    const std::uint32_t Turn = this->Count++;
    if (Turn % 4 == 3)
      return TimePassed{};
    if (Turn % 2 == 0) {
      const std::uint32_t Victim = (Turn * 7'919) % this->Tasks;
      return GangFinished{{"job-" + std::to_string(Victim)}, 1};
    }
    return JobSubmitted{{{"new-" + std::to_string(Turn)},
                         {"team-" + std::to_string(Turn % Workspaces)},
                         {1, 1, 1, 1'000, Adjacency::SameWorker},
                         {7'200'000},
                         false,
                         true}};
  }

private:
  const std::uint32_t Tasks;
  std::uint32_t Count = 0;
};

/// Answers decisions as workers would, at once.
void answer(const Decision &Made, std::deque<Event> &Answers) {
  if (const auto *Start = std::get_if<StartGang>(&Made.What))
    Answers.emplace_back(GangStarted{Start->Job, Start->Try});
  if (const auto *Ask = std::get_if<CheckpointGang>(&Made.What))
    Answers.emplace_back(CheckpointTaken{Ask->Job, Ask->Try});
  if (const auto *Stop = std::get_if<StopGang>(&Made.What))
    Answers.emplace_back(GangStopped{Stop->Job, Stop->Try});
}

struct Cost {
  double MicrosPerStep = 0;
  double AllocationsPerStep = 0;
  double LooksPerDecision = 0;
};

Cost measure(std::uint32_t Workers, std::uint32_t Tasks) {
  CellState State = fullCell(Workers, Tasks);
  Traffic Load(Tasks);
  std::deque<Event> Answers;
  WorkCount Work;
  std::uint64_t Decisions = 0;
  const std::uint64_t Before = Allocations;
  const auto Start = std::chrono::steady_clock::now();
  for (int Step = 0; Step < Steps; ++Step) {
    const Instant Now{2 + Step};
    const Event Fact = Answers.empty() ? Load.next() : Answers.front();
    if (!Answers.empty())
      Answers.pop_front();
    observe(State, Fact, Now);
    for (int Round = 0; Round < 8; ++Round) {
      const auto Made = decide(State, {}, Now, Work);
      ++Decisions;
      for (const Decision &Next : Made) {
        apply(State, Next.What, Now);
        answer(Next, Answers);
      }
      if (Made.empty())
        break;
    }
  }
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  const auto Looks = static_cast<double>(
      Work.JobsExamined + Work.PlacementsEvaluated + Work.VictimsEvaluated);
  return {Took.count() / Steps,
          static_cast<double>(Allocations - Before) / Steps,
          Looks / static_cast<double>(Decisions)};
}

struct Size {
  std::uint32_t Workers;
  std::uint32_t Tasks;
};

} // namespace

void *operator new(std::size_t Bytes) {
  ++Allocations;
  if (void *Memory = std::malloc(Bytes))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

int main() {
  std::puts("| workers | tasks | us a step | allocations a step | looks a "
            "decision | share of a core at the target's rate |");
  std::puts("| --- | --- | --- | --- | --- | --- |");
  constexpr double EventsPerSecond =
      JobsPerSecond * EventsPerJob + TicksPerSecond;
  for (const Size CellSize : {Size{50, 400}, Size{430, 1'500}, Size{430, 6'200},
                              Size{9'000, 30'000}, Size{9'000, 130'000}}) {
    const Cost Took = measure(CellSize.Workers, CellSize.Tasks);
    std::printf("| %u | %u | %.0f | %.0f | %.0f | %.3f%% |\n", CellSize.Workers,
                CellSize.Tasks, Took.MicrosPerStep, Took.AllocationsPerStep,
                Took.LooksPerDecision,
                Took.MicrosPerStep * EventsPerSecond / 1e6 * 100);
    std::fflush(stdout);
  }
}
