#include "pistachioflow/policy/homes.hpp"

#include <algorithm>
#include <array>

#include "pistachioflow/policy/packing.hpp"
#include "pistachioflow/policy/reasons.hpp"

namespace pistachioflow::policy {

namespace {

std::vector<WorkerInfo> usableWorkers(const CellState &State) {
  std::vector<WorkerInfo> Workers;
  for (const auto &[Name, Worker] : State.Workers)
    if (isUsable(Worker))
      Workers.push_back(Worker.Info);
  return Workers;
}

/// Tells whether gangs of the home's workspace use part of it.
bool isInUse(const CellIndex &Index, const Home &GangHome) {
  const WorkspaceIndex *Workspace = findWorkspace(Index, GangHome.Workspace);
  if (!Workspace)
    return false;
  return std::ranges::any_of(GangHome.Placements, [&](const Placement &Place) {
    const auto Slot = Index.SlotOf.find(Place.Worker);
    if (Slot == Index.SlotOf.end())
      return false;
    const auto Part =
        std::ranges::find(Workspace->Parts, Slot->second, &HomePart::Slot);
    return Part != Workspace->Parts.end() && Part->Used != Amount{};
  });
}

std::int64_t missingAccelerators(const Packing &Made) {
  std::int64_t Sum = 0;
  for (const UnplacedGuarantee &Missing : Made.Unplaced)
    Sum += Missing.Shape.accelerators();
  return Sum;
}

/// Tries to retain all homes, then those in use, then none. Returns the first
/// packing that places every guaranteed gang, else the one that places most.
Packing repack(const DecisionDraft &Draft) {
  const std::vector<WorkerInfo> Workers = usableWorkers(Draft.State);
  const std::vector<Home> &All = Draft.State.Homes;
  std::vector<Home> InUse;
  for (const Home &GangHome : All)
    if (isInUse(Draft.Index, GangHome))
      InUse.push_back(GangHome);
  const std::array<std::vector<Home>, 3> Keeps{All, InUse, {}};
  Packing Best;
  bool Any = false;
  for (const std::vector<Home> &Keep : Keeps) {
    Packing Made = packHomes(Draft.State.Configuration, Workers, Keep);
    if (Any && missingAccelerators(Made) >= missingAccelerators(Best))
      continue;
    Best = std::move(Made);
    Any = true;
    if (Best.Unplaced.empty())
      break;
  }
  return Best;
}

bool hasMoved(const std::vector<Home> &Before, const std::vector<Home> &After) {
  return std::ranges::any_of(Before, [&After](const Home &GangHome) {
    return std::ranges::find(After, GangHome) == After.end();
  });
}

std::int64_t acceleratorsOf(const std::vector<Home> &Homes) {
  std::int64_t Sum = 0;
  for (const Home &GangHome : Homes)
    Sum += GangHome.Shape.accelerators();
  return Sum;
}

void reportMissing(DecisionDraft &Draft, const Packing &Made) {
  for (const UnplacedGuarantee &Missing : Made.Unplaced)
    Draft.decide(
        ReportGuaranteeAtRisk{Missing.Workspace, Missing.Shape},
        reasonFor(
            Draft.State, Missing.Workspace, ReasonCode::GuaranteeAtRisk,
            {{Measure::AcceleratorsAsked, Missing.Shape.accelerators()},
             {Measure::GuaranteedAccelerators, acceleratorsOf(Made.Homes)},
             {Measure::Workers,
              static_cast<std::int64_t>(Draft.State.Workers.size())}},
            "move a home that is in use"));
}

} // namespace

bool decideHomes(DecisionDraft &Draft) {
  const Lists &Now = Draft.State.Configuration;
  const bool Known = Now.Plans.At > 0 && Now.Limits.At > 0;
  if (!Draft.State.HomesStale || !Known || Draft.State.Workers.empty())
    return false;
  const Packing Made = repack(Draft);
  const bool Moved = hasMoved(Draft.State.Homes, Made.Homes);
  Draft.decide(
      AssignHomes{Made.Homes},
      reasonForAll(
          Draft.State,
          Moved ? ReasonCode::HomeMoved : ReasonCode::HomesAssigned,
          {{Measure::Homes, static_cast<std::int64_t>(Made.Homes.size())},
           {Measure::GuaranteedAccelerators, acceleratorsOf(Made.Homes)},
           {Measure::Failures,
            static_cast<std::int64_t>(Made.Unplaced.size())}},
          "keep the homes as they are"));
  reportMissing(Draft, Made);
  return true;
}

} // namespace pistachioflow::policy
