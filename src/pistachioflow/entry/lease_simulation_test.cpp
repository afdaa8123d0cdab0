// Owners, workers and a store that are cut from each other at random, with
// clocks that are slow, calls that arrive late and workers that restart.

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "pistachioflow/entry/lease_simulation.hpp"

namespace pistachioflow {

namespace {

constexpr Duration Step{10};
constexpr Duration HeartbeatInterval{300};
constexpr Duration OwnerTimeout{1'500};
constexpr Duration StartRetry{50};
constexpr Duration ClockTolerance{2'000};
constexpr std::size_t Owners = 3;
/// Steps between two stops of a task, in the mean.
constexpr std::uint64_t StopInterval = 50;
/// As the owner that is cut off: none is.
constexpr std::size_t Nobody = Owners;
constexpr std::size_t WorkersPerDay = 6;

Rules boundedRules() {
  return {"bounded",
          [](const RenewalEvidence &Evidence, Instant Now) {
            return std::min(Now + MaxLease, latestLeaseEnd(MaxLease, Evidence));
          },
          [](const EarlierLeases &Earlier) {
            return earlierLeasesEnd(MaxLease, Earlier);
          }};
}

/// Takes the worker for the process that it was at its latest report.
Rules trustingRules() {
  Rules Played = boundedRules();
  Played.Name = "trusting";
  Played.ExpectsRestarts = false;
  return Played;
}

/// Renews whatever the store says; a successor waits for one lease.
Rules unboundedRules() {
  return {"unbounded",
          [](const RenewalEvidence &, Instant Now) { return Now + MaxLease; },
          [](const EarlierLeases &Earlier) {
            return Earlier.GainedAt + maxLocalLease(MaxLease);
          }};
}

class Day {
public:
  Day(Rules Played, std::uint64_t Seed)
      : Played(std::move(Played)), Random(Seed) {
    this->Workers.resize(WorkersPerDay);
    this->Members.resize(Owners);
    for (SimulatedWorker &Worker : this->Workers)
      Worker.Rate = 1 - 0.02 * this->share();
    const int Tasks = 1 + static_cast<int>(this->below(8));
    for (int Task = 0; Task < Tasks; ++Task)
      this->Journal[Task] = this->below(WorkersPerDay + 2) % WorkersPerDay;
    this->begin(0);
  }

  void cut(std::size_t Owner, std::set<std::size_t> WithWorkers, Duration For) {
    this->CutOwner = Owner;
    this->CutWorkers = std::move(WithWorkers);
    this->CutUntil = this->Now + For;
  }

  void failStore(Duration For) { this->StoreFailsUntil = this->Now + For; }

  void restart(std::size_t Index) {
    SimulatedWorker &Worker = this->Workers[Index];
    Worker = {Worker.Rate, Worker.Incarnation + 1, 0, this->Now, {}, {}};
    for (SimulatedOwner &Owner : this->Members) {
      if (!Owner.Active)
        continue;
      Link &Entry = Owner.Links[Index];
      const bool HoldWaits = Entry.Responsive && !Entry.Tasks.empty();
      if (HoldWaits)
        Entry.HoldLostUntil = Entry.HoldSentAt + HoldWait + HoldAnswerTime;
    }
  }

  /// Restarts a worker and cuts it off from everybody soon after.
  void restartAndCut(std::size_t Index) {
    this->restart(Index);
    this->play({static_cast<std::int64_t>(this->below(4'000))});
    this->cut(Nobody, {Index},
              {4'000 + static_cast<std::int64_t>(this->below(16'000))});
  }

  void crashOwner() {
    SimulatedOwner &Owner = this->Members[this->activeOwner()];
    Owner.Active = false;
    Owner.EpochSeenAt = this->Now;
  }

  /// Cuts, an outage, restarts of a worker or a crash of the owner.
  void disturb() {
    const Duration For{500 + static_cast<std::int64_t>(this->below(25'000))};
    const std::uint64_t Kind = this->below(14);
    std::set<std::size_t> Side;
    for (std::size_t Index = 0; Index < WorkersPerDay; ++Index)
      if (this->below(3) == 0)
        Side.insert(Index);
    if (Kind < 5)
      this->cut(Kind < 4 ? this->activeOwner() : this->below(Owners), Side,
                For);
    else if (Kind < 7)
      this->failStore(For);
    else if (Kind < 8)
      this->restart(this->below(WorkersPerDay));
    else if (Kind < 12)
      this->restartAndCut(this->below(WorkersPerDay));
    else
      this->crashOwner();
  }

  void play(Duration For) {
    const Instant End = this->Now + For;
    for (; this->Now < End; this->Now = this->Now + Step)
      this->step();
  }

  void playDisturbed(Duration For) {
    const Instant End = this->Now + For;
    while (this->Now < End) {
      this->play({200 + static_cast<std::int64_t>(this->below(6'000))});
      this->disturb();
    }
  }

  std::int64_t overlaps() const { return this->Overlaps; }
  std::int64_t lapses() const { return this->Lapses; }

private:
  std::uint64_t below(std::uint64_t Limit) { return this->Random() % Limit; }
  double share() { return static_cast<double>(this->below(1'000)) / 1'000; }

  bool isCut(std::size_t Owner) const {
    return this->Now < this->CutUntil && Owner == this->CutOwner;
  }
  bool reachesStore(std::size_t Owner) const {
    return this->Now >= this->StoreFailsUntil && !this->isCut(Owner);
  }
  bool reachesWorker(std::size_t Owner, std::size_t Worker) const {
    const bool WorkerCut =
        this->Now < this->CutUntil && this->CutWorkers.contains(Worker);
    return this->isCut(Owner) == WorkerCut;
  }

  std::size_t activeOwner() const {
    for (std::size_t Index = 0; Index < Owners; ++Index)
      if (this->Members[Index].Epoch == this->StoreEpoch)
        return Index;
    return 0;
  }

  void begin(std::size_t Index) {
    const SimulatedOwner &Before = this->Members[Index];
    SimulatedOwner Owner;
    Owner.Active = true;
    Owner.Epoch = ++this->StoreEpoch;
    Owner.StoredAt = this->Now;
    Owner.SeenEpoch = Owner.Epoch;
    Owner.EpochSeenAt = this->Now;
    Owner.Earlier = {this->Now, Before.EpochSeenAt, {}};
    Owner.Links.resize(WorkersPerDay);
    for (const auto &[Task, Worker] : this->Journal)
      Owner.Links[Worker].Tasks.insert(Task);
    for (const Link &Entry : Owner.Links)
      Owner.OccupiedAtStart += Entry.Tasks.empty() ? 0 : 1;
    this->Members[Index] = std::move(Owner);
    this->boundEarlier(this->Members[Index]);
    this->LastRecordAt = this->Now;
  }

  void boundEarlier(SimulatedOwner &Owner) {
    for (Link &Entry : Owner.Links)
      if (Entry.LastAcceptedAt.Ms == 0)
        Entry.Leases.End = this->Played.EarlierLeasesEnd(Owner.Earlier);
  }

  Instant leaseEnd(const SimulatedOwner &Owner) const {
    RenewalEvidence Evidence;
    Evidence.StoredAt = Owner.StoredAt;
    for (const Link &Entry : Owner.Links)
      if (!Entry.Tasks.empty())
        Evidence.Occupied.push_back(Entry.LastAcceptedAt);
    for (const auto &[Worker, Times] : Owner.GivenUp)
      if (Times.second >= Owner.StoredAt)
        Evidence.GivenUp.push_back(Times.first);
    return this->Played.LeaseEnd(Evidence, this->Now);
  }

  void step() {
    for (SimulatedWorker &Worker : this->Workers)
      if (Worker.clock(this->Now) >= Worker.LeaseEnds) {
        this->Lapses += static_cast<std::int64_t>(Worker.Running.size());
        Worker.Running.clear();
      }
    this->carryOutLateHolds();
    for (std::size_t Index = 0; Index < Owners; ++Index) {
      this->useStore(Index);
      SimulatedOwner &Owner = this->Members[Index];
      for (std::size_t Worker = 0; Worker < WorkersPerDay && Owner.Active;
           ++Worker)
        if (this->Now >= nextHoldAt(Owner.Links[Worker]))
          this->hold(Index, Worker);
      if (Owner.Active && this->below(StopInterval) == 0)
        this->stopOne(Index);
      if (Owner.Active)
        this->startWaiting(Index);
    }
  }

  /// Stops a task on a random worker, so that it waits to be started again.
  void stopOne(std::size_t Index) {
    SimulatedOwner &Owner = this->Members[Index];
    const std::size_t Target = this->below(WorkersPerDay);
    Link &Entry = Owner.Links[Target];
    SimulatedWorker &Worker = this->Workers[Target];
    const bool Stoppable = Entry.Responsive && !Entry.Tasks.empty() &&
                           Worker.Incarnation == Entry.Incarnation &&
                           this->reachesWorker(Index, Target);
    if (!Stoppable || !Worker.accept(Owner.Epoch, {}, this->Now))
      return;
    const int Task = *Entry.Tasks.begin();
    Worker.Running.erase(Task);
    Entry.Tasks.erase(Task);
    Owner.Waiting.insert(Task);
  }

  static Instant nextHoldAt(const Link &Entry) {
    return std::max(Entry.NextHoldAt, Entry.HoldLostUntil);
  }

  void carryOutLateHolds() {
    for (LateHold &Call : this->LateHolds) {
      SimulatedWorker &Worker = this->Workers[Call.Worker];
      if (this->Now >= Call.At)
        Worker.accept(Call.Epoch, Call.Lease, this->Now);
    }
    std::erase_if(this->LateHolds,
                  [&](const LateHold &Call) { return this->Now >= Call.At; });
  }

  void useStore(std::size_t Index) {
    SimulatedOwner &Owner = this->Members[Index];
    if (!this->reachesStore(Index))
      return;
    if (Owner.SeenEpoch != this->StoreEpoch) {
      Owner.SeenEpoch = this->StoreEpoch;
      Owner.EpochSeenAt = this->Now;
      Owner.Active = false;
    }
    if (Owner.Active && this->Now >= Owner.NextHeartbeatAt) {
      Owner.StoredAt = this->Now;
      Owner.NextHeartbeatAt = this->Now + HeartbeatInterval;
      this->LastRecordAt = this->Now;
    }
    const Duration Delay{static_cast<std::int64_t>(this->below(200))};
    const Instant Readable =
        std::max(this->LastRecordAt, this->StoreFailsUntil);
    if (!Owner.Active && this->Now - Readable > OwnerTimeout + Delay)
      this->begin(Index);
  }

  void hold(std::size_t Index, std::size_t WorkerIndex) {
    SimulatedOwner &Owner = this->Members[Index];
    Link &Entry = Owner.Links[WorkerIndex];
    SimulatedWorker &Worker = this->Workers[WorkerIndex];
    const bool Lost = Entry.HoldLostUntil.Ms != 0;
    Entry.HoldLostUntil = {};
    if (Lost) {
      this->holdFailed(Owner, WorkerIndex);
      return;
    }
    const Instant End = this->leaseEnd(Owner);
    const bool Renews = Entry.Responsive && Entry.Synced;
    Instant Lease;
    Entry.HoldSentAt = this->Now;
    Entry.HoldRenewed = Renews && End > this->Now;
    if (Entry.HoldRenewed) {
      Lease = End + Duration{Entry.OffsetMs};
      grantSent(Entry.Leases, End - this->Now, this->Now);
    }
    const bool Late = this->below(20) == 0;
    if (Late && this->reachesWorker(Index, WorkerIndex))
      this->LateHolds.push_back(
          {this->Now + Duration{static_cast<std::int64_t>(this->below(6'000))},
           WorkerIndex, Owner.Epoch, Lease});
    if (Late || !this->reachesWorker(Index, WorkerIndex)) {
      this->holdFailed(Owner, WorkerIndex);
      return;
    }
    if (!Worker.accept(Owner.Epoch, Lease, this->Now)) {
      Owner.Active = false;
      return;
    }
    this->holdAnswered(Owner, WorkerIndex);
    Entry.NextHoldAt = this->Now + (Renews ? holdWait(End - this->Now) : Step);
  }

  Instant leasesEndAt(const Link &Entry) const {
    return this->Played.ExpectsRestarts ? leasesEnd(Entry.Leases, MaxLease)
                                        : Entry.Leases.End;
  }

  void holdFailed(SimulatedOwner &Owner, std::size_t WorkerIndex) {
    Link &Entry = Owner.Links[WorkerIndex];
    if (Entry.HoldRenewed && this->Played.ExpectsRestarts)
      holdGrantUnanswered(Entry.Leases, Entry.HoldSentAt);
    Entry.HoldRenewed = false;
    Entry.Responsive = false;
    Entry.NextHoldAt = this->Now + HoldRetryPause;
    if (this->Now < this->leasesEndAt(Entry) || Entry.Tasks.empty())
      return;
    Owner.GivenUp[WorkerIndex] = {Entry.LastAcceptedAt, this->Now};
    Owner.Waiting.merge(Entry.Tasks);
    Entry.Tasks.clear();
  }

  void holdAnswered(SimulatedOwner &Owner, std::size_t WorkerIndex) {
    Link &Entry = Owner.Links[WorkerIndex];
    const SimulatedWorker &Worker = this->Workers[WorkerIndex];
    const bool First = Entry.LastAcceptedAt.Ms == 0;
    const bool Restarted = Worker.Incarnation != Entry.Incarnation;
    if (Restarted && !First && !Entry.Tasks.empty())
      Owner.GivenUp[WorkerIndex] = {Entry.LastAcceptedAt, this->Now};
    Entry.Incarnation = Worker.Incarnation;
    Entry.OffsetMs = (Worker.clock(this->Now) - this->Now).Ms;
    Entry.Responsive = true;
    Entry.Synced = true;
    Entry.HoldRenewed = false;
    Entry.LastAcceptedAt = this->Now;
    if (this->Played.ExpectsRestarts)
      holdGrantAnswered(Entry.Leases, MaxLease, Restarted, this->Now,
                        this->Now);
    else
      Entry.Leases.End =
          std::min(Entry.Leases.End, this->Now + maxLocalLease(MaxLease));
    std::set<int> Kept;
    for (const int Task : Entry.Tasks)
      (Worker.Running.contains(Task) ? Kept : Owner.Waiting).insert(Task);
    Entry.Tasks = Kept;
    if (!First || Kept.empty())
      return;
    ++Owner.Shown;
    if (Owner.Earlier.FencedAt.Ms != 0 ||
        !fencesEarlierOwners(Owner.Shown, Owner.OccupiedAtStart))
      return;
    Owner.Earlier.FencedAt = this->Now;
    this->boundEarlier(Owner);
  }

  /// Stores a placement, then starts the task.
  void startWaiting(std::size_t Index) {
    SimulatedOwner &Owner = this->Members[Index];
    const bool Storable =
        this->reachesStore(Index) && Owner.Epoch == this->StoreEpoch;
    const std::size_t Target = this->below(WorkersPerDay);
    Link &Entry = Owner.Links[Target];
    if (!Storable || Owner.Waiting.empty() || !Entry.Responsive ||
        !this->reachesWorker(Index, Target) || this->below(5) != 0)
      return;
    const int Task = *Owner.Waiting.begin();
    this->Journal[Task] = Target;
    Owner.Waiting.erase(Task);
    Entry.Tasks.insert(Task);
    const Instant End = std::min(this->leaseEnd(Owner), this->Now + StartLease);
    grantSent(Entry.Leases, End - this->Now, this->Now);
    SimulatedWorker &Worker = this->Workers[Target];
    const Instant Lease = End + Duration{Entry.OffsetMs};
    if (!Worker.accept(Owner.Epoch, Lease, this->Now)) {
      Owner.Active = false;
      return;
    }
    const Instant Clock = Worker.clock(this->Now);
    const bool OtherClock =
        Clock + ClockTolerance < this->Now + Duration{Entry.OffsetMs};
    if (this->Played.ExpectsRestarts)
      startGrantAnswered(Entry.Leases, MaxLease, Lease - Clock, OtherClock,
                         this->Now);
    Entry.Synced = Entry.Synced && !OtherClock;
    // While a hold waits, no other one is sent.
    if (Entry.HoldLostUntil.Ms == 0)
      Entry.NextHoldAt = this->Now + StartRetry;
    else
      Entry.NextHoldAt = Entry.HoldLostUntil;
    for (const SimulatedWorker &Other : this->Workers)
      this->Overlaps += Other.Running.contains(Task) ? 1 : 0;
    Worker.Running.insert(Task);
  }

  Rules Played;
  std::mt19937_64 Random;
  Instant Now{100'000};
  std::vector<SimulatedWorker> Workers;
  std::vector<SimulatedOwner> Members;
  std::map<int, std::size_t> Journal; ///< Worker by task.
  std::vector<LateHold> LateHolds;
  std::int64_t StoreEpoch = 0;
  Instant LastRecordAt;
  Instant StoreFailsUntil;
  Instant CutUntil;
  std::size_t CutOwner = 0;
  std::set<std::size_t> CutWorkers;
  std::int64_t Overlaps = 0;
  std::int64_t Lapses = 0;
};

} // namespace

// Guards against a task that runs twice at once, by an owner that renews leases
// without the store for longer than its successor waits, or that takes a worker
// for its earlier process.
TEST_CASE("no two runs of a task overlap, whatever is cut from what") {
  struct Row {
    Rules Played;
    bool Safe;
  };
  const auto Case =
      GENERATE(Row{boundedRules(), true}, Row{trustingRules(), false},
               Row{unboundedRules(), false});
  CAPTURE(Case.Played.Name);
  std::int64_t Overlaps = 0;
  for (std::uint64_t Seed = 1; Seed <= 600; ++Seed) {
    Day Simulated(Case.Played, Seed);
    Simulated.playDisturbed({90'000});
    if (Case.Safe) {
      CAPTURE(Seed);
      REQUIRE(Simulated.overlaps() == 0);
    }
    Overlaps += Simulated.overlaps();
  }
  // Leases without a bound show that the days are hard enough.
  REQUIRE((Overlaps == 0) == Case.Safe);
}

TEST_CASE("an outage of the store for everybody ends no run") {
  const auto Seed = GENERATE(range<std::uint64_t>(1, 30));
  Day Simulated(boundedRules(), Seed);
  Simulated.play({20'000});
  const std::int64_t Before = Simulated.lapses();
  Simulated.failStore(OutageRideThrough);
  Simulated.play({20'000});
  REQUIRE(Simulated.lapses() == Before);
  REQUIRE(Simulated.overlaps() == 0);
}

} // namespace pistachioflow
