#include <catch2/catch.hpp>

#include "pistachioflow/policy/packing.hpp"
#include "pistachioflow/policy/test_cell.hpp"

using namespace pistachioflow;
using namespace pistachioflow::policy;
using namespace pistachioflow::policy::test;

namespace {

using Codes = std::vector<ReasonCode>;

JobSpec guaranteedJob(const std::string &Name) {
  JobSpec Spec = jobOf(Name, "chess", 1, 8, Adjacency::SameWorker);
  Spec.Shape = simpleLists().Limits.Entries[0].Guarantees[0].Shape;
  return Spec;
}

JobSpec savingJob(const std::string &Name, const std::string &Workspace,
                  std::uint32_t Accelerators) {
  JobSpec Spec = jobOf(Name, Workspace, 1, Accelerators);
  Spec.Checkpointable = true;
  return Spec;
}

/// Fills a cell of four workers with borrowed gangs of a whole worker.
void fill(TestCell &Cell, bool Checkpointable) {
  for (const char *Name : {"b0", "b1", "b2", "b3"}) {
    JobSpec Spec = savingJob(Name, "ratings", 8);
    Spec.Checkpointable = Checkpointable;
    Cell.run(Spec);
    Cell.pass({1'000});
  }
}

/// Returns the gangs that the last decisions preempt.
std::vector<std::string> victims(const TestCell &Cell) {
  std::vector<std::string> Names;
  for (const Decision &Made : Cell.Last) {
    if (const auto *Ask = std::get_if<CheckpointGang>(&Made.What))
      Names.push_back(Ask->Job.Value);
    if (const auto *Stop = std::get_if<StopGang>(&Made.What))
      Names.push_back(Stop->Job.Value);
  }
  return Names;
}

} // namespace

TEST_CASE("each guaranteed gang is given a home of its own") {
  TestCell Cell({1, 2, 2}, simpleLists());
  REQUIRE(Cell.State.Homes.size() == 2);
  CHECK(Cell.State.Homes[0].Placements != Cell.State.Homes[1].Placements);
  CHECK(Cell.codes<AssignHomes>() == Codes{ReasonCode::HomesAssigned});
}

TEST_CASE("a guarantee is taken from a full cluster within the deadline") {
  const bool Checkpointable = GENERATE(true, false);
  TestCell Cell({1, 2, 2}, simpleLists());
  fill(Cell, Checkpointable);
  Cell.tell(JobSubmitted{guaranteedJob("g")});
  const std::vector<std::string> Asked = victims(Cell);
  REQUIRE(Asked.size() == 1);
  if (Checkpointable) {
    REQUIRE(Cell.find<CheckpointGang>());
    CHECK(Cell.find<CheckpointGang>()->Beneficiary.Value == "g");
    CHECK_FALSE(Cell.find<StopGang>());
    Cell.pass({Cell.Prefer.ReclaimDeadline.Ms - 1'000});
    CHECK(Cell.codes<StopGang>() == Codes{ReasonCode::ReclaimDeadlinePassed});
  } else {
    CHECK(Cell.codes<StopGang>() == Codes{ReasonCode::ReclaimedForGuarantee});
  }
  Cell.stopped(Asked.front());
  REQUIRE(Cell.job("g").Phase == JobPhase::Starting);
  CHECK_FALSE(Cell.job("g").Borrowed);
  CHECK(Cell.codes<StartGang>() == Codes{ReasonCode::PlacedInGuarantee});
  CHECK(Cell.job(Asked.front()).Phase == JobPhase::Queued);
}

TEST_CASE("a checkpoint that is taken in time is followed by the stop") {
  TestCell Cell({1, 2, 2}, simpleLists());
  fill(Cell, true);
  Cell.tell(JobSubmitted{guaranteedJob("g")});
  const JobId Asked = Cell.find<CheckpointGang>()->Job;
  Cell.tell(CheckpointTaken{Asked, 1});
  CHECK(Cell.codes<StopGang>() == Codes{ReasonCode::ReclaimedForGuarantee});
  CHECK(Cell.find<StopGang>()->FollowUp == AfterStop::Requeue);
}

TEST_CASE("a gang goes on where the job that reclaims it is cancelled") {
  TestCell Cell({1, 2, 2}, simpleLists());
  fill(Cell, true);
  Cell.tell(JobSubmitted{guaranteedJob("g")});
  const std::string Asked = Cell.find<CheckpointGang>()->Job.Value;
  Cell.tell(JobCancelled{{"g"}});
  Cell.pass({60'000});
  CHECK(Cell.job(Asked).Phase == JobPhase::Running);
}

TEST_CASE("guaranteed use is never preempted") {
  TestCell Cell({1, 2, 2}, simpleLists());
  Cell.run(guaranteedJob("g0"));
  Cell.run(guaranteedJob("g1"));
  Cell.run(savingJob("b0", "ratings", 8));
  Cell.run(savingJob("b1", "ratings", 8));
  JobSpec Urgent = jobOf("u", "chess", 1, 8);
  Urgent.Urgent = true;
  Cell.tell(JobSubmitted{Urgent});
  const std::vector<std::string> Asked = victims(Cell);
  REQUIRE(Asked.size() == 1);
  CHECK(Asked.front().starts_with("b"));
}

TEST_CASE("a home moves to free workers rather than reclaim from borrowers") {
  TestCell Cell({1, 2, 2}, simpleLists());
  const WorkerId HomeWorker = Cell.State.Homes[0].Placements[0].Worker;
  JobSpec Blocker = savingJob("b", "ratings", 8);
  for (int Tries = 0; Tries < 4; ++Tries)
    Cell.run(savingJob("b" + std::to_string(Tries), "ratings", 8));
  std::string OnOther;
  for (const auto &[Name, Job] : Cell.State.Jobs) {
    const WorkerId &At = Job.Placements.front().Worker;
    if (At != Cell.State.Homes[0].Placements[0].Worker &&
        At != Cell.State.Homes[1].Placements[0].Worker)
      OnOther = Name.Value;
  }
  REQUIRE(!OnOther.empty());
  Cell.finished(OnOther);
  Cell.tell(JobSubmitted{guaranteedJob("g")});
  CHECK(victims(Cell).empty());
  CHECK(Cell.codes<AssignHomes>() == Codes{ReasonCode::HomeMoved});
  CHECK(Cell.job("g").Phase == JobPhase::Starting);
  CHECK_FALSE(Cell.job("g").Borrowed);
}

TEST_CASE("the gang that loses least is reclaimed, twice preempted ones last") {
  TestCell Cell({1, 1, 2}, simpleLists());
  JobSpec Long = jobOf("long", "ratings", 1, 8);
  JobSpec Short = jobOf("short", "ratings", 1, 8);
  Cell.run(Long);
  Cell.pass({50'000});
  Cell.run(Short);
  Cell.pass({5'000});
  const bool Twice = GENERATE(false, true);
  if (Twice)
    Cell.State.Jobs.at({"short"}).Preemptions = 2;
  JobSpec Urgent = jobOf("u", "chess", 1, 8);
  Urgent.Urgent = true;
  Urgent.Shape.CoresPerTask = 16;
  Cell.tell(JobSubmitted{Urgent});
  CHECK(victims(Cell) == std::vector<std::string>{Twice ? "long" : "short"});
}

TEST_CASE("urgent work starts within its bound in a full cluster") {
  constexpr Duration UrgentBound{5'700};
  TestCell Cell({1, 2, 2}, simpleLists());
  fill(Cell, true);
  JobSpec Urgent = jobOf("u", "chess", 1, 4);
  Urgent.Urgent = true;
  const Instant Asked = Cell.Now;
  Cell.tell(JobSubmitted{Urgent});
  REQUIRE(victims(Cell).size() == 1);
  const std::string Victim = victims(Cell).front();
  while (Cell.job(Victim).Phase == JobPhase::Running)
    Cell.pass({500});
  Cell.pass({500});
  Cell.stopped(Victim);
  CHECK(Cell.job("u").Phase == JobPhase::Starting);
  CHECK(Cell.Now - Asked <= UrgentBound);
}

TEST_CASE("a lost worker moves its home, or the guarantee is at risk at once") {
  TestCell Cell({1, 2, 2}, simpleLists());
  Cell.tell(WorkerLost{{"d0r0w0"}});
  CHECK(Cell.State.Homes.size() == 2);
  CHECK_FALSE(Cell.find<ReportGuaranteeAtRisk>());
  Cell.tell(WorkerLost{{"d0r0w1"}});
  CHECK(Cell.State.Homes.size() == 2);
  Cell.tell(WorkerLost{{"d0r1w0"}});
  CHECK(Cell.State.Homes.size() == 1);
  CHECK(Cell.codes<ReportGuaranteeAtRisk>() ==
        Codes{ReasonCode::GuaranteeAtRisk});
  Cell.tell(WorkerJoined{workersOf({1, 2, 2})[0]});
  CHECK(Cell.State.Homes.size() == 2);
  CHECK(Cell.State.GuaranteesAtRisk.empty());
}

TEST_CASE("an edit that cannot be packed is refused with every finding") {
  const std::vector<WorkerInfo> Workers = workersOf({1, 2, 2});
  CHECK(checkPacking(simpleLists(), Workers).empty());
  Lists Edit = simpleLists();
  Edit.Limits.Entries[0].Guarantees[0].Count = 5;
  Edit.Plans.Entries.push_back({{"extra"}, {"no-such-plan"}});
  const Findings Found = checkPacking(Edit, Workers);
  REQUIRE(Found.size() == 3);
  CHECK(Found[0].Place == "plans[extra].plan");
  CHECK(Found[1].Place == "limits[gold].ceiling");
  CHECK(Found[2].Place == "limits[gold].guarantees[0] for workspace chess");
}

TEST_CASE("packing does not depend on the order of the workers") {
  std::vector<WorkerInfo> Workers = workersOf({2, 3, 4});
  const Packing First = packHomes(simpleLists(), Workers, {});
  std::ranges::reverse(Workers);
  CHECK(packHomes(simpleLists(), Workers, {}).Homes == First.Homes);
}

TEST_CASE("a lowered ceiling stops the excess, borrowed gangs first") {
  TestCell Cell({1, 2, 2}, simpleLists());
  Cell.run(guaranteedJob("g0"));
  Cell.run(guaranteedJob("g1"));
  Cell.run(savingJob("extra", "chess", 8));
  REQUIRE(Cell.job("extra").Borrowed);
  Lists Edit = simpleLists();
  ++Edit.Limits.At;
  Edit.Limits.Entries[0].CeilingAccelerators = 16;
  Cell.tell(ListsChanged{Edit});
  CHECK(Cell.codes<StopGang>() == Codes{ReasonCode::StoppedListsChanged});
  CHECK(Cell.job("extra").Phase == JobPhase::Stopping);
  CHECK(Cell.job("g0").Phase == JobPhase::Running);
}

TEST_CASE("a workspace that loses its plan runs nothing any more") {
  TestCell Cell({1, 1, 2}, simpleLists());
  Cell.run(jobOf("a", "ratings", 1, 8));
  Cell.run(jobOf("b", "ratings", 1, 8));
  Cell.tell(JobSubmitted{jobOf("c", "ratings", 1, 8)});
  Lists Edit = simpleLists();
  ++Edit.Plans.At;
  std::erase_if(Edit.Plans.Entries, [](const PlanEntry &Line) {
    return Line.Workspace.Value == "ratings";
  });
  Cell.tell(ListsChanged{Edit});
  CHECK(Cell.codes<StopGang>().size() == 2);
  CHECK(Cell.codes<EndJob>() == Codes{ReasonCode::RefusedNoPlan});
  Cell.stopped("a");
  CHECK(Cell.job("a").Phase == JobPhase::Refused);
}

TEST_CASE("a guarantee is taken from the workspace's own borrowed work too") {
  TestCell Cell({1, 2, 2}, simpleLists());
  JobSpec Wide = jobOf("wide", "chess", 3, 8, Adjacency::NeighbourRacks);
  Wide.Shape.CoresPerTask = 10;
  Cell.run(Wide);
  REQUIRE(Cell.job("wide").Borrowed);
  Cell.tell(JobSubmitted{guaranteedJob("g")});
  CHECK(victims(Cell) == std::vector<std::string>{"wide"});
  Cell.stopped("wide");
  CHECK(Cell.job("g").Phase == JobPhase::Starting);
}
