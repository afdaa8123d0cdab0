#include "pistachioflow/policy/packing.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/policy/placement.hpp"

namespace pistachioflow::policy {

namespace {

std::optional<std::size_t> findLimits(const Lists &Configuration,
                                      const PlanId &Plan) {
  const auto &Lines = Configuration.Limits.Entries;
  const auto Found = std::ranges::find(Lines, Plan, &LimitsEntry::Plan);
  if (Found == Lines.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Lines.begin());
}

/// Returns every guaranteed gang of one line of the list of plans.
void addDemands(const Lists &Configuration, const PlanEntry &Plan,
                std::vector<UnplacedGuarantee> &Demands) {
  const auto Line = findLimits(Configuration, Plan.Plan);
  if (!Line)
    return;
  const auto &Guarantees = Configuration.Limits.Entries[*Line].Guarantees;
  for (std::size_t At = 0; At < Guarantees.size(); ++At)
    for (std::uint32_t Gang = 0; Gang < Guarantees[At].Count; ++Gang)
      Demands.push_back({Plan.Workspace, Guarantees[At].Shape, *Line, At});
}

bool placedFirst(const UnplacedGuarantee &Left,
                 const UnplacedGuarantee &Right) {
  const GangShape &A = Left.Shape;
  const GangShape &B = Right.Shape;
  return std::tuple(B.accelerators(), A.RequiredAdjacency,
                    B.AcceleratorsPerTask, Left.Workspace, Left.LimitsLine,
                    Left.Guarantee) <
         std::tuple(A.accelerators(), B.RequiredAdjacency,
                    A.AcceleratorsPerTask, Right.Workspace, Right.LimitsLine,
                    Right.Guarantee);
}

std::vector<UnplacedGuarantee> demandsOf(const Lists &Configuration) {
  std::vector<UnplacedGuarantee> Demands;
  for (const PlanEntry &Plan : Configuration.Plans.Entries)
    addDemands(Configuration, Plan, Demands);
  std::ranges::stable_sort(Demands, placedFirst);
  return Demands;
}

/// The workers and their remaining capacity.
struct Bins {
  CellState State;
  CellIndex Index;
  std::vector<Amount> Available;
};

Bins binsOf(std::span<const WorkerInfo> Workers) {
  Bins Empty;
  for (const WorkerInfo &Worker : Workers)
    Empty.State.Workers[Worker.Worker].Info = Worker;
  buildCapacity(Empty.Index, Empty.State);
  for (const WorkerSlot &Slot : Empty.Index.Cap.Slots)
    Empty.Available.push_back(Slot.Total);
  return Empty;
}

/// Retains the home if all of its workers exist and have capacity for it.
bool keepHome(Bins &Left, const Home &GangHome) {
  const Amount Task = perTask(GangHome.Shape);
  std::vector<Amount> After = Left.Available;
  for (const Placement &Place : GangHome.Placements) {
    const auto Slot = Left.Index.SlotOf.find(Place.Worker);
    if (Slot == Left.Index.SlotOf.end())
      return false;
    After[Slot->second] -= Task * Place.Tasks;
    if (!covers(After[Slot->second], {}))
      return false;
  }
  Left.Available = std::move(After);
  return true;
}

/// Prefers the racks and workers that the gang fills up.
std::optional<Shares> findHome(const Bins &Left, const GangShape &Shape) {
  constexpr std::int64_t WorkerLeftCost = 64;
  const Capacity &Cap = Left.Index.Cap;
  std::vector<std::int64_t> RackFree(Cap.Racks.size());
  for (SlotIndex Slot = 0; Slot < Cap.Slots.size(); ++Slot)
    RackFree[Cap.Slots[Slot].Rack] += Left.Available[Slot].Accelerators;
  const auto Cost = [&](std::span<const SlotShare> At) {
    std::int64_t Sum = 0;
    std::uint32_t Rack = UINT32_MAX;
    for (const SlotShare &Share : At) {
      const std::int64_t Used =
          std::int64_t{Share.Tasks} * Shape.AcceleratorsPerTask;
      Sum += WorkerLeftCost * (Left.Available[Share.Slot].Accelerators - Used);
      Sum -= Used;
      if (Cap.Slots[Share.Slot].Rack != Rack)
        Sum += RackFree[Cap.Slots[Share.Slot].Rack];
      Rack = Cap.Slots[Share.Slot].Rack;
    }
    return Sum;
  };
  std::uint64_t Looked = 0;
  return findPlacement({Cap, Shape, Left.Available, false}, Cost, Looked);
}

Home homeAt(Bins &Left, const UnplacedGuarantee &Demand, const Shares &At) {
  Home GangHome{Demand.Workspace, Demand.Shape, {}};
  for (const SlotShare &Share : At) {
    Left.Available[Share.Slot] -= perTask(Demand.Shape) * Share.Tasks;
    GangHome.Placements.push_back(
        {Left.Index.WorkerOf[Share.Slot]->Info.Worker, Share.Tasks});
  }
  return GangHome;
}

/// Removes the demand that \p GangHome serves from \p Demands.
bool takeDemand(std::vector<UnplacedGuarantee> &Demands, const Home &GangHome) {
  const auto Served =
      std::ranges::find_if(Demands, [&GangHome](const UnplacedGuarantee &D) {
        return D.Workspace == GangHome.Workspace && D.Shape == GangHome.Shape;
      });
  if (Served == Demands.end())
    return false;
  Demands.erase(Served);
  return true;
}

std::string describe(const GangShape &Shape) {
  return std::to_string(Shape.Tasks) + " tasks of " +
         std::to_string(Shape.AcceleratorsPerTask) + " accelerators, " +
         std::to_string(Shape.CoresPerTask) + " cores and " +
         std::to_string(Shape.MemoryMbPerTask) + " MB";
}

std::string placeOf(const Lists &Configuration,
                    const UnplacedGuarantee &Missing) {
  const LimitsEntry &Line = Configuration.Limits.Entries[Missing.LimitsLine];
  return "limits[" + Line.Plan.Value + "].guarantees[" +
         std::to_string(Missing.Guarantee) + "] for workspace " +
         Missing.Workspace.Value;
}

void checkLine(const LimitsEntry &Line, Findings &Found) {
  std::uint64_t Sum = 0;
  for (const Guarantee &Promise : Line.Guarantees)
    Sum += std::uint64_t{Promise.Shape.accelerators()} * Promise.Count;
  if (Sum > Line.CeilingAccelerators)
    Found.push_back(
        {"limits[" + Line.Plan.Value + "].ceiling",
         "at least the guaranteed " + std::to_string(Sum) + " accelerators",
         std::to_string(Line.CeilingAccelerators)});
}

} // namespace

Packing packHomes(const Lists &Configuration,
                  std::span<const WorkerInfo> Workers,
                  std::span<const Home> Keep) {
  Bins Left = binsOf(Workers);
  std::vector<UnplacedGuarantee> Demands = demandsOf(Configuration);
  Packing Made;
  for (const Home &GangHome : Keep) {
    const bool Serves =
        std::ranges::any_of(Demands, [&GangHome](const UnplacedGuarantee &D) {
          return D.Workspace == GangHome.Workspace && D.Shape == GangHome.Shape;
        });
    if (Serves && keepHome(Left, GangHome)) {
      takeDemand(Demands, GangHome);
      Made.Homes.push_back(GangHome);
    }
  }
  for (const UnplacedGuarantee &Demand : Demands) {
    if (const auto At = findHome(Left, Demand.Shape))
      Made.Homes.push_back(homeAt(Left, Demand, *At));
    else
      Made.Unplaced.push_back(Demand);
  }
  return Made;
}

Findings checkPacking(const Lists &Configuration,
                      std::span<const WorkerInfo> Workers) {
  Findings Found;
  for (const PlanEntry &Plan : Configuration.Plans.Entries)
    if (!findLimits(Configuration, Plan.Plan))
      Found.push_back({"plans[" + Plan.Workspace.Value + "].plan",
                       "a plan of the list of limits", Plan.Plan.Value});
  for (const LimitsEntry &Line : Configuration.Limits.Entries)
    checkLine(Line, Found);
  for (const UnplacedGuarantee &Missing :
       packHomes(Configuration, Workers, {}).Unplaced)
    Found.push_back(
        {placeOf(Configuration, Missing),
         "room for a gang of " + describe(Missing.Shape),
         "none left on " + std::to_string(Workers.size()) + " workers"});
  return Found;
}

} // namespace pistachioflow::policy
