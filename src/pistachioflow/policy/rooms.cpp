#include "pistachioflow/policy/rooms.hpp"

#include <algorithm>
#include <cmath>

#include "pistachioflow/policy/queue_order.hpp"

namespace pistachioflow::policy {

namespace {

/// What one accelerator costs a placement, by what becomes of it.
constexpr double LeftInRackCost = 1;
constexpr double LeftOnWorkerCost = 8;
constexpr double IdleHomeCost = 8;
constexpr double CostScale = 1'000;

/// From this weight on, gangs fill up nearly full workers first.
constexpr double FragmentsFirstWeight = 0.5;

/// Counts the accelerators of idle homes that the share would borrow.
std::int64_t idleHomeUse(const WorkerSlot &Slot, std::int64_t Used) {
  const std::int64_t Idle =
      Slot.Homes.Accelerators - Slot.HomeUsed.Accelerators;
  const std::int64_t Plain =
      Slot.Free.Accelerators - std::max<std::int64_t>(Idle, 0);
  return std::clamp<std::int64_t>(Used - Plain, 0, Used);
}

void takeKept(const KeptShare &Kept, Rooms &Room) {
  for (const SlotShare &Share : Kept.At)
    Room[Share.Slot] =
        most(Room[Share.Slot] - perTask(Kept.Shape) * Share.Tasks, {});
}

double costOf(const Plan &Draft, const GangShape &Shape, const Rooms &Room,
              std::span<const SlotShare> At) {
  double LeftOnWorkers = 0;
  double LeftInRacks = 0;
  double IdleHomes = 0;
  std::uint32_t Rack = UINT32_MAX;
  for (const SlotShare &Share : At) {
    const WorkerSlot &Slot = Draft.Cap.Slots[Share.Slot];
    const std::int64_t Used =
        std::int64_t{Share.Tasks} * Shape.AcceleratorsPerTask;
    const std::int64_t Left = Room[Share.Slot].Accelerators - Used;
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

void leaveOutFailed(const Plan &Draft, const JobState &Job, Rooms &Room) {
  for (const WorkerId &Worker : Job.FailedOn) {
    const auto Slot = Draft.Index.SlotOf.find(Worker);
    if (Slot != Draft.Index.SlotOf.end())
      Room[Slot->second] = {};
  }
}

Rooms roomOfFree(const Plan &Draft, const JobState &Job) {
  Rooms Room;
  Room.reserve(Draft.Cap.Slots.size());
  for (SlotIndex Slot = 0; Slot < Draft.Cap.Slots.size(); ++Slot)
    Room.push_back(Draft.freeOn(Slot));
  leaveOutFailed(Draft, Job, Room);
  return Room;
}

Rooms roomToBorrow(const Plan &Draft, const JobState &Job) {
  Rooms Room = roomOfFree(Draft, Job);
  for (const KeptShare &Kept : Draft.Kept)
    if (Kept.For != Job.Spec.Job)
      takeKept(Kept, Room);
  return Room;
}

Rooms roomToBackfill(const Plan &Draft, const JobState &Job) {
  const Instant End = Draft.Now + remainingRuntime(Job);
  Rooms Room = roomOfFree(Draft, Job);
  for (const KeptShare &Kept : Draft.Kept)
    if (Kept.For != Job.Spec.Job && Kept.ExpectedStart < End)
      takeKept(Kept, Room);
  return Room;
}

std::optional<Shares> placeTightly(Plan &Draft, const GangShape &Shape,
                                   const Rooms &Room) {
  const auto Cost = [&](std::span<const SlotShare> At) {
    return std::llround(CostScale * costOf(Draft, Shape, Room, At));
  };
  const bool FragmentsFirst =
      Draft.Prefer.FragmentationWeight >= FragmentsFirstWeight;
  return findPlacement({Draft.Cap, Shape, Room, FragmentsFirst}, Cost,
                       Draft.Work.PlacementsWeighed);
}

} // namespace pistachioflow::policy
