#include "pistachioflow/policy/expected_start.hpp"

#include <algorithm>
#include <array>
#include <functional>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/free_capacity.hpp"
#include "pistachioflow/policy/queue_order.hpp"

namespace pistachioflow::policy {

namespace {

constexpr std::int64_t MinuteMs = 60'000;

/// Search horizons; the first one with a placement is used.
constexpr std::array<std::int64_t, 10> HorizonsMs{
    2 * MinuteMs,    5 * MinuteMs,      15 * MinuteMs,  30 * MinuteMs,
    60 * MinuteMs,   120 * MinuteMs,    240 * MinuteMs, 720 * MinuteMs,
    1440 * MinuteMs, 100'000 * MinuteMs};

/// Idle homes are left out where the job starts at most this much later.
constexpr Duration MaxDelayToAvoidHomes{5 * MinuteMs};

constexpr std::size_t MaxRacksSearched = 64;

/// Capacity that is expected to become free on a slot.
struct Opening {
  Instant At;
  SlotIndex Slot = 0;
  Amount Use;
};

std::int64_t freeIn(const Capacity &Cap, const DomainSlot &Domain) {
  std::int64_t Free = 0;
  for (std::uint32_t Rack = Domain.First; Rack < Domain.Last; ++Rack)
    Free += Cap.Racks[Rack].FreeAccelerators;
  return Free;
}

/// Returns the domains with most free accelerators, up to the bound of racks.
std::vector<DomainSlot> domainsToSearch(const Capacity &Cap) {
  std::vector<DomainSlot> Domains = Cap.Domains;
  std::ranges::stable_sort(
      Domains, std::greater{},
      [&Cap](const DomainSlot &Domain) { return freeIn(Cap, Domain); });
  std::size_t Racks = 0;
  std::size_t Count = 0;
  while (Count < Domains.size() && (Count == 0 || Racks < MaxRacksSearched)) {
    Racks += Domains[Count].Last - Domains[Count].First;
    ++Count;
  }
  Domains.resize(Count);
  return Domains;
}

void addOpenings(const DecisionDraft &Draft, SlotIndex Slot,
                 std::vector<Opening> &Openings) {
  const WorkerId &Name = Draft.Index.WorkerOf[Slot]->Info.Worker;
  for (const JobState *Gang : Draft.Index.Gangs[Slot]) {
    if (!Gang->Borrowed)
      continue;
    const Instant End = isStoppingOrReclaimed(*Gang)
                            ? Draft.Now
                            : expectedEnd(*Gang, Draft.Now);
    for (const Placement &Place : Gang->Placements)
      if (Place.Worker == Name)
        Openings.push_back(
            {End, Slot, perTask(Gang->Spec.Shape) * Place.Tasks});
  }
}

/// Capacity of the searched slots that is free now, or later.
struct CapacityForecast {
  FreeCapacity Free;
  std::vector<Opening> Openings; ///< By time.
};

CapacityForecast forecastCapacity(const DecisionDraft &Draft,
                                  const JobState &Job, bool WithHomes) {
  const FreeCapacity Free = freeToBorrow(Draft, Job);
  CapacityForecast Forecast{FreeCapacity(Free.size()), {}};
  for (const DomainSlot &Domain : domainsToSearch(Draft.Cap)) {
    const SlotIndex First = Draft.Cap.Racks[Domain.First].First;
    const SlotIndex Last = Draft.Cap.Racks[Domain.Last - 1].Last;
    for (SlotIndex Slot = First; Slot < Last; ++Slot) {
      const WorkerSlot &At = Draft.Cap.Slots[Slot];
      if (!At.Usable)
        continue;
      Forecast.Free[Slot] = Free[Slot];
      if (!WithHomes)
        Forecast.Free[Slot] -= elementwiseMax(At.Homes - At.HomeUsed, {});
      addOpenings(Draft, Slot, Forecast.Openings);
    }
  }
  std::ranges::stable_sort(Forecast.Openings, {}, &Opening::At);
  return Forecast;
}

Instant lastOpening(const DecisionDraft &Draft,
                    const CapacityForecast &Forecast, const Shares &At,
                    Instant Horizon) {
  Instant Last = Draft.Now;
  for (const Opening &Open : Forecast.Openings)
    if (Open.At <= Horizon &&
        std::ranges::find(At, Open.Slot, &SlotShare::Slot) != At.end())
      Last = std::max(Last, Open.At);
  return Last;
}

std::optional<ExpectedStart> searchForecast(DecisionDraft &Draft,
                                            const JobState &Job,
                                            const CapacityForecast &Forecast) {
  FreeCapacity Available = Forecast.Free;
  auto Next = Forecast.Openings.begin();
  for (const std::int64_t Ahead : HorizonsMs) {
    const Instant Horizon = Draft.Now + Duration{Ahead};
    for (; Next != Forecast.Openings.end() && Next->At <= Horizon; ++Next)
      Available[Next->Slot] += Next->Use;
    if (auto At = findTightPlacement(Draft, Job.Spec.Shape, Available))
      return ExpectedStart{*At, lastOpening(Draft, Forecast, *At, Horizon)};
  }
  return std::nullopt;
}

} // namespace

std::optional<ExpectedStart> findExpectedStart(DecisionDraft &Draft,
                                               const JobState &Job) {
  auto Outside =
      searchForecast(Draft, Job, forecastCapacity(Draft, Job, false));
  auto Anywhere =
      searchForecast(Draft, Job, forecastCapacity(Draft, Job, true));
  if (!Outside || !Anywhere)
    return Anywhere;
  return Anywhere->Start + MaxDelayToAvoidHomes < Outside->Start ? Anywhere
                                                                 : Outside;
}

} // namespace pistachioflow::policy
