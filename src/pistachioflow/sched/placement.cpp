#include "pistachioflow/sched/placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "pistachioflow/sched/reservation.hpp"

namespace pistachioflow {

namespace {

/// Reservations take at most this part of the workers.
constexpr std::size_t MostReservedPercent = 40;
constexpr std::size_t WholePercent = 100;

using Rooms = std::span<PlacementWorker>;
using Choice = std::vector<std::size_t>;

Resources countedDemand(const StepSpec &Step) {
  Resources Each = Step.TaskResources;
  if (Step.FillsIdleCpu)
    Each.MilliCores = 0;
  return Each;
}

bool eligible(const PlacementWorker &Room, const WaitingUnit &Unit) {
  const bool SmallAndPatient = Unit.Priority > 0 && Unit.TaskCount == 1;
  if (Room.ReservedForUrgent && SmallAndPatient)
    return false;
  return !Room.ReservedThisRound && mayHost(Room, Unit);
}

bool avoided(const PlacementWorker &Room, const WaitingUnit &Unit) {
  if (Unit.LastAttempt && !Room.Verified)
    return true;
  if (Room.ReservedForGroup != NoGroup && Room.ReservedForGroup != Unit.Group)
    return true;
  return Room.Deprioritized ||
         (Unit.AvoidedWorkers && Unit.AvoidedWorkers->contains(Room.Id));
}

/// How many tasks of the unit may still go to a worker by the step's limit.
std::int64_t spreadLimit(const PlacementWorker &Room, const WaitingUnit &Unit) {
  if (Unit.Step->MaxPerWorker <= 0)
    return UnlimitedTasks;
  const auto Held = std::ranges::count(Unit.GroupWorkers, Room.Id);
  return std::max<std::int64_t>(Unit.Step->MaxPerWorker - Held, 0);
}

std::int64_t tasksFor(const PlacementWorker &Room, const WaitingUnit &Unit,
                      const Resources &Available) {
  const std::int64_t Fitting =
      std::min(fittingTasks(Available, countedDemand(*Unit.Step)),
               spreadLimit(Room, Unit));
  return Room.OnProbation ? std::min<std::int64_t>(Fitting, 1) : Fitting;
}

/// A worker with the number of the unit's tasks that fit on it.
struct Candidate {
  std::size_t Room = 0;
  std::int64_t Tasks = 0;
  std::int64_t Leftover = 0; ///< Accelerators free after one task.
  std::int64_t LeftoverCores = 0;
  bool Avoided = false;
};

bool betterCandidate(const Candidate &Left, const Candidate &Right) {
  if (Left.Avoided != Right.Avoided)
    return !Left.Avoided;
  if (Left.Leftover != Right.Leftover)
    return Left.Leftover < Right.Leftover;
  return Left.LeftoverCores < Right.LeftoverCores;
}

std::vector<Candidate> candidates(Rooms List, const WaitingUnit &Unit,
                                  Resources PlacementWorker::*Which) {
  std::vector<Candidate> Found;
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const PlacementWorker &Room = List[Index];
    if (!eligible(Room, Unit))
      continue;
    const Resources &Available = Room.*Which;
    const std::int64_t Tasks = tasksFor(Room, Unit, Available);
    if (Tasks <= 0)
      continue;
    const Resources &Each = Unit.Step->TaskResources;
    Found.push_back({Index, Tasks, Available.Accelerators - Each.Accelerators,
                     Available.MilliCores - Each.MilliCores,
                     avoided(Room, Unit)});
  }
  std::ranges::stable_sort(Found, betterCandidate);
  return Found;
}

/// Takes the best candidates until every task has a worker.
std::optional<Choice> fill(std::span<const Candidate> List,
                           std::int64_t Tasks) {
  Choice Chosen;
  for (const Candidate &Entry : List) {
    const std::int64_t Missing =
        Tasks - static_cast<std::int64_t>(Chosen.size());
    const std::int64_t Taken = std::min(Missing, Entry.Tasks);
    Chosen.insert(Chosen.end(), static_cast<std::size_t>(Taken), Entry.Room);
    if (static_cast<std::int64_t>(Chosen.size()) == Tasks)
      return Chosen;
  }
  return std::nullopt;
}

/// The racks a unit may use, the best first. Empty names mean any worker.
std::vector<std::string> allowedRacks(Rooms List, const WaitingUnit &Unit) {
  std::map<std::string, std::int64_t> WholeRoom;
  for (const PlacementWorker &Room : List)
    if (eligible(Room, Unit))
      WholeRoom[Room.Rack] += tasksFor(Room, Unit, Room.Capacity);
  const std::string &DataRack = Unit.Step->DataRack;
  const auto Data = WholeRoom.find(DataRack);
  const bool DataRackExists =
      !DataRack.empty() && Data != WholeRoom.end() && Data->second > 0;
  if (DataRackExists && (!Unit.Step->Gang || Data->second >= Unit.TaskCount))
    return {DataRack};
  const bool OneRack =
      Unit.Step->Gang && Unit.Step->TightlyCoupled && Unit.TaskCount > 1;
  if (!OneRack)
    return {};
  std::vector<std::string> Racks;
  for (const auto &[Rack, Tasks] : WholeRoom)
    if (Tasks >= Unit.TaskCount)
      Racks.push_back(Rack);
  return Racks;
}

/// Chooses workers from the free (or soon free) room. On several racks the one
/// that is left with the least room wins.
std::optional<Choice> choose(Rooms List, const WaitingUnit &Unit,
                             std::span<const std::string> Racks,
                             Resources PlacementWorker::*Which) {
  const std::vector<Candidate> All = candidates(List, Unit, Which);
  if (Racks.empty())
    return fill(All, Unit.TaskCount);
  std::optional<Choice> Best;
  std::int64_t BestRoom = UnlimitedTasks;
  for (const std::string &Rack : Racks) {
    std::vector<Candidate> Inside;
    std::int64_t Room = 0;
    for (const Candidate &Entry : All) {
      if (List[Entry.Room].Rack != Rack)
        continue;
      Inside.push_back(Entry);
      Room += Entry.Tasks + (Entry.Avoided ? Unit.TaskCount : 0);
    }
    std::optional<Choice> Chosen = fill(Inside, Unit.TaskCount);
    if (!Chosen || Room >= BestRoom)
      continue;
    Best = std::move(Chosen);
    BestRoom = Room;
  }
  return Best;
}

void take(Rooms List, const Choice &Chosen, const Resources &Each) {
  for (const std::size_t Index : Chosen) {
    List[Index].FreeNow = List[Index].FreeNow - Each;
    List[Index].FreeAfterStops = List[Index].FreeAfterStops - Each;
    List[Index].FreeAfterExpectedEnds =
        List[Index].FreeAfterExpectedEnds - Each;
    // One start shows whether it can be trusted.
    List[Index].Usable = List[Index].Usable && !List[Index].OnProbation;
  }
}

/// Room taken from others for one unit, and what that costs.
struct Eviction {
  Choice Chosen;
  std::vector<std::size_t> Victims;
  double Cost = 0;
};

/// Plans evictions for one unit at a time.
class EvictionPlanner {
public:
  EvictionPlanner(Rooms List, std::span<const PlacedUnit> Placed,
                  std::span<const bool> Stopping, const WaitingUnit &Unit)
      : List(List), Placed(Placed), Unit(Unit), Each(countedDemand(*Unit.Step)),
        VictimsOn(List.size()) {
    for (std::size_t Index = 0; Index < Placed.size(); ++Index) {
      if (Stopping[Index] || !this->mayEvict(Placed[Index]))
        continue;
      for (const std::size_t Room : Placed[Index].WorkerIndices)
        if (this->VictimsOn[Room].empty() ||
            this->VictimsOn[Room].back() != Index)
          this->VictimsOn[Room].push_back(Index);
    }
    for (auto &Victims : this->VictimsOn)
      std::ranges::stable_sort(
          Victims, {}, [this](std::size_t Index) { return this->cost(Index); });
  }

  /// The cheapest eviction on workers of \p Rack; empty means any rack.
  std::optional<Eviction> plan(std::string_view Rack) const {
    Eviction Made;
    std::vector<Resources> Available;
    for (const PlacementWorker &Room : this->List)
      Available.push_back(this->Unit.WaitsForExpectedEnds
                              ? Room.FreeAfterExpectedEnds
                              : Room.FreeAfterStops);
    std::vector<std::int64_t> Hosted(this->List.size(), 0);
    while (static_cast<std::int64_t>(Made.Chosen.size()) < this->Unit.TaskCount)
      if (!this->hostOne(Rack, Available, Hosted, Made))
        return std::nullopt;
    return Made;
  }

private:
  struct Step {
    std::size_t Room = 0;
    std::vector<std::size_t> Victims;
    double Cost = std::numeric_limits<double>::infinity();
    std::int64_t Leftover = 0;
  };

  bool mayEvict(const PlacedUnit &Other) const {
    if (this->Unit.WaitsForExpectedEnds && Other.EndsSoon)
      return false;
    if (Other.Priority > this->Unit.Priority)
      return true;
    return Other.Priority == this->Unit.Priority && this->Unit.MayReclaim &&
           Other.BeyondGuarantee && Other.Workspace != this->Unit.Workspace;
  }

  /// A start costs even where no work is lost yet.
  double cost(std::size_t Index) const {
    constexpr double PerTask = 1.0;
    // Work of the same priority gives way only where nothing else does.
    constexpr double SamePriority = 1e6;
    const PlacedUnit &Other = this->Placed[Index];
    const bool Same = Other.Priority == this->Unit.Priority;
    return (Same ? SamePriority : 0) + Other.LostWork +
           PerTask * static_cast<double>(Other.WorkerIndices.size());
  }

  Resources freedOn(std::size_t Victim, std::size_t Room) const {
    Resources Freed;
    for (const std::size_t Held : this->Placed[Victim].WorkerIndices)
      if (Held == Room)
        Freed = Freed + this->Placed[Victim].TaskResources;
    return Freed;
  }

  Step cheapestOn(std::size_t Room, Resources Available,
                  const Eviction &Made) const {
    Step Found{Room};
    double Cost = 0;
    for (const std::size_t Victim : this->VictimsOn[Room]) {
      if (fittingTasks(Available, this->Each) > 0)
        break;
      if (std::ranges::find(Made.Victims, Victim) != Made.Victims.end())
        continue;
      Available = Available + this->freedOn(Victim, Room);
      Cost += this->cost(Victim);
      Found.Victims.push_back(Victim);
    }
    if (fittingTasks(Available, this->Each) <= 0)
      return Found;
    Found.Cost = Cost + (avoided(this->List[Room], this->Unit) ? 1e6 : 0);
    Found.Leftover = Available.Accelerators - this->Each.Accelerators;
    return Found;
  }

  bool hostOne(std::string_view Rack, std::vector<Resources> &Available,
               std::vector<std::int64_t> &Hosted, Eviction &Made) const {
    Step Best;
    for (std::size_t Room = 0; Room < this->List.size(); ++Room) {
      const bool Allowed =
          eligible(this->List[Room], this->Unit) &&
          (Rack.empty() || this->List[Room].Rack == Rack) &&
          Hosted[Room] < spreadLimit(this->List[Room], this->Unit);
      if (!Allowed)
        continue;
      Step Found = this->cheapestOn(Room, Available[Room], Made);
      if (Found.Cost < Best.Cost ||
          (Found.Cost == Best.Cost && Found.Leftover < Best.Leftover))
        Best = std::move(Found);
    }
    if (Best.Cost == std::numeric_limits<double>::infinity())
      return false;
    for (const std::size_t Victim : Best.Victims) {
      Made.Victims.push_back(Victim);
      for (const std::size_t Held : this->Placed[Victim].WorkerIndices)
        Available[Held] = Available[Held] + this->Placed[Victim].TaskResources;
    }
    Available[Best.Room] = Available[Best.Room] - this->Each;
    ++Hosted[Best.Room];
    Made.Chosen.push_back(Best.Room);
    Made.Cost += Best.Cost;
    return true;
  }

  Rooms List;
  std::span<const PlacedUnit> Placed;
  const WaitingUnit &Unit;
  Resources Each;
  std::vector<std::vector<std::size_t>> VictimsOn;
};

std::optional<Eviction> cheapestEviction(const EvictionPlanner &Planner,
                                         std::span<const std::string> Racks) {
  if (Racks.empty())
    return Planner.plan({});
  std::optional<Eviction> Best;
  for (const std::string &Rack : Racks) {
    std::optional<Eviction> Made = Planner.plan(Rack);
    if (Made && (!Best || Made->Cost < Best->Cost))
      Best = std::move(Made);
  }
  return Best;
}

/// One round of placement over a working copy of the rooms.
class Round {
public:
  Round(Rooms List, std::span<const WaitingUnit> Waiting,
        std::span<const PlacedUnit> Placed)
      : List(List), Waiting(Waiting.begin(), Waiting.end()), Placed(Placed),
        Stopping(std::make_unique<bool[]>(Placed.size())) {
    for (std::size_t Index = 0; Index < Placed.size(); ++Index)
      this->Stopping[Index] = Placed[Index].Stopping;
  }

  PlacementPlan run() {
    for (std::size_t Index = 0; Index < this->Waiting.size(); ++Index) {
      const WaitingUnit &Unit = this->Waiting[Index];
      // Tasks of a group are alike: where one is blocked, so are the others.
      if (Unit.Group == this->BlockedGroup)
        continue;
      if (!this->serve(Index)) {
        this->Plan.Blocked.push_back(Index);
        if (!Unit.Step->Gang && Unit.Priority > 0)
          this->BlockedGroup = Unit.Group;
      }
    }
    return std::move(this->Plan);
  }

private:
  /// Returns whether the unit starts.
  bool serve(std::size_t Index) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const Resources Each = countedDemand(*Unit.Step);
    const std::vector<std::string> Racks = allowedRacks(this->List, Unit);
    if (auto Chosen =
            choose(this->List, Unit, Racks, &PlacementWorker::FreeNow)) {
      take(this->List, *Chosen, Each);
      this->countInGroup(Index, *Chosen);
      this->Plan.Starts.push_back({Index, std::move(*Chosen)});
      return true;
    }
    if (auto Later =
            choose(this->List, Unit, Racks, &PlacementWorker::FreeAfterStops)) {
      take(this->List, *Later, Each);
      return false;
    }
    if (Unit.WaitsForExpectedEnds) {
      const auto Wait = choose(this->List, Unit, Racks,
                               &PlacementWorker::FreeAfterExpectedEnds);
      if (Wait) {
        take(this->List, *Wait, Each);
        return false;
      }
    }
    if (Unit.Priority == 0)
      this->evictFor(Index, Racks);
    else if (Unit.TaskCount > 1)
      this->reserveFor(Index, Racks);
    return false;
  }

  void reserveFor(std::size_t Index, std::span<const std::string> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    std::optional<Choice> Chosen = this->earlierReservation(Unit);
    if (!Chosen)
      Chosen = planReservation(this->List, Unit, this->Placed, Racks);
    if (!Chosen)
      return;
    std::vector<std::size_t> Rooms = *Chosen;
    std::ranges::sort(Rooms);
    Rooms.erase(std::unique(Rooms.begin(), Rooms.end()), Rooms.end());
    const std::size_t Most =
        this->List.size() * MostReservedPercent / WholePercent;
    if (this->ReservedRooms + Rooms.size() > Most)
      return;
    this->ReservedRooms += Rooms.size();
    for (const std::size_t Room : Rooms)
      this->List[Room].ReservedThisRound = true;
    this->Plan.Reservations.push_back({Index, std::move(Rooms)});
  }

  /// Rooms that drain already, as long as each may be used.
  std::optional<Choice> earlierReservation(const WaitingUnit &Unit) const {
    Choice Chosen;
    for (const std::string &Id : Unit.ReservedWorkers) {
      const auto Room = std::ranges::find(this->List, Id, &PlacementWorker::Id);
      if (Room == this->List.end() || !eligible(*Room, Unit))
        return std::nullopt;
      Chosen.push_back(static_cast<std::size_t>(Room - this->List.begin()));
    }
    return Chosen.empty() ? std::nullopt : std::optional(Chosen);
  }

  /// Units behind this one of the same group see where it went.
  void countInGroup(std::size_t Index, const Choice &Chosen) {
    const WaitingUnit &Unit = this->Waiting[Index];
    if (Unit.Step->MaxPerWorker <= 0)
      return;
    for (std::size_t Next = Index + 1; Next < this->Waiting.size(); ++Next)
      if (this->Waiting[Next].Group == Unit.Group)
        for (const std::size_t Room : Chosen)
          this->Waiting[Next].GroupWorkers.push_back(this->List[Room].Id);
  }

  static void freeLater(PlacementWorker &Room, const Resources &Each) {
    Room.FreeAfterStops = Room.FreeAfterStops + Each;
    Room.FreeAfterExpectedEnds = Room.FreeAfterExpectedEnds + Each;
  }

  void evictFor(std::size_t Index, std::span<const std::string> Racks) {
    const WaitingUnit &Unit = this->Waiting[Index];
    const EvictionPlanner Planner(
        this->List, this->Placed,
        std::span<const bool>(this->Stopping.get(), this->Placed.size()), Unit);
    const std::optional<Eviction> Made = cheapestEviction(Planner, Racks);
    if (!Made)
      return;
    for (const std::size_t Victim : Made->Victims) {
      this->Stopping[Victim] = true;
      this->Plan.Preemptions.push_back({Victim, Index});
      for (const std::size_t Room : this->Placed[Victim].WorkerIndices)
        this->freeLater(this->List[Room], this->Placed[Victim].TaskResources);
    }
    take(this->List, Made->Chosen, countedDemand(*Unit.Step));
  }

  Rooms List;
  std::vector<WaitingUnit> Waiting;
  std::span<const PlacedUnit> Placed;
  std::unique_ptr<bool[]> Stopping;
  std::size_t BlockedGroup = NoGroup;
  std::size_t ReservedRooms = 0;
  PlacementPlan Plan;
};

} // namespace

std::optional<std::size_t>
planReplacement(std::span<PlacementWorker> Rooms, const WaitingUnit &Gang,
                std::span<const std::string> OtherRacks) {
  const bool OneRack = Gang.Step->TightlyCoupled && !OtherRacks.empty();
  const bool NearData =
      !Gang.Step->DataRack.empty() &&
      std::ranges::find(OtherRacks, Gang.Step->DataRack) != OtherRacks.end();
  for (const Candidate &Entry :
       candidates(Rooms, Gang, &PlacementWorker::FreeNow)) {
    const std::string &Rack = Rooms[Entry.Room].Rack;
    const bool Allowed = (!OneRack || Rack == OtherRacks.front()) &&
                         (!NearData || Rack == Gang.Step->DataRack);
    if (Allowed && !Entry.Avoided)
      return Entry.Room;
  }
  return std::nullopt;
}

namespace {

/// Gives up keeping workers where that would leave too few for other work.
void limitKept(Rooms List) {
  const auto Kept =
      std::ranges::count_if(List, &PlacementWorker::ReservedForUrgent);
  if (static_cast<std::size_t>(Kept) * 2 <= List.size())
    return;
  for (PlacementWorker &Room : List)
    Room.ReservedForUrgent = false;
}

} // namespace

PlacementPlan planPlacement(std::span<PlacementWorker> Rooms,
                            std::span<const WaitingUnit> Waiting,
                            std::span<const PlacedUnit> Placed) {
  limitKept(Rooms);
  return Round(Rooms, Waiting, Placed).run();
}

} // namespace pistachioflow
