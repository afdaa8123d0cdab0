#include <catch2/catch.hpp>

#include <memory>

#include "pistachioflow/controller/cell.hpp"
#include "pistachioflow/controller/cell_test_workers.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;
using namespace pistachioflow::testing;

namespace {

const JobId Job{"job-1"};
const Duration Step{100};
const Duration RunFor{30'000};

Lists oneTenant() {
  LimitsEntry Gold;
  Gold.Plan = {"gold"};
  Gold.CeilingAccelerators = 64;
  return {{1, {{{"chess"}, {"gold"}}}}, {1, {Gold}}};
}

JobSpec gang(const JobId &Id, std::uint32_t Tasks) {
  JobSpec Spec;
  Spec.Job = Id;
  Spec.Workspace = {"chess"};
  Spec.Shape = {Tasks, 4, 1, 1'000, Adjacency::SameRack};
  Spec.DeclaredRuntime = RunFor;
  Spec.Checkpointable = true;
  return Spec;
}

/// One log, some workers and the instances that share them, on one clock.
struct World {
  ManualClock Time{{1'000'000}};
  MemoryLog Log;
  FakeWorkers Workers{Time};
  MetricRegistry Metrics;
  EventJournal Journal{100};
  std::vector<std::unique_ptr<FakeGateway>> Gateways;
  std::vector<std::unique_ptr<CellController>> Cells;
  std::vector<InstanceId> Names;

  explicit World(std::size_t Instances) {
    for (const char *Name : {"worker-1", "worker-2", "worker-3"})
      this->Workers.add(Name, "rack-1", 8);
    this->Workers.Runtime = [](const JobId &) { return RunFor; };
    for (std::size_t At = 0; At < Instances; ++At)
      this->Names.push_back({"instance-" + std::to_string(At)});
    for (const InstanceId &Name : this->Names)
      this->addInstance(Name);
  }

  void addInstance(const InstanceId &Name) {
    this->Gateways.push_back(
        std::make_unique<FakeGateway>(this->Workers, Name));
    CellPorts Ports{this->Log,
                    *this->Gateways.back(),
                    this->Time,
                    this->Journal,
                    this->Metrics,
                    [](const std::function<void()> &Work) { Work(); },
                    this->Cells.size() + 1};
    this->Cells.push_back(std::make_unique<CellController>(
        CellId{"cell-1"}, Name, CellSettings{}, Ports));
    CellInputs Inputs;
    Inputs.Configuration = oneTenant();
    Inputs.Live = this->Names;
    this->Cells.back()->setInputs(Inputs);
  }

  /// Takes the instance away with all that it holds.
  void kill(std::size_t At) { this->Cells[At].reset(); }

  void turn() {
    this->Workers.tick();
    for (const auto &Cell : this->Cells) {
      for (int Again = 0; Cell && Cell->advance() && Again < 5; ++Again)
        continue;
    }
    this->Time.advance(Step);
  }

  /// Runs until \p Reached, at most \p Limit of virtual time.
  template <typename Condition>
  bool runUntil(Condition Reached, Duration Limit = {60'000}) {
    const Instant End = this->Time.monotonic() + Limit;
    while (!Reached() && this->Time.monotonic() < End)
      this->turn();
    return Reached();
  }

  std::size_t owner() const {
    for (std::size_t At = 0; At < this->Cells.size(); ++At) {
      if (this->Cells[At] && this->Cells[At]->status().Acts)
        return At;
    }
    return this->Cells.size();
  }

  bool owned() const { return this->owner() < this->Cells.size(); }

  bool inPhase(std::size_t At, const JobId &Id, JobPhase Phase) const {
    const auto Known = this->Cells[At]->job(Id);
    return Known.has_value() && Known.value().Phase == Phase;
  }

  std::size_t countOrders(OrderKind Kind) const {
    return static_cast<std::size_t>(std::count_if(
        this->Workers.History.begin(), this->Workers.History.end(),
        [&](const EffectiveOrder &Entry) { return Entry.Order.Kind == Kind; }));
  }
};

} // namespace

TEST_CASE("a submitted gang runs on all its workers and finishes once") {
  World Run(3);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  REQUIRE(Run.Cells[1]->submit(gang(Job, 4)).has_value());
  REQUIRE(Run.runUntil([&] { return Run.inPhase(2, Job, JobPhase::Running); }));
  CHECK(Run.Workers.running(Job).size() == 2);
  REQUIRE(
      Run.runUntil([&] { return Run.inPhase(2, Job, JobPhase::Finished); }));
  CHECK(Run.countOrders(OrderKind::Start) == 2);
  CHECK(Run.Workers.Violations.empty());
}

TEST_CASE("a successor takes over a running gang without touching it") {
  World Run(3);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  REQUIRE(Run.Cells[0]->submit(gang(Job, 4)).has_value());
  REQUIRE(Run.runUntil([&] { return Run.inPhase(0, Job, JobPhase::Running); }));
  const std::size_t Old = Run.owner();
  const std::size_t Other = (Old + 1) % 3;
  Run.kill(Old);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  REQUIRE(Run.runUntil(
      [&] { return Run.inPhase(Other, Job, JobPhase::Finished); }));
  CHECK(Run.countOrders(OrderKind::Start) == 2);
  CHECK(Run.Workers.Violations.empty());
}

TEST_CASE("a fresh instance takes over from a snapshot and the tail") {
  World Run(1);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  REQUIRE(Run.Cells[0]->submit(gang(Job, 4)).has_value());
  REQUIRE(Run.runUntil([&] { return Run.inPhase(0, Job, JobPhase::Running); }));
  // The log keeps fewer records than the renewals between two snapshots.
  const auto Snapshots = [&] {
    return Run.Metrics.counter("cell_snapshots_total").value();
  };
  REQUIRE(Run.runUntil([&] { return Snapshots() >= 1; }, {600'000}));
  Run.Log.setRetention(20);
  Run.kill(0);
  Run.Names.push_back({"instance-9"});
  Run.addInstance(Run.Names.back());
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  CHECK(Run.Cells[1]->job(Job).has_value());
}

TEST_CASE("a log outage leaves running gangs alone and refuses submissions") {
  World Run(2);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  REQUIRE(Run.Cells[0]->submit(gang(Job, 4)).has_value());
  REQUIRE(Run.runUntil([&] { return Run.inPhase(0, Job, JobPhase::Running); }));
  Run.Log.setFaults([] { return LogFault::Down; });
  const Instant Until = Run.Time.monotonic() + Duration{25'000};
  REQUIRE(Run.runUntil([&] { return Run.Time.monotonic() >= Until; }));
  CHECK_FALSE(Run.owned());
  CHECK(Run.Workers.running(Job).size() == 2);
  const auto Refused = Run.Cells[0]->submit(gang({"job-2"}, 1));
  REQUIRE(Refused.has_error());
  CHECK(Refused.error().Code == ErrorCode::Unavailable);
  Run.Log.setFaults({});
  REQUIRE(
      Run.runUntil([&] { return Run.inPhase(0, Job, JobPhase::Finished); }));
  CHECK(Run.countOrders(OrderKind::Start) == 2);
}

TEST_CASE("a gang that loses a worker stops as a whole and runs again") {
  World Run(2);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  REQUIRE(Run.Cells[0]->submit(gang(Job, 4)).has_value());
  REQUIRE(Run.runUntil([&] { return Run.inPhase(0, Job, JobPhase::Running); }));
  const WorkerId Lost = Run.Workers.running(Job).begin()->first;
  Run.Workers.kill(Lost);
  const auto RunsElsewhere = [&] {
    const auto Now = Run.Workers.running(Job);
    return Now.size() == 2 && Now.begin()->second == 2;
  };
  REQUIRE(Run.runUntil(RunsElsewhere, {120'000}));
  CHECK(Run.Workers.Violations.empty());
  Run.Workers.revive(Lost);
  const auto Back = [&] {
    bool Usable = false;
    Run.Cells[0]->read([&](const CellFold &Fold) {
      Usable = !Fold.Cell.Workers.at(Lost).Lost;
    });
    return Usable;
  };
  CHECK(Run.runUntil(Back));
}

TEST_CASE("tasks that no record knows are stopped and reported") {
  World Run(1);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  FakeTasks Orphan;
  Orphan.Phase = TaskPhase::Running;
  Orphan.StartedAt = Run.Time.monotonic();
  Orphan.LeaseEnds = Run.Time.monotonic() + Duration{3'600'000};
  Run.Workers.Machines.at({"worker-1"}).Tasks[{{"job-x"}, 7}] = Orphan;
  REQUIRE(Run.runUntil([&] { return Run.Workers.running({"job-x"}).empty(); }));
  Run.turn();
  const auto Events = Run.Journal.events();
  CHECK(std::any_of(Events.begin(), Events.end(), [](const auto &Seen) {
    return Seen.Why.Code == ReasonCode::StoppedOrphan &&
           Seen.Subject == "job-x";
  }));
}

TEST_CASE("a planned stop hands the cell to the named successor at once") {
  World Run(3);
  REQUIRE(Run.runUntil([&] { return Run.owned(); }));
  const std::size_t Old = Run.owner();
  const std::size_t Next = (Old + 1) % 3;
  REQUIRE(
      Run.runUntil([&] { return Run.Cells[Old]->release(Run.Names[Next]); }));
  CHECK(
      Run.runUntil([&] { return Run.owner() == Next; }, LeaseSettings{}.Lease));
}
