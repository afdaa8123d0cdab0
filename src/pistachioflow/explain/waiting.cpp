#include "pistachioflow/explain/waiting.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/explain/words.hpp"
#include "pistachioflow/policy/cell_index.hpp"
#include "pistachioflow/policy/placement.hpp"

namespace pistachioflow::explain {

namespace {

using policy::Amount;
using policy::CellIndex;
using policy::JobState;
using Rooms = std::vector<Amount>;

Rooms freeRooms(const CellIndex &Index) {
  Rooms Room;
  for (const policy::WorkerSlot &Slot : Index.Cap.Slots)
    Room.push_back(Slot.Usable ? Slot.Free : Amount{});
  return Room;
}

bool fits(const CellIndex &Index, const GangShape &Shape, const Rooms &Room) {
  std::uint64_t Looked = 0;
  const auto AnyCost = [](std::span<const policy::SlotShare>) { return 0; };
  return policy::findPlacement({Index.Cap, Shape, Room}, AnyCost, Looked)
      .has_value();
}

Instant expectedEnd(const JobState &Job, Instant Now) {
  const Duration Left = {Job.ExpectedRuntime.Ms - Job.SavedProgress.Ms};
  return std::max(Now, Job.StartedAt + Left);
}

std::vector<std::pair<Instant, const JobState *>>
endsInOrder(const CellView &View) {
  std::vector<std::pair<Instant, const JobState *>> Ends;
  for (const auto &[Name, Job] : View.State.Jobs) {
    if (policy::isActive(Job))
      Ends.emplace_back(expectedEnd(Job, View.Now), &Job);
  }
  std::ranges::stable_sort(Ends, {}, [](const auto &End) { return End.first; });
  return Ends;
}

void giveBack(const CellIndex &Index, const JobState &Job, Rooms &Room) {
  for (const Placement &Place : Job.Placements) {
    const auto At = Index.SlotOf.find(Place.Worker);
    if (At != Index.SlotOf.end() && Index.Cap.Slots[At->second].Usable)
      Room[At->second] += policy::perTask(Job.Spec.Shape) * Place.Tasks;
  }
}

std::optional<Instant> soonestStart(const CellView &View,
                                    const CellIndex &Index,
                                    const JobState &Job) {
  Rooms Room = freeRooms(Index);
  const Instant Earliest = std::max(View.Now, Job.NotBefore);
  if (fits(Index, Job.Spec.Shape, Room))
    return Earliest;
  for (const auto &[End, Other] : endsInOrder(View)) {
    giveBack(Index, *Other, Room);
    if (fits(Index, Job.Spec.Shape, Room))
      return std::max(End, Earliest);
  }
  return std::nullopt;
}

/// Returns the most free accelerators of one worker, one rack and the cell.
struct FreeBlocks {
  std::int64_t Worker = 0;
  std::int64_t Rack = 0;
  std::int64_t Cell = 0;
};

FreeBlocks freeBlocks(const CellIndex &Index) {
  FreeBlocks Blocks;
  for (const policy::RackSlot &Rack : Index.Cap.Racks) {
    std::int64_t Sum = 0;
    for (policy::SlotIndex At = Rack.First; At < Rack.Last; ++At) {
      const policy::WorkerSlot &Slot = Index.Cap.Slots[At];
      if (!Slot.Usable)
        continue;
      Sum += Slot.Free.Accelerators;
      Blocks.Worker = std::max(Blocks.Worker, Slot.Free.Accelerators);
    }
    Blocks.Rack = std::max(Blocks.Rack, Sum);
    Blocks.Cell += Sum;
  }
  return Blocks;
}

void addCeiling(const CellIndex &Index, const JobState &Job,
                WaitingReport &Report) {
  const policy::WorkspaceIndex *Found =
      policy::findWorkspace(Index, Job.Spec.Workspace);
  if (Found == nullptr || Found->Limits == nullptr)
    return;
  const std::int64_t Asked = Job.Spec.Shape.accelerators();
  if (Found->Used + Asked <= Found->Limits->CeilingAccelerators)
    return;
  Report.HeldBy.push_back(
      "Its workspace uses " + std::to_string(Found->Used) + " of the " +
      std::to_string(Found->Limits->CeilingAccelerators) +
      " accelerators that plan " + Found->Limits->Plan.Value +
      " allows, and the job asks for " + std::to_string(Asked) +
      "; a higher ceiling_accelerators in limits would let it start.");
}

void addRoom(const CellIndex &Index, const JobState &Job,
             WaitingReport &Report) {
  if (fits(Index, Job.Spec.Shape, freeRooms(Index)))
    return;
  const FreeBlocks Blocks = freeBlocks(Index);
  Report.HeldBy.push_back("It asks for " + shapeText(Job.Spec.Shape) +
                          ", and " + std::to_string(Blocks.Cell) +
                          " accelerators are free in the cell: at most " +
                          std::to_string(Blocks.Rack) + " in one rack and " +
                          std::to_string(Blocks.Worker) + " on one worker.");
}

void addReservations(const CellView &View, const JobState &Job,
                     WaitingReport &Report) {
  for (const policy::Reservation &Kept : View.State.Reservations) {
    const bool Own = Kept.Job == Job.Spec.Job;
    Report.HeldBy.push_back(
        (Own ? "Reserved for it: "
             : "Reserved for job " + Kept.Job.Value + ": ") +
        placesText(Kept.Placements) + ", expected to be free at " +
        timeText(Kept.ExpectedStart) + ".");
  }
}

void addQueue(const CellView &View, const JobState &Job,
              WaitingReport &Report) {
  const auto IsAhead = [&Job](const auto &Entry) {
    const JobState &Other = Entry.second;
    return Other.Phase == JobPhase::Queued &&
           Other.Spec.Workspace == Job.Spec.Workspace &&
           Other.Spec.Job != Job.Spec.Job &&
           Other.SubmittedAt < Job.SubmittedAt;
  };
  const auto Ahead = std::ranges::count_if(View.State.Jobs, IsAhead);
  if (Ahead > 0)
    Report.HeldBy.push_back(counted(static_cast<std::uint64_t>(Ahead), "job") +
                            " of its workspace waited before it.");
}

} // namespace

WaitingReport whyWaiting(const CellView &View, const JobState &Job) {
  const CellIndex Index = policy::buildIndex(View.State);
  WaitingReport Report;
  if (!Job.Admitted)
    Report.HeldBy.emplace_back(
        "It is not admitted yet: the owner of the cell has still to look at "
        "it.");
  if (Job.NotBefore > View.Now)
    Report.HeldBy.push_back("Earlier attempts ended early, so it is not tried "
                            "again before " +
                            timeText(Job.NotBefore) + ".");
  addCeiling(Index, Job, Report);
  addRoom(Index, Job, Report);
  addReservations(View, Job, Report);
  addQueue(View, Job, Report);
  if (Report.HeldBy.empty())
    Report.HeldBy.emplace_back("Nothing holds it: it fits into what is free, "
                               "and starts with the owner's next decisions.");
  Report.Soonest = soonestStart(View, Index, Job);
  return Report;
}

} // namespace pistachioflow::explain
