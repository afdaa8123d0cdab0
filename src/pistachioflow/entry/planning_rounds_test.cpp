// Placement rounds over a simulated cluster with a checker that knows nothing
// of how decisions are made: with capacity to spare, nothing waits for long.

#include "pistachioflow/entry/planning.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr Resources WorkerCapacity{64'000, 131'072, 8};
constexpr Duration RoundInterval{100};
/// The users' limit for a unit that fits twice over while less than half of the
/// capacity is in use.
constexpr Duration MaxIdleWait{3'000};
constexpr double RemotePenalty = 3.0;

StepSpec makeStep(std::int64_t Tasks, std::int64_t Accelerators, bool Gang) {
  StepSpec Step;
  Step.TaskCount = Tasks;
  Step.TaskResources = {4'000, 8'192, Accelerators};
  Step.EstimatedMs = 3'000;
  Step.Gang = Gang;
  return Step;
}

/// Workers that carry out every decision at once.
class Cluster {
public:
  void addWorker(const std::string &Id, const std::string &Rack,
                 const std::string &Kind = "a") {
    auto Link = std::make_shared<WorkerLink>(this->Io, Id);
    Link->Entry.Service = "svc";
    Link->Entry.Capacity = WorkerCapacity;
    Link->Entry.Labels = {Kind, Rack};
    Link->Listed = true;
    Link->Synced = true;
    Link->IncarnationStartMs = 1;
    this->Workers[Id] = std::move(Link);
  }

  void loseWorker(const std::string &Id) {
    this->Table.workerLost(Id, this->Now, "lease_ended");
    this->Workers.erase(Id);
  }

  void submit(const std::string &JobId, const StepSpec &Step,
              std::int64_t Priority, std::int64_t WorkMs = 3'000) {
    SubmissionRecord Submission;
    Submission.Queue = "queue";
    Submission.Workspace = "team";
    Submission.AcceptedWallMs = this->Now.Ms;
    Submission.Terms.Service = "svc";
    Submission.Terms.Priority = Priority;
    Submission.Job.Steps = {Step};
    this->WorkMs[JobId] = WorkMs;
    this->Table.addSubmission(JobId, std::move(Submission), this->Now,
                              this->Now.Ms);
  }

  void cancel(const std::string &JobId) {
    this->Table.addCancellation(JobId, this->Now.Ms, this->Now);
  }

  void playRound() {
    this->Now = this->Now + RoundInterval;
    this->Table.unlockDueSteps(this->Now, this->Now.Ms);
    const PlanningView View{this->Table,     this->Workers, this->Desired,
                            this->Durations, this->Now,     Duration{1'500},
                            Duration{900},   RemotePenalty};
    reserveForUrgent(View);
    applyPlan(this->Table, planRound(View), this->Now);
    for (Unit *Placed : this->Table.active())
      for (std::size_t Index = 0; Index < Placed->Members.size(); ++Index)
        if (this->Table.markSent({Placed, Index}, Placed->Run, this->Now))
          this->Table.confirm(Placed->taskName(Index), Placed->Run, this->Now);
    this->report();
    this->checkWaits();
  }

  void play(Duration Span) {
    for (Duration Played{0}; Played < Span; Played = Played + RoundInterval)
      this->playRound();
  }

  bool hasStarted(const std::string &JobId) {
    return this->Table.find(JobId)->Phase != JobPhase::Queued;
  }

  bool allStarted() const {
    return std::ranges::all_of(this->Table.jobs(), [](const auto &Entry) {
      return Entry.second.Phase != JobPhase::Queued;
    });
  }

  std::vector<std::string> workerIds() const {
    std::vector<std::string> Ids;
    for (const auto &[Id, Link] : this->Workers)
      Ids.push_back(Id);
    return Ids;
  }

  std::vector<std::string> Violations;
  JobTable Table;

private:
  Duration runTime(const Unit &Placed) const {
    const auto RackOn = [this](const Member &Peer) {
      return rackOf(this->Workers.at(Peer.Worker)->Entry);
    };
    const StepSpec &Step = Placed.spec();
    const bool Remote =
        std::ranges::any_of(Placed.Members, [&](const Member &Peer) {
          const bool Known =
              this->Workers.contains(Peer.Worker) &&
              this->Workers.contains(Placed.Members.front().Worker);
          return Known &&
                 ((!Step.DataRack.empty() && RackOn(Peer) != Step.DataRack) ||
                  (Step.TightlyCoupled &&
                   RackOn(Peer) != RackOn(Placed.Members.front())));
        });
    const std::int64_t Ms = this->WorkMs.at(Placed.ParentJob->Id);
    return {Remote ? static_cast<std::int64_t>(RemotePenalty *
                                               static_cast<double>(Ms))
                   : Ms};
  }

  void report() {
    for (const auto &[Id, Link] : this->Workers) {
      WorkerReport Report;
      Report.ClockMs = this->Now.Ms;
      Report.IncarnationStartMs = 1;
      for (const MemberRef &Ref : this->Table.membersOn(Id)) {
        const Unit &Placed = *Ref.ParentUnit;
        const std::string Task = Placed.taskName(Ref.Index);
        const bool Over = !Placed.spec().LongRunning &&
                          this->Now - Placed.PlacedAt >= this->runTime(Placed);
        if (Ref.member().StopRequested)
          Report.Ended.push_back(
              {++this->Ends, Task, Placed.Run, RunOutcome::Stopped, {}});
        else if (Over)
          Report.Ended.push_back(
              {++this->Ends, Task, Placed.Run, RunOutcome::Done, {}});
        else
          Report.Running.push_back({Task, Placed.Run, {}, 1, 1'000});
      }
      this->Table.applyReport(Id, Report, this->Now, this->Now, this->Now.Ms);
    }
  }

  bool isLessThanHalfUsed() const {
    Resources Total;
    Resources Used;
    for (const auto &[Id, Link] : this->Workers) {
      Total = Total + Link->Entry.Capacity;
      Used = Used + this->Table.occupiedCapacity(Id);
    }
    return Used.MilliCores * 2 < Total.MilliCores &&
           Used.MemoryMb * 2 < Total.MemoryMb &&
           Used.Accelerators * 2 < Total.Accelerators;
  }

  bool fitsTwice(const Unit &Waiting) const {
    const StepSpec &Step = Waiting.spec();
    std::int64_t Fitting = 0;
    for (const auto &[Id, Link] : this->Workers) {
      const auto &Labels = Link->Entry.Labels;
      const bool Allowed =
          Step.RequiredLabel.empty() ||
          std::ranges::find(Labels, Step.RequiredLabel) != Labels.end();
      if (Allowed)
        Fitting += fittingTasks(Link->Entry.Capacity -
                                    this->Table.occupiedCapacity(Id),
                                Step.TaskResources);
    }
    return Fitting >= 2 * Waiting.TaskCount;
  }

  /// Counts for how long each unit has waited without need.
  void checkWaits() {
    std::map<std::string, Instant> Since;
    const bool Idle = this->isLessThanHalfUsed();
    for (const Unit *Waiting : this->Table.placeable(this->Now)) {
      if (!Idle || !this->fitsTwice(*Waiting))
        continue;
      const std::string Name = Waiting->name();
      const auto Before = this->IdleSince.find(Name);
      Since[Name] =
          Before == this->IdleSince.end() ? this->Now : Before->second;
      if (this->Now - Since[Name] == MaxIdleWait)
        this->Violations.push_back(Name + " waits without need at " +
                                   std::to_string(this->Now.Ms));
    }
    this->IdleSince = std::move(Since);
  }

  asio::io_context Io;
  WorkerLinks Workers;
  DesiredState Desired;
  DurationModel Durations;
  Instant Now{100'000};
  std::map<std::string, std::int64_t> WorkMs;
  std::map<std::string, Instant> IdleSince;
  std::int64_t Ends = 0;
};

std::string jobId(std::size_t Number) {
  constexpr std::size_t IdSize = 16;
  std::string Text = std::to_string(Number);
  return std::string(IdSize - Text.size(), '0') + Text;
}

/// Racks of two workers; a task that lasts on the first of each rack but the
/// last one.
void occupyRacks(Cluster &Simulated, std::size_t Racks) {
  for (std::size_t Index = 0; Index < Racks * 2; ++Index)
    Simulated.addWorker("w" + std::to_string(Index),
                        "r" + std::to_string(Index / 2));
  StepSpec Lasting = makeStep(1, 1, false);
  Lasting.LongRunning = true;
  for (std::size_t Rack = 0; Rack + 1 < Racks; ++Rack) {
    Lasting.DataRack = "r" + std::to_string(Rack);
    Simulated.submit(jobId(100 + Rack), Lasting, 2);
  }
  Simulated.play(Duration{1'000});
}

} // namespace

// Guards against a job that never runs: a preferred rack bound like a
// constraint.
TEST_CASE("a gang does not wait for ever for one rack beside idle workers") {
  // One worker of its rack is lost, and no other rack is free as a whole.
  Cluster Simulated;
  occupyRacks(Simulated, 5);
  StepSpec Gang = makeStep(2, 8, true);
  const bool Tight = GENERATE(true, false);
  Gang.TightlyCoupled = Tight;
  if (!Tight)
    Gang.DataRack = "r0";
  Simulated.loseWorker("w9");
  Simulated.submit(jobId(1), Gang, 1);
  Simulated.play(Duration{5'000});
  REQUIRE(Simulated.hasStarted(jobId(1)));
  REQUIRE(Simulated.Violations == std::vector<std::string>{});
}

// Guards against a job that never runs beside urgent work that lasts.
TEST_CASE("a task does not wait for ever beside workers of urgent work") {
  // All workers of the kind that it needs have urgent work that lasts.
  Cluster Simulated;
  for (std::size_t Index = 0; Index < 16; ++Index)
    Simulated.addWorker("w" + std::to_string(Index), "r0",
                        Index < 2 ? "b" : "a");
  StepSpec Lasting = makeStep(2, 1, false);
  Lasting.LongRunning = true;
  Lasting.RequiredLabel = "b";
  Lasting.MaxPerWorker = 1;
  Simulated.submit(jobId(1), Lasting, 0);
  Simulated.play(Duration{1'000});
  StepSpec Small = makeStep(1, 1, false);
  Small.RequiredLabel = "b";
  Simulated.submit(jobId(2), Small, 1);
  Simulated.play(Duration{5'000});
  REQUIRE(Simulated.hasStarted(jobId(2)));
  REQUIRE(Simulated.Violations == std::vector<std::string>{});
}

// Guards against a job that never runs beside workers reserved for gangs.
TEST_CASE("a task does not wait for ever beside workers reserved for gangs") {
  // Gangs ahead of it wait for a rack and reserve idle workers meanwhile.
  Cluster Simulated;
  for (std::size_t Index = 0; Index < 20; ++Index)
    Simulated.addWorker("w" + std::to_string(Index),
                        "r" + std::to_string(Index / 4));
  StepSpec Lasting = makeStep(1, 1, false);
  Lasting.LongRunning = true;
  for (std::size_t Rack = 0; Rack < 5; ++Rack) {
    Lasting.DataRack = "r" + std::to_string(Rack);
    Lasting.TaskCount = Rack < 2 ? 1 : 4;
    Lasting.MaxPerWorker = 1;
    Simulated.submit(jobId(100 + Rack), Lasting, 2);
  }
  Simulated.play(Duration{3'000});
  StepSpec Wide = makeStep(8, 8, true);
  Simulated.submit(jobId(1), Wide, 1, 60'000);
  Simulated.play(Duration{500});
  Simulated.submit(jobId(2), makeStep(1, 8, false), 1);
  Simulated.play(Duration{5'000});
  REQUIRE(Simulated.hasStarted(jobId(2)));
  REQUIRE(Simulated.Violations == std::vector<std::string>{});
}

TEST_CASE("with capacity to spare, no unit waits longer than its bound") {
  constexpr std::uint64_t Seeds = 60;
  constexpr std::size_t WorkerCount = 24;
  std::vector<std::string> Violations;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    std::mt19937_64 Random(Seed);
    const auto Pick = [&Random](std::int64_t Low, std::int64_t High) {
      return std::uniform_int_distribution<std::int64_t>(Low, High)(Random);
    };
    Cluster Simulated;
    for (std::size_t Index = 0; Index < WorkerCount; ++Index)
      Simulated.addWorker("w" + std::to_string(Index),
                          "r" + std::to_string(Index / 4),
                          Index % 6 == 0 ? "b" : "a");
    std::size_t Jobs = 0;
    std::size_t Added = WorkerCount;
    constexpr int ArrivalRounds = 200;
    constexpr int Rounds = 400;
    for (int Round = 0; Round < Rounds; ++Round) {
      if (Round < ArrivalRounds && Pick(0, 3) == 0) {
        const bool Gang = Pick(0, 1) == 1;
        StepSpec Step = makeStep(Gang ? Pick(1, 6) : Pick(1, 4),
                                 std::int64_t{1} << Pick(0, 3), Gang);
        Step.TightlyCoupled = Gang && Pick(0, 1) == 1;
        if (Pick(0, 3) == 0)
          Step.DataRack = "r" + std::to_string(Pick(0, 5));
        if (Pick(0, 5) == 0)
          Step.RequiredLabel = "b";
        if (!Gang && Pick(0, 7) == 0) {
          Step.LongRunning = true;
          Step.TaskResources.Accelerators = 1;
        }
        Simulated.submit(jobId(++Jobs), Step, Pick(0, 2), Pick(500, 9'000));
      }
      if (Pick(0, 49) == 0 && Added < WorkerCount + 6) {
        const std::vector<std::string> Ids = Simulated.workerIds();
        Simulated.loseWorker(Ids[static_cast<std::size_t>(
            Pick(0, static_cast<std::int64_t>(Ids.size()) - 1))]);
        Simulated.addWorker("w" + std::to_string(Added++), "r9", "b");
      }
      Simulated.playRound();
    }
    for (const std::string &Text : Simulated.Violations)
      Violations.push_back("seed " + std::to_string(Seed) + ": " + Text);
  }
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
