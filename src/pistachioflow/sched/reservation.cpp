#include "pistachioflow/sched/reservation.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace pistachioflow {

namespace {

/// Room that a placed unit leaves on a worker.
struct Release {
  std::int64_t AfterMs = 0;
  Resources Freed;
};

/// When one more task could start on a worker.
struct Opening {
  std::int64_t AfterMs = 0;
  std::size_t Room = 0;
};

using Choice = std::vector<std::size_t>;

std::vector<std::vector<Release>>
releasesOf(std::size_t RoomCount, std::span<const PlacedUnit> Placed) {
  std::vector<std::vector<Release>> On(RoomCount);
  for (const PlacedUnit &Unit : Placed)
    for (const std::size_t Room : Unit.WorkerIndices)
      On[Room].push_back(
          {Unit.Stopping ? 0 : Unit.RemainingMs, Unit.TaskResources});
  for (std::vector<Release> &List : On)
    std::ranges::sort(List, {}, &Release::AfterMs);
  return On;
}

/// Appends when the first, second and so on task of the gang could start.
void addOpenings(const PlacementWorker &Room, std::size_t Index,
                 const WaitingUnit &Gang, std::span<const Release> Releases,
                 std::vector<Opening> &Openings) {
  const Resources &Each = Gang.Step->TaskResources;
  Resources Available = Room.FreeNow;
  std::int64_t Counted = 0;
  const auto Count = [&](std::int64_t AfterMs) {
    for (const std::int64_t Fit =
             std::min(fittingTasks(Available, Each), Gang.TaskCount);
         Counted < Fit; ++Counted)
      Openings.push_back({AfterMs, Index});
  };
  Count(0);
  for (const Release &Entry : Releases) {
    Available = Available + Entry.Freed;
    Count(Entry.AfterMs);
  }
}

} // namespace

std::optional<Choice> planReservation(std::span<const PlacementWorker> Rooms,
                                      const WaitingUnit &Gang,
                                      std::span<const PlacedUnit> Placed,
                                      std::span<const std::string> Racks) {
  const std::vector<std::vector<Release>> Releases =
      releasesOf(Rooms.size(), Placed);
  const auto Needed = static_cast<std::size_t>(Gang.TaskCount);
  std::optional<Choice> Best;
  std::int64_t BestMs = std::numeric_limits<std::int64_t>::max();
  const auto Consider = [&](const std::string *Rack) {
    std::vector<Opening> Openings;
    for (std::size_t Index = 0; Index < Rooms.size(); ++Index) {
      const bool Inside = !Rack || Rooms[Index].Rack == *Rack;
      if (Inside && mayHost(Rooms[Index], Gang))
        addOpenings(Rooms[Index], Index, Gang, Releases[Index], Openings);
    }
    if (Openings.size() < Needed)
      return;
    std::ranges::stable_sort(Openings, {}, &Opening::AfterMs);
    const std::int64_t ReadyMs = Openings[Needed - 1].AfterMs;
    if (ReadyMs >= BestMs)
      return;
    BestMs = ReadyMs;
    Best.emplace();
    for (std::size_t Task = 0; Task < Needed; ++Task)
      Best->push_back(Openings[Task].Room);
  };
  if (Racks.empty())
    Consider(nullptr);
  for (const std::string &Rack : Racks)
    Consider(&Rack);
  return Best;
}

} // namespace pistachioflow
