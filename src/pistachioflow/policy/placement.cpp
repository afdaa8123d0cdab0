#include "pistachioflow/policy/placement.hpp"

#include <algorithm>
#include <limits>

namespace pistachioflow::policy {

namespace {

/// A worker and the number of tasks that fit on it.
struct SlotFit {
  SlotIndex Slot = 0;
  std::int64_t Tasks = 0;
};

/// Retains the cheapest of the offered placements.
class Best {
public:
  Best(const PlacementCost &Cost, std::uint64_t &Looked)
      : Cost(Cost), Looked(Looked) {}

  void offer(std::span<const SlotShare> Placement) {
    ++this->Looked;
    const std::int64_t Price = this->Cost(Placement);
    if (this->Found && Price >= this->Lowest)
      return;
    this->Lowest = Price;
    this->Found.emplace(Placement.begin(), Placement.end());
  }

  std::optional<Shares> take() { return std::move(this->Found); }
  bool any() const { return this->Found.has_value(); }

private:
  const PlacementCost &Cost;
  std::uint64_t &Looked;
  std::optional<Shares> Found;
  std::int64_t Lowest = 0;
};

std::int64_t fitOn(const PlacementSearch &Search, SlotIndex Slot) {
  return tasksThatFit(Search.Available[Slot], perTask(Search.Shape),
                      Search.Shape.Tasks);
}

/// Returns the workers of racks [First, Last) that have room for a task.
std::vector<SlotFit> fitsIn(const PlacementSearch &Search, std::uint32_t First,
                            std::uint32_t Last) {
  std::vector<SlotFit> Fits;
  const std::vector<RackSlot> &Racks = Search.Cap.Racks;
  for (SlotIndex Slot = Racks[First].First; Slot < Racks[Last - 1].Last; ++Slot)
    if (const std::int64_t Tasks = fitOn(Search, Slot))
      Fits.push_back({Slot, Tasks});
  return Fits;
}

std::int64_t sumOf(std::span<const SlotFit> Fits) {
  std::int64_t Sum = 0;
  for (const SlotFit &Fit : Fits)
    Sum += Fit.Tasks;
  return Sum;
}

std::int64_t tasksOf(const Shares &Placement) {
  std::int64_t Sum = 0;
  for (const SlotShare &Share : Placement)
    Sum += Share.Tasks;
  return Sum;
}

/// Moves the worker for the next tasks to the front of \p Fits: the tightest
/// that fits all of \p Left, else the one with most capacity (or least, if
/// partly used workers go first).
void chooseNext(std::vector<SlotFit> &Fits, std::int64_t Left, bool Fragments) {
  std::size_t Chosen = 0;
  for (std::size_t At = 1; At < Fits.size(); ++At) {
    const std::int64_t New = Fits[At].Tasks;
    const std::int64_t Old = Fits[Chosen].Tasks;
    const bool NewEnds = New >= Left;
    const bool OldEnds = Old >= Left;
    const bool Better = NewEnds && OldEnds ? New < Old
                        : NewEnds != OldEnds
                            ? NewEnds
                            : (Fragments ? New < Old : New > Old);
    if (Better)
      Chosen = At;
  }
  std::swap(Fits.front(), Fits[Chosen]);
}

void addShare(Shares &Placement, SlotFit &Fit, std::int64_t Tasks) {
  Fit.Tasks -= Tasks;
  const auto Count = static_cast<std::uint32_t>(Tasks);
  const auto Known = std::ranges::find(Placement, Fit.Slot, &SlotShare::Slot);
  if (Known != Placement.end())
    Known->Tasks += Count;
  else
    Placement.push_back({Fit.Slot, Count});
}

/// Distributes the remaining tasks of \p Placement over \p Fits. Precondition:
/// they fit.
Shares spread(const PlacementSearch &Search, std::vector<SlotFit> Fits,
              Shares Placement) {
  std::int64_t Left = Search.Shape.Tasks - tasksOf(Placement);
  while (Left > 0) {
    chooseNext(Fits, Left, Search.PartlyUsedFirst);
    const std::int64_t Taken = std::min(Fits.front().Tasks, Left);
    addShare(Placement, Fits.front(), Taken);
    Left -= Taken;
    std::swap(Fits.front(), Fits.back());
    Fits.pop_back();
  }
  std::ranges::sort(Placement, {}, &SlotShare::Slot);
  return Placement;
}

/// Gives one task to each of racks [First, Last), so that the gang skips none.
/// One or two racks need no such care: fewer of them had no room. Returns
/// nothing where a rack has no room or there are too few tasks.
std::optional<Shares> touchRacks(const PlacementSearch &Search,
                                 std::vector<SlotFit> &Fits,
                                 std::uint32_t First, std::uint32_t Last) {
  Shares Placement;
  if (Last - First <= 2)
    return Placement;
  if (Last - First > Search.Shape.Tasks)
    return std::nullopt;
  for (std::uint32_t Rack = First; Rack < Last; ++Rack) {
    const auto Fit = std::ranges::find_if(Fits, [&](const SlotFit &At) {
      return Search.Cap.Slots[At.Slot].Rack == Rack;
    });
    if (Fit == Fits.end())
      return std::nullopt;
    addShare(Placement, *Fit, 1);
    if (Fit->Tasks == 0)
      Fits.erase(Fit);
  }
  return Placement;
}

void searchWorkers(const PlacementSearch &Search, Best &Found) {
  const auto Tasks = Search.Shape.Tasks;
  for (SlotIndex Slot = 0; Slot < Search.Cap.Slots.size(); ++Slot) {
    const SlotShare Whole{Slot, Tasks};
    if (fitOn(Search, Slot) >= Tasks)
      Found.offer({&Whole, 1});
  }
}

/// Evaluates every sequence of \p Length adjacent racks.
void searchRacks(const PlacementSearch &Search, std::uint32_t Length,
                 Best &Found) {
  const std::vector<RackSlot> &Racks = Search.Cap.Racks;
  for (const DomainSlot &Domain : Search.Cap.Domains)
    for (std::uint32_t First = Domain.First; First + Length <= Domain.Last;
         ++First) {
      const std::uint32_t Last = First + Length;
      if (Racks[Last - 1].Position - Racks[First].Position != Length - 1)
        continue;
      std::vector<SlotFit> Fits = fitsIn(Search, First, Last);
      if (sumOf(Fits) < Search.Shape.Tasks)
        continue;
      auto OnePerRack = touchRacks(Search, Fits, First, Last);
      if (OnePerRack)
        Found.offer(spread(Search, std::move(Fits), std::move(*OnePerRack)));
    }
}

std::uint32_t longestDomain(const Capacity &Cap) {
  std::uint32_t Longest = 0;
  for (const DomainSlot &Domain : Cap.Domains)
    Longest = std::max(Longest, Domain.Last - Domain.First);
  return Longest;
}

void searchDomains(const PlacementSearch &Search, Best &Found) {
  for (const DomainSlot &Domain : Search.Cap.Domains) {
    std::vector<SlotFit> Fits = fitsIn(Search, Domain.First, Domain.Last);
    if (sumOf(Fits) >= Search.Shape.Tasks)
      Found.offer(spread(Search, std::move(Fits), {}));
  }
}

} // namespace

std::optional<Shares> findPlacement(const PlacementSearch &Search,
                                    const PlacementCost &Cost,
                                    std::uint64_t &Looked) {
  Best Found(Cost, Looked);
  searchWorkers(Search, Found);
  const Adjacency Near = Search.Shape.RequiredAdjacency;
  if (!Found.any() && Near != Adjacency::SameWorker)
    searchRacks(Search, 1, Found);
  if (Near == Adjacency::NeighbourRacks || Near == Adjacency::SameDomain) {
    const std::uint32_t Longest = longestDomain(Search.Cap);
    for (std::uint32_t Length = 2; !Found.any() && Length <= Longest; ++Length)
      searchRacks(Search, Length, Found);
  }
  if (!Found.any() && Near == Adjacency::SameDomain)
    searchDomains(Search, Found);
  return Found.take();
}

} // namespace pistachioflow::policy
