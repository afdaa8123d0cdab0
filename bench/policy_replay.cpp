// Prints a table that compares the policy with baseline schedulers.

#include <algorithm>
#include <cstdio>
#include <span>
#include <string>
#include <vector>

#include "policy_baselines.hpp"
#include "policy_workloads.hpp"

using namespace pistachioflow;
using namespace pistachioflow::bench;

namespace {

constexpr std::uint64_t Seed = 7;
constexpr double MsPerMinute = 60'000;

struct Contender {
  std::string Name;
  Scheduler Decide;
  bool Checked = false;
};

Scheduler baseline(Baseline Kind) {
  return [Kind](CellState &State, const Event &Fact, const Settings &Prefer,
                Instant Now) {
    return stepBaseline(Kind, State, Fact, Prefer, Now);
  };
}

std::vector<Contender> contenders() {
  return {{"first fit", baseline(Baseline::FirstFit)},
          {"EASY", baseline(Baseline::EasyBackfill)},
          {"best fit", baseline(Baseline::BestFitPriority)},
          {"pistachioflow", policy::step, true}};
}

/// Minutes of a set of jobs.
class Minutes {
public:
  void add(Duration Time) {
    this->All.push_back(static_cast<double>(Time.Ms) / MsPerMinute);
  }

  double mean() const {
    double Sum = 0;
    for (const double Time : this->All)
      Sum += Time;
    return this->All.empty() ? 0 : Sum / static_cast<double>(this->All.size());
  }

  double quantile(double Share) {
    if (this->All.empty())
      return 0;
    std::ranges::sort(this->All);
    const auto Last = static_cast<double>(this->All.size() - 1);
    return this->All[static_cast<std::size_t>(Share * Last)];
  }

private:
  std::vector<double> All;
};

struct Row {
  Minutes Completion;
  Minutes LargeWait;
  Duration UrgentDelay;
  std::size_t Unfinished = 0;
};

/// A job that has not finished counts with the time until the replay's end.
Row rowOf(const ReplayResult &Result) {
  constexpr std::uint32_t LargestTenth = 16;
  Row Summary;
  for (const ReplayedJob &Job : Result.Jobs) {
    if (Job.Job->Broken || Job.Job->CancelAt > Job.Job->Arrival)
      continue;
    const Instant Started = Job.Started ? Job.FirstStart : ReplayEnd;
    const Duration Waited = Started - Job.Job->Arrival;
    Summary.Completion.add((Job.Finished ? Job.End : ReplayEnd) -
                           Job.Job->Arrival);
    Summary.Unfinished += !Job.Finished;
    if (Job.Job->Spec.Shape.accelerators() >= LargestTenth)
      Summary.LargeWait.add(Waited);
    if (Job.Job->Spec.Urgent)
      Summary.UrgentDelay = std::max(Summary.UrgentDelay, Waited);
  }
  return Summary;
}

void print(const Deployment &Site, double Load, const Contender &Candidate,
           const ReplayResult &Result) {
  Row Line = rowOf(Result);
  const double Capacity =
      static_cast<double>(Site.Workers * AcceleratorsPerWorker) *
      static_cast<double>(ReplayEnd.Ms);
  const std::string Reclaim =
      Candidate.Checked ? std::to_string(Result.LongestReclaim.Ms) : "none";
  const std::string Violations =
      Candidate.Checked ? std::to_string(Result.Violations.size()) : "not run";
  std::printf("| %s | %.2f | %s | %.1f | %.1f | %.1f | %.1f | %s | %.2f | "
              "%.2f | %llu | %.0f | %.2f | %zu | %s |\n",
              Site.Name.c_str(), Load, Candidate.Name.c_str(),
              Line.Completion.mean(), Line.Completion.quantile(0.95),
              Line.LargeWait.quantile(0.95),
              static_cast<double>(Line.UrgentDelay.Ms) / 1'000, Reclaim.c_str(),
              Result.Fragmented, Result.LargestFreeShare,
              static_cast<unsigned long long>(Result.Preemptions),
              static_cast<double>(Result.LostWorkMs) / MsPerMinute,
              static_cast<double>(Result.UsedAcceleratorMs) / Capacity,
              Line.Unfinished, Violations.c_str());
  std::fflush(stdout);
  if (Candidate.Checked)
    std::fputs(formatFindings(Result.Violations).c_str(), stderr);
}

void printHead() {
  std::puts(
      "| deployment | load | decisions | completion mean min | completion p95 "
      "min | largest jobs' wait p95 min | urgent start max s | reclaim max ms "
      "| fragmented share | largest free block share | preemptions | lost "
      "accelerator-min | utilisation | unfinished | checker violations |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
            "| --- | --- | --- | --- |");
}

/// Tells whether the arguments, where there are any, name the contender.
bool isWanted(const Contender &Candidate, std::span<char *> Names) {
  return Names.empty() ||
         std::ranges::find(Names, Candidate.Name) != Names.end();
}

} // namespace

int main(int Count, char **Arguments) {
  const std::span<char *> Names(Arguments + 1,
                                static_cast<std::size_t>(Count - 1));
  printHead();
  std::size_t Violations = 0;
  for (const Deployment *Site : {&Almaty, &HallettMarsh})
    for (const double Load : {0.7, 0.95, 1.2}) {
      const Workload Jobs = WorkloadMaker(*Site, Load, Seed).make();
      for (const Contender &Candidate : contenders()) {
        if (!isWanted(Candidate, Names))
          continue;
        ReplayOptions Options;
        Options.Prefer = Site->Preset;
        Options.Seed = Seed;
        Options.Check = Candidate.Checked;
        const ReplayResult Result = replay(Jobs, Candidate.Decide, Options);
        print(*Site, Load, Candidate, Result);
        Violations += Result.Violations.size();
      }
    }
  return Violations == 0 ? 0 : 1;
}
