#include <algorithm>
#include <iterator>

#include "candidate_workers.hpp"

namespace pistachioflow {

std::optional<std::size_t>
planReplacement(std::span<PlacementWorker> Workers, const WaitingUnit &Gang,
                std::span<const std::string_view> Racks) {
  const bool StaysOnRack =
      !Racks.empty() &&
      std::ranges::count(Racks, Racks.front()) == std::ranges::ssize(Racks);
  const bool OneRack = Gang.Step->TightlyCoupled && StaysOnRack;
  const bool NearData = !Gang.Step->DataRack.empty() && StaysOnRack &&
                        Racks.front() == Gang.Step->DataRack;
  for (const CandidateWorker &Entry :
       findCandidates(Workers, Gang, &PlacementWorker::FreeNow)) {
    const std::string_view Rack = Workers[Entry.Worker].Rack;
    const bool Allowed = (!OneRack || Rack == Racks.front()) &&
                         (!NearData || Rack == Gang.Step->DataRack);
    if (Allowed && !Entry.Avoided)
      return Entry.Worker;
  }
  return std::nullopt;
}

} // namespace pistachioflow
