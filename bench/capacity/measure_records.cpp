#include "measure.hpp"

#include "pistachioflow/controller/stream.hpp"
#include "sample.hpp"

namespace pistachioflow::capacity {

namespace {

constexpr std::uint32_t Gangs[] = {1, 8, 24, 64, 128};
constexpr std::uint32_t WorkspaceCounts[] = {4, 20, 60, 110};

double bytesOf(Payload What) {
  return static_cast<double>(
      encodeRecord({sampleHeader(), std::move(What)}).size());
}

StartGang spreadStart(std::uint32_t Placements) {
  StartGang Start{{"assessment-1"}, 1, {}, true};
  for (std::uint32_t I = 0; I < Placements; ++I)
    Start.Placements.push_back({{"worker-" + std::to_string(1'000 + I)}, 1});
  return Start;
}

Reason sampleReason() {
  return {ReasonCode::PlacedBorrowing,
          {{ListKind::Plans, "workspace-1", 10'000},
           {ListKind::Limits, "plan-1", 10'000}},
          {{Measure::AcceleratorsAsked, 64}, {Measure::AcceleratorsFree, 512}},
          ""};
}

double startBytes(std::uint32_t Placements) {
  return bytesOf(
      DecisionsMade{{}, {{spreadStart(Placements), sampleReason()}}});
}

/// The records of one job that runs to its end without trouble.
std::vector<Payload> jobLife(std::uint32_t Tasks) {
  CellSample Cell = emptyCell(Tasks + 2);
  JobSpec Spec = sampleJob(1, Tasks, static_cast<std::uint32_t>(110));
  Spec.Shape.CoresPerTask = 64;
  const Instant At{3'000};
  std::vector<Payload> Records{FactsObserved{{JobSubmitted{Spec}}}};
  const auto Step = [&](const Event &Fact, bool Own) {
    std::vector<Decision> Made = policy::step(Cell.State, Fact, {}, At);
    DecisionsMade Batch{{}, std::move(Made)};
    if (Own)
      Batch.Observed.push_back(Fact);
    if (!Batch.Observed.empty() || !Batch.Decisions.empty())
      Records.emplace_back(std::move(Batch));
  };
  Step(JobSubmitted{Spec}, false);
  Step(GangStarted{Spec.Job, 1}, true);
  Step(GangFinished{Spec.Job, 1}, true);
  return Records;
}

Slope jobLifeBytes() {
  std::vector<Point> Points;
  for (const std::uint32_t Tasks : Gangs) {
    double Sum = 0;
    for (const Payload &Item : jobLife(Tasks))
      Sum += bytesOf(Item);
    Points.push_back({static_cast<double>(Tasks), Sum});
  }
  return fit("all records of one job", "placements", "bytes", Points);
}

Slope editBytes() {
  std::vector<Point> Points;
  for (const std::uint32_t Count : WorkspaceCounts)
    Points.push_back({static_cast<double>(Count),
                      bytesOf(PlansEdited{1, sampleLists(Count).Plans.Entries,
                                          "operator"})});
  return fit("an edit of the plans", "workspaces", "bytes", Points);
}

Slope listsChangedBytes() {
  std::vector<Point> Points;
  for (const std::uint32_t Count : WorkspaceCounts)
    Points.push_back(
        {static_cast<double>(Count),
         bytesOf(DecisionsMade{{ListsChanged{sampleLists(Count)}}, {}})});
  return fit("both lists in a cell's stream", "workspaces", "bytes", Points);
}

double keyPairBytes() {
  const RequestBegun Begun{{"workspace-1"}, "open-2026-round-3", {"r-123456"}};
  RequestEnded Ended{
      {"workspace-1"}, "open-2026-round-3", {"r-123456"}, RequestOutcome{}};
  Ended.Outcome.Body = std::string(512, 'x');
  return bytesOf(KeysAppended{{{Begun}}}) + bytesOf(KeysAppended{{{Ended}}});
}

} // namespace

void measureRecords(Measured &Out) {
  std::vector<Point> Starts;
  for (const std::uint32_t Count : Gangs)
    Starts.push_back({static_cast<double>(Count), startBytes(Count)});
  Out.StartBytes =
      fit("a start decision", "placements", "bytes", std::move(Starts));
  Out.JobLifeBytes = jobLifeBytes();
  Out.JobLifeRecords = static_cast<double>(jobLife(1).size());
  Out.PlansEditBytes = editBytes();
  Out.ListsChangedBytes = listsChangedBytes();
  Out.RenewalBytes = bytesOf(OwnerRenewed{1});
  Out.WorkerEventBytes =
      bytesOf(DecisionsMade{{WorkerLost{{"worker-1000"}}}, {}}) +
      bytesOf(DecisionsMade{
          {WorkerJoined{emptyCell(1).State.Workers.begin()->second.Info}}, {}});
  Out.KeyPairBytes = keyPairBytes();
}

} // namespace pistachioflow::capacity
