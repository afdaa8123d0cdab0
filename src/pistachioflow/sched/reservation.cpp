#include "pistachioflow/sched/reservation.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace pistachioflow {

namespace {

/// Expected time until one more task fits on a worker.
struct Opening {
  std::int64_t AfterMs = 0;
  std::size_t Order = 0; ///< Decides between openings of the same time.
  std::size_t Worker = 0;

  auto operator<=>(const Opening &) const = default;
};

using Choice = std::vector<std::size_t>;

/// Appends, for each further task of the gang, when it could start on the
/// worker.
void addOpenings(const PlacementWorker &Worker, std::size_t Index,
                 const WaitingUnit &Gang,
                 std::span<const ExpectedRelease> Releases,
                 std::vector<Opening> &Openings) {
  const Resources &PerTask = Gang.Step->TaskResources;
  Resources Available = Worker.FreeNow;
  std::int64_t Counted = 0;
  const auto Count = [&](std::int64_t AfterMs) {
    for (const std::int64_t Fit =
             std::min(fittingTasks(Available, PerTask), Gang.TaskCount);
         Counted < Fit; ++Counted)
      Openings.push_back({AfterMs, Openings.size(), Index});
  };
  Count(0);
  for (const ExpectedRelease &Entry : Releases) {
    Available = Available + Entry.Freed;
    Count(Entry.AfterMs);
  }
}

/// Brings the earliest openings for all tasks to the front. Returns when the
/// last of them opens, or nothing if there are too few.
std::optional<std::int64_t> readyAfterMs(std::vector<Opening> &Openings,
                                         std::size_t Needed) {
  if (Openings.size() < Needed)
    return std::nullopt;
  const auto End = Openings.begin() + static_cast<std::ptrdiff_t>(Needed);
  std::ranges::partial_sort(Openings, End);
  return Openings[Needed - 1].AfterMs;
}

} // namespace

ReleasesByWorker expectedReleases(std::size_t WorkerCount,
                                  std::span<const PlacedUnit> Placed) {
  ReleasesByWorker On(WorkerCount);
  for (const PlacedUnit &Unit : Placed)
    for (const std::size_t Worker : Unit.WorkerIndices)
      On[Worker].push_back(
          {Unit.Stopping ? 0 : Unit.RemainingMs, Unit.TaskResources});
  for (std::vector<ExpectedRelease> &List : On)
    std::ranges::sort(List, {}, &ExpectedRelease::AfterMs);
  return On;
}

std::optional<Choice> planReservation(std::span<const PlacementWorker> Workers,
                                      const WaitingUnit &Gang,
                                      const ReleasesByWorker &Releases,
                                      std::span<const std::string_view> Racks) {
  // Where any worker will do, all openings are of one rack without a name.
  std::map<std::string_view, std::vector<Opening>> OnRack;
  for (const std::string_view Rack : Racks)
    OnRack[Rack];
  if (Racks.empty())
    OnRack[{}];
  for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
    const std::string_view Rack =
        Racks.empty() ? std::string_view{} : Workers[Index].Rack;
    const auto Openings = OnRack.find(Rack);
    if (Openings != OnRack.end() && mayHost(Workers[Index], Gang))
      addOpenings(Workers[Index], Index, Gang, Releases[Index],
                  Openings->second);
  }
  const auto Needed = static_cast<std::size_t>(Gang.TaskCount);
  const std::vector<Opening> *Best = nullptr;
  std::int64_t BestMs = std::numeric_limits<std::int64_t>::max();
  const auto Consider = [&](std::vector<Opening> &Openings) {
    const std::optional<std::int64_t> ReadyMs = readyAfterMs(Openings, Needed);
    if (!ReadyMs || *ReadyMs >= BestMs)
      return;
    BestMs = *ReadyMs;
    Best = &Openings;
  };
  if (Racks.empty())
    Consider(OnRack.begin()->second);
  for (const std::string_view Rack : Racks)
    Consider(OnRack[Rack]);
  if (!Best)
    return std::nullopt;
  Choice Chosen;
  for (std::size_t Task = 0; Task < Needed; ++Task)
    Chosen.push_back((*Best)[Task].Worker);
  return Chosen;
}

} // namespace pistachioflow
