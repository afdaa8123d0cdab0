#include "sample.hpp"

namespace pistachioflow::capacity {

namespace {

constexpr std::uint32_t WorkspacesOfPlan = 11;
constexpr std::uint32_t WorkersOfRack = 8;
constexpr std::uint32_t AcceleratedEvery = 6;
constexpr std::uint32_t AcceleratorsOfWorker = 8;
constexpr std::uint32_t SampleWorkspaces = 110;

std::string numbered(const char *Name, std::uint32_t Number) {
  return Name + std::to_string(Number);
}

WorkerInfo sampleWorker(std::uint32_t Number) {
  WorkerInfo Info;
  Info.Worker.Value = numbered("worker-", Number);
  Info.RackPosition = Number / WorkersOfRack;
  Info.Rack.Value = numbered("rack-", Info.RackPosition);
  Info.Domain.Value = "domain-1";
  Info.Cores = 64;
  Info.MemoryMb = 131'072;
  Info.Accelerators = Number % AcceleratedEvery == 0 ? AcceleratorsOfWorker : 0;
  return Info;
}

} // namespace

Lists sampleLists(std::uint32_t Workspaces) {
  Lists All;
  All.Plans.At = 1;
  All.Limits.At = 1;
  for (std::uint32_t I = 0; I < Workspaces; ++I) {
    const PlanId Plan{numbered("plan-", I / WorkspacesOfPlan)};
    All.Plans.Entries.push_back({{numbered("workspace-", I)}, Plan});
    if (I % WorkspacesOfPlan == 0)
      All.Limits.Entries.push_back({Plan, {}, 100'000, 1, true, 1'000, 1'000});
  }
  return All;
}

JobSpec sampleJob(std::uint32_t Number, std::uint32_t Tasks,
                  std::uint32_t Workspaces) {
  JobSpec Spec;
  Spec.Job.Value = numbered("assessment-", Number);
  Spec.Workspace.Value = numbered("workspace-", Number % Workspaces);
  Spec.Shape.Tasks = Tasks;
  Spec.Shape.CoresPerTask = 2;
  Spec.Shape.MemoryMbPerTask = 2'048;
  Spec.Shape.AcceleratorsPerTask = 0;
  Spec.Shape.RequiredAdjacency = Adjacency::SameDomain;
  Spec.DeclaredRuntime = {4LL * 3'600 * 1'000};
  Spec.Checkpointable = true;
  return Spec;
}

CellSample emptyCell(std::uint32_t Workers) {
  CellSample Cell;
  const Instant At{1'000};
  policy::step(Cell.State, ListsChanged{sampleLists(SampleWorkspaces)}, {}, At);
  for (std::uint32_t I = 0; I < Workers; ++I)
    policy::observe(Cell.State, WorkerJoined{sampleWorker(I)}, At);
  policy::step(Cell.State, TimePassed{}, {}, At);
  return Cell;
}

void fillCell(CellSample &Cell, std::uint32_t Tasks, std::uint32_t GangTasks) {
  const Instant At{2'000};
  const std::uint32_t Last = Cell.Jobs + Tasks / GangTasks;
  for (; Cell.Jobs < Last; ++Cell.Jobs) {
    const JobSpec Spec = sampleJob(Cell.Jobs, GangTasks, SampleWorkspaces);
    policy::step(Cell.State, JobSubmitted{Spec}, {}, At);
    const Attempt Try = Cell.State.Jobs.at(Spec.Job).Try;
    policy::step(Cell.State, GangStarted{Spec.Job, Try}, {}, At);
  }
}

RecordHeader sampleHeader() {
  constexpr std::uint64_t SampleEpoch = 1'000;
  return {RecordVersion,
          {"0123456789abcdef0123456789abcdef"},
          {"entry-1"},
          SampleEpoch,
          {1'800'000'000'000}};
}

} // namespace pistachioflow::capacity
