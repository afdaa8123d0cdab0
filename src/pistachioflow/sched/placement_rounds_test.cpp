// Thousands of placement rounds over a simulated cluster, with a checker that
// knows nothing of how decisions are made.

#include "pistachioflow/sched/placement.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr Resources WorkerCapacity{64'000, 131'072, 8};
constexpr std::size_t WorkerCount = 24;
constexpr std::size_t WorkersPerRack = 6;
/// Rounds in which units arrive; after them the queue is worked off.
constexpr int ArrivalRounds = 150;
constexpr int MaxRounds = 3'000;
/// A stop ends within this many rounds.
constexpr int MaxStopRounds = 9;
/// Claims last longer than any stop.
constexpr int ClaimRounds = 15;
constexpr int ReclaimRounds = 15;

enum class Phase { Waiting, Running, Stopping, Done };

struct SimulatedUnit {
  StepSpec Step;
  std::string Workspace;
  std::int64_t Priority = 0;
  Phase Now = Phase::Waiting;
  int ArrivedAt = 0;
  int EndsAt = 0;
  int WorkRounds = 1;
  std::vector<std::size_t> On;
  std::vector<std::string> Claimed;
  std::vector<std::string> VictimWorkers;
  int ClaimedAt = 0;

  std::int64_t accelerators() const {
    return this->Step.TaskResources.Accelerators * this->Step.TaskCount;
  }
  bool occupies() const {
    return this->Now == Phase::Running || this->Now == Phase::Stopping;
  }
};

struct Totals {
  std::int64_t Preempted = 0;
  std::int64_t Wasted = 0;   ///< No start of the beneficiary followed.
  std::int64_t Replaced = 0; ///< It started, but on another worker.
  std::int64_t Unfinished = 0;
  int Rounds = 0;
  std::vector<std::string> Violations;
};

/// Returns \p Prefix followed by \p Number, with static lifetime.
const std::string &nameOf(const char *Prefix, std::size_t Number) {
  static std::set<std::string> Names;
  return *Names.insert(Prefix + std::to_string(Number)).first;
}

class Simulation {
public:
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    this->Guarantees = {{"a", 64, 0}, {"b", 40, 0}, {"c", 0, 0}};
  }

  Totals run() {
    for (this->Round = 0; this->Round < MaxRounds; ++this->Round) {
      if (this->Round < ArrivalRounds)
        this->addArrivals();
      this->finishRuns();
      this->playRound();
      const bool AllDone =
          std::ranges::all_of(this->Units, [](const SimulatedUnit &Unit) {
            return Unit.Now == Phase::Done;
          });
      if (AllDone && this->Round >= ArrivalRounds)
        break;
    }
    this->Result.Rounds = this->Round;
    this->Result.Unfinished =
        std::ranges::count_if(this->Units, [](const SimulatedUnit &Unit) {
          return Unit.Now != Phase::Done;
        });
    return this->Result;
  }

private:
  std::int64_t pick(std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(this->Random);
  }

  void violate(const std::string &Text) {
    this->Result.Violations.push_back("round " + std::to_string(this->Round) +
                                      ": " + Text);
  }

  void addArrivals() {
    const std::int64_t Count = this->pick(0, 2);
    for (std::int64_t Arrival = 0; Arrival < Count; ++Arrival) {
      SimulatedUnit Unit;
      const std::vector<std::string> Names{"a", "b", "c"};
      Unit.Workspace = Names[static_cast<std::size_t>(this->pick(0, 2))];
      Unit.Priority = this->pick(0, 2);
      Unit.Step.Gang = Unit.Priority < 2;
      Unit.Step.TaskCount = Unit.Step.Gang ? this->pick(1, 10) : 1;
      Unit.Step.TightlyCoupled =
          Unit.Step.TaskCount <= 5 && this->pick(0, 1) == 1;
      Unit.Step.TaskResources = {this->pick(1, 30) * 1'000, 8'192,
                                 std::int64_t{1} << this->pick(0, 3)};
      Unit.WorkRounds = static_cast<int>(this->pick(5, 90));
      Unit.ArrivedAt = this->Round;
      this->Units.push_back(std::move(Unit));
    }
  }

  void finishRuns() {
    for (SimulatedUnit &Unit : this->Units) {
      if (!Unit.occupies() || this->Round < Unit.EndsAt)
        continue;
      Unit.Now = Unit.Now == Phase::Running ? Phase::Done : Phase::Waiting;
      Unit.On.clear();
    }
  }

  std::vector<PlacementWorker> makeWorkers() const {
    std::vector<PlacementWorker> Workers;
    for (std::size_t Index = 0; Index < WorkerCount; ++Index) {
      PlacementWorker Worker;
      Worker.Id = nameOf("w", Index);
      Worker.Service = "svc";
      Worker.Rack = nameOf("r", Index / WorkersPerRack);
      Worker.Capacity = WorkerCapacity;
      Worker.FreeNow = WorkerCapacity;
      Worker.FreeAfterStops = WorkerCapacity;
      for (const SimulatedUnit &Unit : this->Units)
        for (const std::size_t On : Unit.On) {
          if (On != Index)
            continue;
          Worker.FreeNow = Worker.FreeNow - Unit.Step.TaskResources;
          if (Unit.Now == Phase::Running)
            Worker.FreeAfterStops =
                Worker.FreeAfterStops - Unit.Step.TaskResources;
        }
      Worker.FreeAfterExpectedEnds = Worker.FreeAfterStops;
      Workers.push_back(std::move(Worker));
    }
    return Workers;
  }

  std::int64_t inUse(const std::string &Workspace) const {
    std::int64_t Sum = 0;
    for (const SimulatedUnit &Unit : this->Units)
      if (Unit.Now == Phase::Running && Unit.Priority == 0 &&
          Unit.Workspace == Workspace)
        Sum += Unit.accelerators();
    return Sum;
  }

  std::int64_t claimedBy(const std::string &Workspace) const {
    std::int64_t Sum = 0;
    for (const SimulatedUnit &Unit : this->Units)
      if (!Unit.Claimed.empty() && Unit.Workspace == Workspace)
        Sum += Unit.accelerators();
    return Sum;
  }

  std::int64_t guaranteeOf(const std::string &Workspace) const {
    return std::ranges::find(this->Guarantees, Workspace,
                             &GuaranteeUse::Workspace)
        ->Guaranteed;
  }

  /// Waiting units by priority. Their order within a priority changes from
  /// round to round, as deadlines pass.
  std::vector<std::size_t> waitingOrder() {
    std::vector<std::size_t> Order;
    for (std::size_t Index = 0; Index < this->Units.size(); ++Index)
      if (this->Units[Index].Now == Phase::Waiting)
        Order.push_back(Index);
    std::ranges::shuffle(Order, this->Random);
    std::ranges::stable_sort(Order, {}, [this](std::size_t Index) {
      return this->Units[Index].Priority;
    });
    return Order;
  }

  void endClaim(SimulatedUnit &Unit, const std::vector<std::string> &Used) {
    for (const std::string &Id : Unit.VictimWorkers)
      if (std::ranges::find(Used, Id) == Used.end())
        ++(Used.empty() ? this->Result.Wasted : this->Result.Replaced);
    Unit.Claimed.clear();
    Unit.VictimWorkers.clear();
  }

  void playRound() {
    for (SimulatedUnit &Unit : this->Units)
      if (!Unit.Claimed.empty() && this->Round - Unit.ClaimedAt > ClaimRounds)
        this->endClaim(Unit, {});
    const std::vector<std::size_t> Order = this->waitingOrder();
    std::vector<WaitingUnit> Waiting;
    for (const std::size_t Index : Order) {
      const SimulatedUnit &Unit = this->Units[Index];
      WaitingUnit Entry;
      Entry.Service = "svc";
      Entry.Workspace = Unit.Workspace;
      Entry.Priority = Unit.Priority;
      Entry.Step = &Unit.Step;
      Entry.TaskCount = Unit.Step.TaskCount;
      Entry.Group = Index;
      Entry.ClaimedWorkers = Unit.Claimed;
      Entry.ClaimedAt = Instant{Unit.ClaimedAt};
      Entry.ReclaimDue =
          Unit.Priority == 0 && this->Round - Unit.ArrivedAt >= ReclaimRounds;
      Waiting.push_back(std::move(Entry));
    }
    std::vector<PlacedUnit> Placed;
    std::vector<std::size_t> PlacedOrder;
    for (std::size_t Index = 0; Index < this->Units.size(); ++Index) {
      const SimulatedUnit &Unit = this->Units[Index];
      if (!Unit.occupies())
        continue;
      PlacedUnit Entry;
      Entry.Workspace = Unit.Workspace;
      Entry.Priority = Unit.Priority;
      Entry.TaskResources = Unit.Step.TaskResources;
      Entry.WorkerIndices = Unit.On;
      Entry.Stopping = Unit.Now == Phase::Stopping;
      Entry.LostWork = static_cast<double>(this->Round % 7);
      Entry.RemainingMs = Unit.EndsAt - this->Round;
      Placed.push_back(std::move(Entry));
      PlacedOrder.push_back(Index);
    }
    std::vector<GuaranteeUse> Uses = this->Guarantees;
    for (GuaranteeUse &Use : Uses)
      Use.InUse = this->inUse(Use.Workspace);
    std::vector<PlacementWorker> Workers = this->makeWorkers();
    const PlacementPlan Plan = planPlacement(Workers, Waiting, Placed, Uses);
    this->apply(Plan, Order, PlacedOrder);
    this->checkCapacity();
    this->checkClaims();
  }

  void apply(const PlacementPlan &Plan, const std::vector<std::size_t> &Order,
             const std::vector<std::size_t> &PlacedOrder) {
    for (const std::size_t Index : Plan.DroppedClaims)
      this->violate("a claim on working workers was dropped: " +
                    std::to_string(Order[Index]));
    std::map<std::string, std::int64_t> UseBefore;
    for (const GuaranteeUse &Use : this->Guarantees)
      UseBefore[Use.Workspace] = this->inUse(Use.Workspace);
    for (const PlannedStart &Start : Plan.Starts) {
      SimulatedUnit &Unit = this->Units[Order[Start.WaitingIndex]];
      std::vector<std::string> Used;
      for (const std::size_t Worker : Start.WorkerIndices)
        Used.push_back("w" + std::to_string(Worker));
      this->endClaim(Unit, Used);
      Unit.Now = Phase::Running;
      Unit.On = Start.WorkerIndices;
      Unit.EndsAt = this->Round + Unit.WorkRounds;
      if (Unit.On.size() != static_cast<std::size_t>(Unit.Step.TaskCount))
        this->violate("started in part");
    }
    for (const PlannedPreemption &Stop : Plan.Preemptions) {
      SimulatedUnit &Victim = this->Units[PlacedOrder[Stop.PlacedIndex]];
      this->preempt(Victim, this->Units[Order[Stop.WaitingIndex]],
                    "w" + std::to_string(Stop.WorkerIndex));
      if (Victim.Priority == 0)
        UseBefore[Victim.Workspace] -= Victim.accelerators();
    }
    for (const PlannedClaim &Claim : Plan.Claims) {
      SimulatedUnit &Unit = this->Units[Order[Claim.WaitingIndex]];
      for (const std::size_t Worker : Claim.WorkerIndices)
        Unit.Claimed.push_back("w" + std::to_string(Worker));
      Unit.ClaimedAt = this->Round;
      const bool WithinGuarantee =
          UseBefore[Unit.Workspace] + this->claimedBy(Unit.Workspace) <=
          this->guaranteeOf(Unit.Workspace);
      if (this->Reclaimers.contains(&Unit) && !WithinGuarantee)
        this->violate("reclaimed more than the guarantee");
    }
    this->Reclaimers.clear();
  }

  void preempt(SimulatedUnit &Victim, SimulatedUnit &Beneficiary,
               const std::string &Worker) {
    ++this->Result.Preempted;
    if (Victim.Now != Phase::Running)
      this->violate("stopped twice");
    if (!Beneficiary.Claimed.empty())
      this->violate("preempted again for a unit with a claim");
    if (Victim.Priority < Beneficiary.Priority)
      this->violate("preempted more urgent work");
    if (Victim.Priority == Beneficiary.Priority) {
      this->Reclaimers.insert(&Beneficiary);
      if (this->inUse(Victim.Workspace) <= this->guaranteeOf(Victim.Workspace))
        this->violate("preempted guaranteed work");
    }
    Victim.Now = Phase::Stopping;
    Victim.EndsAt =
        this->Round + static_cast<int>(this->pick(1, MaxStopRounds));
    Beneficiary.VictimWorkers.push_back(Worker);
  }

  void checkCapacity() {
    for (const PlacementWorker &Worker : this->makeWorkers())
      if (Worker.FreeNow.Accelerators < 0 || Worker.FreeNow.MilliCores < 0 ||
          Worker.FreeNow.MemoryMb < 0)
        this->violate("over capacity: " + std::string(Worker.Id));
  }

  /// Each claim must still fit once all stops have ended.
  void checkClaims() {
    std::vector<PlacementWorker> Workers = this->makeWorkers();
    for (const SimulatedUnit &Unit : this->Units)
      for (const std::string &Id : Unit.Claimed) {
        PlacementWorker &Worker =
            *std::ranges::find(Workers, Id, &PlacementWorker::Id);
        Worker.FreeAfterStops = Worker.FreeAfterStops - Unit.Step.TaskResources;
        if (Worker.FreeAfterStops.Accelerators < 0 ||
            Worker.FreeAfterStops.MilliCores < 0)
          this->violate("claimed capacity was given away: " + Id);
      }
  }

  std::mt19937_64 Random;
  std::vector<GuaranteeUse> Guarantees;
  std::vector<SimulatedUnit> Units;
  std::set<const SimulatedUnit *> Reclaimers;
  Totals Result;
  int Round = 0;
};

} // namespace

TEST_CASE("thousands of rounds preempt only for starts that follow") {
  // Twice as much work as fits, in an order that changes from round to round.
  constexpr std::uint64_t Seeds = 40;
  Totals Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    const Totals Result = Simulation(Seed).run();
    CHECK(Result.Violations == std::vector<std::string>{});
    CHECK(Result.Unfinished == 0);
    Sum.Rounds += Result.Rounds;
    Sum.Preempted += Result.Preempted;
    Sum.Replaced += Result.Replaced;
    CHECK(Result.Wasted == 0);
  }
  CAPTURE(Sum.Rounds, Sum.Preempted, Sum.Replaced);
  REQUIRE(Sum.Rounds > 5'000);
  REQUIRE(Sum.Preempted > 1'000);
}

} // namespace pistachioflow
