#include "preemption.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "placement_fixture.hpp"

namespace pistachioflow {

using namespace testing;

namespace {

constexpr std::size_t Racks = 4;
constexpr std::size_t WorkersPerRack = 5;
constexpr std::uint64_t Seeds = 300;

/// Workers that are full of work of lower priorities.
struct FullCluster {
  std::vector<PlacementWorker> Workers;
  std::vector<PlacedUnit> Placed;
};

FullCluster makeFullCluster(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  const auto Pick = [&Random](std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(Random);
  };
  FullCluster Cluster;
  Cluster.Workers = makeWorkers(Racks * WorkersPerRack, WorkersPerRack);
  for (std::size_t Index = 0; Index < Cluster.Workers.size(); ++Index) {
    PlacementWorker &Worker = Cluster.Workers[Index];
    while (Worker.FreeNow.Accelerators > 0) {
      PlacedUnit Unit;
      const std::int64_t Accelerators =
          std::min(Pick(1, 8), Worker.FreeNow.Accelerators);
      Unit.TaskResources = {1'000, 1'024, Accelerators};
      Unit.Priority = Pick(1, 2);
      Unit.LostWork = static_cast<double>(Pick(1, 200));
      Unit.WorkerIndices = {Index};
      Worker.FreeNow = Worker.FreeNow - Unit.TaskResources;
      Cluster.Placed.push_back(std::move(Unit));
    }
    Worker.FreeAfterStops = Worker.FreeAfterExpectedEnds = Worker.FreeNow;
  }
  return Cluster;
}

/// Returns the workers of \p Rack with what runs there.
FullCluster onlyRack(const FullCluster &Whole, std::string_view Rack) {
  FullCluster Part;
  std::vector<std::size_t> NewIndex(Whole.Workers.size());
  for (std::size_t Index = 0; Index < Whole.Workers.size(); ++Index) {
    NewIndex[Index] = Part.Workers.size();
    if (Whole.Workers[Index].Rack == Rack)
      Part.Workers.push_back(Whole.Workers[Index]);
  }
  for (const PlacedUnit &Unit : Whole.Placed) {
    const std::size_t Worker = Unit.WorkerIndices.front();
    if (Whole.Workers[Worker].Rack != Rack)
      continue;
    Part.Placed.push_back(Unit);
    Part.Placed.back().WorkerIndices = {NewIndex[Worker]};
  }
  return Part;
}

std::optional<Preemption> plan(const FullCluster &Cluster,
                               const WaitingUnit &Unit,
                               std::vector<std::string_view> OnRacks) {
  const GuaranteeLedger Guarantees({});
  const auto Stopping = std::make_unique<bool[]>(Cluster.Placed.size());
  return planPreemption({Cluster.Workers,
                         Cluster.Placed,
                         {Stopping.get(), Cluster.Placed.size()},
                         Unit,
                         false,
                         Guarantees},
                        OnRacks);
}

std::vector<std::string_view> idsOf(const FullCluster &Cluster,
                                    const Preemption &Planned) {
  std::vector<std::string_view> Ids;
  for (const std::size_t Worker : Planned.Chosen)
    Ids.push_back(Cluster.Workers[Worker].Id);
  return Ids;
}

} // namespace

// Guards against a gang that takes workers of two racks, or that preempts more
// than it needs, since only the workers of one rack are looked at.
TEST_CASE("a preemption on a rack is that of a cluster of this rack alone") {
  const std::int64_t Tasks = GENERATE(1, 2, 5, 8);
  const std::int64_t Accelerators = GENERATE(1, 3, 8);
  CAPTURE(Tasks, Accelerators);
  const StepSpec Step =
      makeStep(Tasks, {1'000, 1'024, Accelerators}, Tasks > 1, true);
  const WaitingUnit Unit = makeUnit(Step, 0);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const FullCluster Whole = makeFullCluster(Seed);
    const std::string_view Rack = nameOf("r", Seed % Racks);
    const FullCluster Part = onlyRack(Whole, Rack);
    const auto OnRack = plan(Whole, Unit, {Rack});
    const auto Alone = plan(Part, Unit, {});
    CAPTURE(Seed);
    REQUIRE(OnRack.has_value() == Alone.has_value());
    if (!OnRack)
      continue;
    REQUIRE(idsOf(Whole, *OnRack) == idsOf(Part, *Alone));
    REQUIRE(OnRack->Victims.size() == Alone->Victims.size());
    REQUIRE(OnRack->Cost == Alone->Cost);
  }
}

TEST_CASE("of several racks the one with the cheapest preemption is taken") {
  const StepSpec Step = makeStep(3, {1'000, 1'024, 8}, true, true);
  const WaitingUnit Unit = makeUnit(Step, 0);
  std::vector<std::string_view> All;
  for (std::size_t Rack = 0; Rack < Racks; ++Rack)
    All.push_back(nameOf("r", Rack));
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const FullCluster Whole = makeFullCluster(Seed);
    std::vector<double> Costs;
    for (const std::string_view Rack : All)
      Costs.push_back(plan(Whole, Unit, {Rack})->Cost);
    CAPTURE(Seed);
    REQUIRE(plan(Whole, Unit, All)->Cost == *std::ranges::min_element(Costs));
  }
}

} // namespace pistachioflow
