#pragma once

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "pistachioflow/policy/replay.hpp"

namespace pistachioflow::bench {

using namespace pistachioflow::policy;

/// A deployment to simulate.
struct Deployment {
  std::string Name;
  std::uint32_t Domains = 1;
  std::uint32_t Workers = 50;
  std::uint32_t WorkersPerRack = 6;
  std::uint32_t Cores = 64;
  Settings Preset;
  double MeanRuntimeMs = 0;
};

inline const Deployment Almaty{"Almaty", 4, 50, 6, 64, ChessPreset, 480'000};
inline const Deployment HallettMarsh{"Hallett & Marsh", 3,      50, 8, 32,
                                     CuringPreset,      900'000};

constexpr std::uint32_t MemoryMb = 128'000;
constexpr std::uint32_t AcceleratorsPerWorker = 8;
constexpr Instant ReplayEnd{8 * 60 * 60 * 1'000};

/// Distributes the workers over domains, and fills racks one by one.
inline std::vector<WorkerInfo> workersOf(const Deployment &Site) {
  std::vector<WorkerInfo> Workers;
  for (std::uint32_t Domain = 0; Domain < Site.Domains; ++Domain) {
    const std::uint32_t Count =
        Site.Workers / Site.Domains + (Domain < Site.Workers % Site.Domains);
    for (std::uint32_t At = 0; At < Count; ++At) {
      const std::uint32_t Rack = At / Site.WorkersPerRack;
      const std::string DomainName = "d" + std::to_string(Domain);
      const std::string RackName = DomainName + "-r" + std::to_string(Rack);
      Workers.push_back({{RackName + "-w" + std::to_string(At)},
                         {RackName},
                         Rack,
                         {DomainName},
                         Site.Cores,
                         MemoryMb,
                         AcceleratorsPerWorker});
    }
  }
  return Workers;
}

inline GangShape shapeOf(std::uint32_t Tasks, std::uint32_t PerTask,
                         Adjacency Near) {
  return {Tasks, PerTask, 2, 4'000, Near};
}

/// Four workspaces, two with guarantees, one of them large.
inline Lists listsOf() {
  const GangShape Worker = shapeOf(1, 8, Adjacency::SameWorker);
  const GangShape Rack = shapeOf(4, 8, Adjacency::SameRack);
  const LimitsEntry Gold{{"gold"}, {{Rack, 2}, {Worker, 4}}, 240, 4, true, 0,
                         0};
  const LimitsEntry Silver{{"silver"}, {{Worker, 4}}, 200, 2, true, 0, 0};
  const LimitsEntry Basic{{"basic"}, {}, 200, 1, false, 0, 0};
  return {{1,
           {{{"first"}, {"gold"}},
            {{"second"}, {"silver"}},
            {{"third"}, {"basic"}},
            {{"fourth"}, {"basic"}}}},
          {1, {Gold, Silver, Basic}}};
}

/// Generates one workload from a seed.
class WorkloadMaker {
public:
  WorkloadMaker(const Deployment &Site, double Load, std::uint64_t Seed)
      : Site(Site), Target(Load), Random(Seed) {}

  Workload make() {
    Workload Made;
    Made.Workers = workersOf(this->Site);
    Made.Configuration = listsOf();
    Made.End = ReplayEnd;
    this->addJobs(Made);
    this->addBurst(Made, {2 * 60 * 60 * 1'000}, 300, 1);
    this->addBurst(Made, {5 * 60 * 60 * 1'000}, 6, 4);
    this->cancelWave(Made, {3 * 60 * 60 * 1'000});
    this->addFaults(Made);
    return Made;
  }

private:
  double uniform() {
    return static_cast<double>(this->Random() >> 11) * 0x1.0p-53;
  }

  std::int64_t exponential(double Mean) {
    return static_cast<std::int64_t>(-Mean * std::log(1 - this->uniform()));
  }

  GangShape shape() {
    const double Draw = this->uniform();
    if (Draw < 0.35)
      return shapeOf(1, 1, Adjacency::SameWorker);
    if (Draw < 0.55)
      return shapeOf(1, 2, Adjacency::SameWorker);
    if (Draw < 0.70)
      return shapeOf(2, 2, Adjacency::SameWorker);
    if (Draw < 0.85)
      return shapeOf(1, 8, Adjacency::SameWorker);
    if (Draw < 0.95)
      return shapeOf(2, 8, Adjacency::SameRack);
    return shapeOf(4, 8, Adjacency::SameRack);
  }

  ReplayJob job(Instant Arrival, const GangShape &Shape) {
    ReplayJob Made;
    const double Whose = this->uniform();
    const bool First = Whose < 0.4;
    const char *Workspace = First          ? "first"
                            : Whose < 0.65 ? "second"
                            : Whose < 0.85 ? "third"
                                           : "fourth";
    Made.Spec.Job = {"job" + std::to_string(this->Count++)};
    Made.Spec.Workspace = {Workspace};
    Made.Spec.Shape = Shape;
    Made.Spec.Checkpointable = this->uniform() < 0.6;
    Made.Arrival = Arrival;
    Made.Runtime = {10'000 + this->exponential(this->Site.MeanRuntimeMs)};
    Made.Spec.Urgent =
        First && Shape.accelerators() <= 4 && this->uniform() < 0.05;
    // Workspaces overstate run times alike; one job in ten understates its own.
    const double Overstated = First ? 3 : 1.5;
    const double Factor =
        this->uniform() < 0.1 ? 0.3 : Overstated * (0.5 + this->uniform());
    Made.Spec.DeclaredRuntime = {static_cast<std::int64_t>(
        static_cast<double>(Made.Runtime.Ms) * Factor)};
    Made.Broken = this->uniform() < 0.01;
    return Made;
  }

  /// Jobs arrive at a rate that asks for Target of the accelerators.
  void addJobs(Workload &Made) {
    constexpr double MeanAccelerators =
        0.35 * 1 + 0.20 * 2 + 0.15 * 4 + 0.15 * 8 + 0.10 * 16 + 0.05 * 32;
    const double Capacity = this->Site.Workers * AcceleratorsPerWorker;
    const double GapMs =
        MeanAccelerators * this->Site.MeanRuntimeMs / (Capacity * this->Target);
    for (Instant At{this->exponential(GapMs)}; At < Made.End;
         At = At + Duration{this->exponential(GapMs) + 1})
      Made.Jobs.push_back(this->job(At, this->shape()));
  }

  void addBurst(Workload &Made, Instant At, int Jobs, std::uint32_t Tasks) {
    const GangShape Shape = Tasks == 1 ? shapeOf(1, 1, Adjacency::SameWorker)
                                       : shapeOf(Tasks, 8, Adjacency::SameRack);
    for (int Job = 0; Job < Jobs; ++Job)
      Made.Jobs.push_back(this->job(At, Shape));
  }

  void cancelWave(Workload &Made, Instant At) {
    for (ReplayJob &Job : Made.Jobs)
      if (Job.Arrival < At && At - Job.Arrival < Duration{1'800'000} &&
          this->uniform() < 0.3)
        Job.CancelAt = At;
  }

  void addFaults(Workload &Made) {
    const Instant RackLost{4 * 60 * 60 * 1'000};
    const RackId Rack = Made.Workers[Made.Workers.size() / 2].Rack;
    for (const WorkerInfo &Worker : Made.Workers) {
      if (Worker.Rack != Rack)
        continue;
      Made.Facts.push_back({RackLost, WorkerLost{Worker.Worker}});
      Made.Facts.push_back(
          {RackLost + Duration{1'800'000}, WorkerJoined{Worker}});
    }
    for (std::size_t At : {3, 17})
      Made.Faulty[Made.Workers[At].Worker] = {{3'600'000}, {14'400'000}};
  }

  const Deployment &Site;
  const double Target;
  std::mt19937_64 Random;
  int Count = 0;
};

} // namespace pistachioflow::bench
