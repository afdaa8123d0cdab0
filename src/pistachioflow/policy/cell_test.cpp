#include <catch2/catch.hpp>

#include "pistachioflow/policy/test_cell.hpp"

using namespace pistachioflow;
using namespace pistachioflow::policy;
using namespace pistachioflow::policy::test;

namespace {

using Codes = std::vector<ReasonCode>;

std::string pack(const CellState &State) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, State);
  return {Buffer.data(), Buffer.size()};
}

CellState unpack(const std::string &Bytes) {
  return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<CellState>();
}

JobSpec urgentJob(const std::string &Workspace) {
  JobSpec Spec = jobOf("a", Workspace, 1, 1);
  Spec.Urgent = true;
  return Spec;
}

} // namespace

TEST_CASE("a job that the lists or the workers forbid is refused at once") {
  const auto [Spec, Expected] = GENERATE(table<JobSpec, ReasonCode>({
      {jobOf("a", "nobody", 1, 1), ReasonCode::RefusedNoPlan},
      {jobOf("a", "lost", 1, 1), ReasonCode::RefusedNoLimits},
      {jobOf("a", "chess", 4, 8, Adjacency::SameDomain),
       ReasonCode::RefusedAboveCeiling},
      {jobOf("a", "ratings", 4, 8), ReasonCode::RefusedFitsNowhere},
      {jobOf("a", "ratings", 1, 9), ReasonCode::RefusedFitsNowhere},
      {jobOf("a", "ratings", 0, 1), ReasonCode::RefusedFitsNowhere},
      {urgentJob("ratings"), ReasonCode::RefusedUrgentNotAllowed},
  }));
  Lists Configuration = simpleLists();
  Configuration.Plans.Entries.push_back({{"lost"}, {"no-such-plan"}});
  TestCell Cell({}, Configuration);
  Cell.tell(JobSubmitted{Spec});
  CHECK(Cell.codes<RefuseJob>() == Codes{Expected});
  CHECK(Cell.job("a").Phase == JobPhase::Refused);
}

TEST_CASE("a second job of the same name is refused and the first one stays") {
  TestCell Cell({}, simpleLists());
  Cell.run(jobOf("a", "ratings", 1, 4));
  Cell.tell(JobSubmitted{jobOf("a", "ratings", 1, 4)});
  CHECK(Cell.Last.empty());
  Cell.tell(JobSubmitted{jobOf("a", "reports", 1, 4)});
  CHECK(Cell.codes<RefuseJob>() == Codes{ReasonCode::RefusedDuplicateJob});
  CHECK(Cell.job("a").Phase == JobPhase::Running);
  CHECK(Cell.job("a").Spec.Workspace.Value == "ratings");
}

TEST_CASE("a gang is placed as near as it asks") {
  const auto [Tasks, PerTask, Near, Racks] =
      GENERATE(table<std::uint32_t, std::uint32_t, Adjacency, std::size_t>({
          {2, 4, Adjacency::SameWorker, 1},
          {2, 8, Adjacency::SameRack, 1},
          {4, 8, Adjacency::NeighbourRacks, 2},
          {6, 8, Adjacency::SameDomain, 3},
      }));
  TestCell Cell({1, 4, 2}, simpleLists());
  Cell.tell(JobSubmitted{jobOf("a", "ratings", Tasks, PerTask, Near)});
  REQUIRE(Cell.job("a").Phase == JobPhase::Starting);
  std::set<std::string> RacksUsed;
  for (const Placement &Place : Cell.job("a").Placements)
    RacksUsed.insert(Cell.State.Workers.at(Place.Worker).Info.Rack.Value);
  CHECK(RacksUsed.size() == Racks);
}

TEST_CASE("cores and memory limit a placement as accelerators do") {
  const auto [Cores, Memory, Phase] =
      GENERATE(table<std::uint32_t, std::uint32_t, JobPhase>({
          {32, 1'000, JobPhase::Starting},
          {33, 1'000, JobPhase::Refused},
          {1, 64'000, JobPhase::Starting},
          {1, 64'001, JobPhase::Refused},
      }));
  TestCell Cell({1, 1, 1}, simpleLists());
  JobSpec Spec = jobOf("a", "ratings", 2, 1);
  Spec.Shape.CoresPerTask = Cores;
  Spec.Shape.MemoryMbPerTask = Memory;
  Cell.tell(JobSubmitted{Spec});
  CHECK(Cell.job("a").Phase == Phase);
}

TEST_CASE("a cancellation ends a job in each of its phases") {
  TestCell Cell({1, 1, 1}, simpleLists());
  Cell.run(jobOf("running", "ratings", 1, 4));
  Cell.tell(JobSubmitted{jobOf("starting", "ratings", 1, 4)});
  Cell.tell(JobSubmitted{jobOf("queued", "ratings", 1, 4)});
  const std::string Name = GENERATE("running", "starting", "queued");
  Cell.tell(JobCancelled{{Name}});
  if (Name != "queued") {
    REQUIRE(Cell.find<StopGang>());
    CHECK(Cell.find<StopGang>()->FollowUp == AfterStop::Cancel);
    CHECK(Cell.job(Name).Phase == JobPhase::Stopping);
    CHECK(Cell.job("queued").Phase == JobPhase::Queued);
    Cell.stopped(Name);
    CHECK(Cell.job("queued").Phase == JobPhase::Starting);
  }
  CHECK(Cell.job(Name).Phase == JobPhase::Cancelled);
}

TEST_CASE("a start that crosses a cancellation changes nothing") {
  TestCell Cell({1, 1, 1}, simpleLists());
  Cell.tell(JobSubmitted{jobOf("a", "ratings", 1, 8)});
  Cell.tell(JobCancelled{{"a"}});
  Cell.started("a");
  CHECK(Cell.job("a").Phase == JobPhase::Stopping);
  Cell.stopped("a");
  CHECK(Cell.job("a").Phase == JobPhase::Cancelled);
}

TEST_CASE("a refused or failed gang is tried again as a new attempt") {
  TestCell Cell({1, 1, 2}, simpleLists());
  Cell.tell(JobSubmitted{jobOf("a", "ratings", 1, 8)});
  const WorkerId First = Cell.job("a").Placements.front().Worker;
  const bool Refused = GENERATE(true, false);
  if (Refused)
    Cell.tell(GangRefused{{"a"}, 1, First});
  else
    Cell.failed("a", First.Value);
  CHECK(Cell.job("a").Phase == JobPhase::Queued);
  Cell.pass({10'000});
  REQUIRE(Cell.job("a").Phase == JobPhase::Starting);
  CHECK(Cell.job("a").Try == 2);
  if (!Refused)
    CHECK(Cell.job("a").Placements.front().Worker != First);
  Cell.tell(GangFinished{{"a"}, 1});
  CHECK(Cell.job("a").Phase == JobPhase::Starting);
  Cell.tell(GangFinished{{"a"}, 2});
  CHECK(Cell.job("a").Phase == JobPhase::Finished);
}

TEST_CASE("a job that fails on many different workers is at fault itself") {
  TestCell Cell({1, 2, 2}, simpleLists());
  Cell.tell(JobSubmitted{jobOf("a", "ratings", 1, 8)});
  for (int Tries = 0; Tries < 10 && isActive(Cell.job("a")); ++Tries) {
    Cell.failed("a", Cell.job("a").Placements.front().Worker.Value);
    if (!hasEnded(Cell.job("a")))
      Cell.pass({100'000});
  }
  CHECK(Cell.job("a").Phase == JobPhase::Failed);
  CHECK(Cell.codes<EndJob>() == Codes{ReasonCode::FailedOnManyWorkers});
  CHECK(Cell.job("a").FailedOn.size() == 3);
}

TEST_CASE("a lost worker stops the whole gang") {
  TestCell Cell({1, 1, 3}, simpleLists());
  Cell.run(jobOf("a", "ratings", 2, 8));
  const WorkerId Lost = Cell.job("a").Placements.front().Worker;
  Cell.tell(WorkerLost{Lost});
  CHECK(Cell.codes<StopGang>() == Codes{ReasonCode::StoppedWorkerLost});
  Cell.stopped("a");
  REQUIRE(Cell.job("a").Phase == JobPhase::Starting);
  for (const Placement &Place : Cell.job("a").Placements)
    CHECK(Place.Worker != Lost);
}

TEST_CASE("a snapshot goes on with the same decisions") {
  TestCell Cell({}, simpleLists());
  for (int Job = 0; Job < 8; ++Job)
    Cell.run(jobOf(std::to_string(Job), Job % 2 ? "ratings" : "reports", 1, 6));
  CellState Copy = unpack(pack(Cell.State));
  CHECK(pack(Copy) == pack(Cell.State));
  const Event Fact = GangFinished{{"0"}, 1};
  const auto Expected = step(Cell.State, Fact, Cell.Prefer, Cell.Now);
  const auto Made = step(Copy, Fact, Cell.Prefer, Cell.Now);
  REQUIRE(!Expected.empty());
  REQUIRE(Made.size() == Expected.size());
  for (std::size_t At = 0; At < Made.size(); ++At)
    CHECK(Made[At].Why == Expected[At].Why);
  CHECK(pack(Copy) == pack(Cell.State));
}

TEST_CASE("an action that does not fit the state changes nothing") {
  TestCell Cell({1, 1, 2}, simpleLists());
  Cell.run(jobOf("a", "ratings", 1, 8));
  Cell.tell(JobSubmitted{jobOf("b", "ratings", 2, 8)});
  const WorkerId Taken = Cell.job("a").Placements.front().Worker;
  const Action Wrong = GENERATE_COPY(
      Action(AdmitJob{{"a"}}), Action(AdmitJob{{"nobody"}}),
      Action(RefuseJob{{"a"}}), Action(StopGang{{"a"}, 7}),
      Action(CheckpointGang{{"b"}, 0, {5}, {"a"}}), Action(EndJob{{"a"}}),
      Action(StartGang{{"b"}, 1, {{Taken, 2}}, true}),
      Action(StartGang{{"b"}, 3, {{Taken, 2}}, true}),
      Action(ReserveCapacity{{"a"}, {{Taken, 2}}, {9}}),
      Action(QuarantineWorker{{"nobody"}, {9}}), Action(ReleaseWorker{Taken}));
  const std::string Before = pack(Cell.State);
  CHECK_FALSE(apply(Cell.State, Wrong, Cell.Now));
  CHECK(pack(Cell.State) == Before);
}
