#include "pistachioflow/policy/free_capacity.hpp"

#include <algorithm>
#include <cmath>

#include "pistachioflow/policy/queue_order.hpp"

namespace pistachioflow::policy {

namespace {

/// Placement cost of one accelerator, by how it is left or used.
constexpr double LeftInRackCost = 1;
constexpr double LeftOnWorkerCost = 8;
constexpr double IdleHomeCost = 8;
constexpr double CostScale = 1'000;

/// From this fragmentation weight on, gangs fill nearly full workers first.
constexpr double PartlyUsedFirstWeight = 0.5;

/// Counts the accelerators of idle homes that the share would borrow.
std::int64_t idleHomeUse(const WorkerSlot &Slot, std::int64_t Used) {
  const std::int64_t Idle =
      Slot.Homes.Accelerators - Slot.HomeUsed.Accelerators;
  const std::int64_t Plain =
      Slot.Free.Accelerators - std::max<std::int64_t>(Idle, 0);
  return std::clamp<std::int64_t>(Used - Plain, 0, Used);
}

void subtractReserved(const ReservedCapacity &Reserved,
                      FreeCapacity &Available) {
  for (const SlotShare &Share : Reserved.At)
    Available[Share.Slot] = elementwiseMax(
        Available[Share.Slot] - perTask(Reserved.Shape) * Share.Tasks, {});
}

double costOf(const DecisionDraft &Draft, const GangShape &Shape,
              const FreeCapacity &Available, std::span<const SlotShare> At) {
  double LeftOnWorkers = 0;
  double LeftInRacks = 0;
  double IdleHomes = 0;
  std::uint32_t Rack = UINT32_MAX;
  for (const SlotShare &Share : At) {
    const WorkerSlot &Slot = Draft.Cap.Slots[Share.Slot];
    const std::int64_t Used =
        std::int64_t{Share.Tasks} * Shape.AcceleratorsPerTask;
    const std::int64_t Left = Available[Share.Slot].Accelerators - Used;
    LeftOnWorkers += static_cast<double>(Left);
    IdleHomes += static_cast<double>(idleHomeUse(Slot, Used));
    LeftInRacks -= static_cast<double>(Used);
    if (Slot.Rack != Rack)
      LeftInRacks +=
          static_cast<double>(Draft.Cap.Racks[Slot.Rack].FreeAccelerators);
    Rack = Slot.Rack;
  }
  const double Weight = Draft.Prefer.FragmentationWeight;
  return Weight *
             (LeftOnWorkerCost * LeftOnWorkers + LeftInRackCost * LeftInRacks) +
         (1 - Weight) * IdleHomeCost * IdleHomes;
}

} // namespace

void excludeFailedWorkers(const DecisionDraft &Draft, const JobState &Job,
                          FreeCapacity &Available) {
  for (const WorkerId &Worker : Job.FailedOn) {
    const auto Slot = Draft.Index.SlotOf.find(Worker);
    if (Slot != Draft.Index.SlotOf.end())
      Available[Slot->second] = {};
  }
}

FreeCapacity freeWithReservations(const DecisionDraft &Draft,
                                  const JobState &Job) {
  FreeCapacity Available;
  Available.reserve(Draft.Cap.Slots.size());
  for (SlotIndex Slot = 0; Slot < Draft.Cap.Slots.size(); ++Slot)
    Available.push_back(Draft.freeOn(Slot));
  excludeFailedWorkers(Draft, Job, Available);
  return Available;
}

FreeCapacity freeToBorrow(const DecisionDraft &Draft, const JobState &Job) {
  FreeCapacity Available = freeWithReservations(Draft, Job);
  for (const ReservedCapacity &Reserved : Draft.ReservedCapacities)
    if (Reserved.For != Job.Spec.Job)
      subtractReserved(Reserved, Available);
  return Available;
}

FreeCapacity freeToBackfill(const DecisionDraft &Draft, const JobState &Job) {
  const Instant End = Draft.Now + remainingRuntime(Job);
  FreeCapacity Available = freeWithReservations(Draft, Job);
  for (const ReservedCapacity &Reserved : Draft.ReservedCapacities)
    if (Reserved.For != Job.Spec.Job && Reserved.ExpectedStart < End)
      subtractReserved(Reserved, Available);
  return Available;
}

std::optional<Shares> findTightPlacement(DecisionDraft &Draft,
                                         const GangShape &Shape,
                                         const FreeCapacity &Available) {
  const auto Cost = [&](std::span<const SlotShare> At) {
    return std::llround(CostScale * costOf(Draft, Shape, Available, At));
  };
  const bool PartlyUsedFirst =
      Draft.Prefer.FragmentationWeight >= PartlyUsedFirstWeight;
  return findPlacement({Draft.Cap, Shape, Available, PartlyUsedFirst}, Cost,
                       Draft.Work.PlacementsEvaluated);
}

} // namespace pistachioflow::policy
