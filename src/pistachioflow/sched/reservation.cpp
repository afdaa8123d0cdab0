#include "pistachioflow/sched/reservation.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace pistachioflow {

namespace {

/// Resources that a placed unit releases on a worker.
struct Release {
  std::int64_t AfterMs = 0;
  Resources Freed;
};

/// Expected time until one more task fits on a worker.
struct Opening {
  std::int64_t AfterMs = 0;
  std::size_t Worker = 0;
};

using Choice = std::vector<std::size_t>;

std::vector<std::vector<Release>>
releasesOf(std::size_t WorkerCount, std::span<const PlacedUnit> Placed) {
  std::vector<std::vector<Release>> On(WorkerCount);
  for (const PlacedUnit &Unit : Placed)
    for (const std::size_t Worker : Unit.WorkerIndices)
      On[Worker].push_back(
          {Unit.Stopping ? 0 : Unit.RemainingMs, Unit.TaskResources});
  for (std::vector<Release> &List : On)
    std::ranges::sort(List, {}, &Release::AfterMs);
  return On;
}

/// Appends, for each further task of the gang, when it could start on the
/// worker.
void addOpenings(const PlacementWorker &Worker, std::size_t Index,
                 const WaitingUnit &Gang, std::span<const Release> Releases,
                 std::vector<Opening> &Openings) {
  const Resources &PerTask = Gang.Step->TaskResources;
  Resources Available = Worker.FreeNow;
  std::int64_t Counted = 0;
  const auto Count = [&](std::int64_t AfterMs) {
    for (const std::int64_t Fit =
             std::min(fittingTasks(Available, PerTask), Gang.TaskCount);
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

std::optional<Choice> planReservation(std::span<const PlacementWorker> Workers,
                                      const WaitingUnit &Gang,
                                      std::span<const PlacedUnit> Placed,
                                      std::span<const std::string_view> Racks) {
  const std::vector<std::vector<Release>> Releases =
      releasesOf(Workers.size(), Placed);
  const auto Needed = static_cast<std::size_t>(Gang.TaskCount);
  std::optional<Choice> Best;
  std::int64_t BestMs = std::numeric_limits<std::int64_t>::max();
  const auto Consider = [&](const std::string_view *Rack) {
    std::vector<Opening> Openings;
    for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
      const bool Allowed = !Rack || Workers[Index].Rack == *Rack;
      if (Allowed && mayHost(Workers[Index], Gang))
        addOpenings(Workers[Index], Index, Gang, Releases[Index], Openings);
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
      Best->push_back(Openings[Task].Worker);
  };
  if (Racks.empty())
    Consider(nullptr);
  for (const std::string_view Rack : Racks)
    Consider(&Rack);
  return Best;
}

} // namespace pistachioflow
