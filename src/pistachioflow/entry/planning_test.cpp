#include "pistachioflow/entry/planning.hpp"

#include <memory>

#include <catch2/catch.hpp>

#include "pistachioflow/sched/job_table_test_support.hpp"

namespace pistachioflow {

TEST_CASE("a run is stopped on a draining worker if it would not end in time") {
  // Workers may be removed at short notice. Runs still there are lost, and
  // their units wait until the lease has expired.
  struct Row {
    const char *Name;
    /// Time since the notice, which comes 2 s before the worker leaves.
    std::int64_t NoticeMs;
    std::int64_t LeftMs;
    bool Leaves;
  };
  const auto Case =
      GENERATE(Row{"ends in time", 0, 1'500, false},
               Row{"does not end in time", 0, 2'500, true},
               Row{"time has passed", 1'000, 1'500, true},
               Row{"the worker should have left", 2'500, 100, true},
               Row{"lasts", 0, NeverEnds.Ms, true});
  CAPTURE(Case.Name);
  const Instant Notice{10'000};
  const RemainingTime Run{{Case.LeftMs}, true};
  REQUIRE(mustLeave(Notice + Duration{2'000}, Run,
                    Notice + Duration{Case.NoticeMs}) == Case.Leaves);
}

namespace {

/// Returns how many starts a round plans on one worker with room for two tasks,
/// which reports the runs as unwanted.
std::size_t startsBeside(JobTable &Table, std::span<const RunningTask> Unwanted,
                         Instant Now) {
  asio::io_context Io;
  const auto Link = std::make_shared<WorkerLink>(Io, "w0");
  Link->Listed = Link->Synced = true;
  Link->Entry.Service = "svc";
  Link->Entry.Capacity = {8'000, 800, 2};
  Link->UnwantedUse = Table.neededBy(Unwanted);
  const WorkerLinks Workers{{"w0", Link}};
  const DesiredState Desired;
  const DurationModel Durations;
  const PlanningView View{Table, Workers,          Desired,     Durations,
                          Now,   Duration{60'000}, Duration{50}};
  return planRound(View).Starts.size();
}

} // namespace

TEST_CASE("unwanted runs occupy their worker until they have ended") {
  const auto [UnwantedRuns, Starts] = GENERATE(
      table<std::size_t, std::size_t>({{0, 1}, {1, 1}, {2, 0}, {3, 0}}));
  TableFixture Fixture({makeStep(1, false)});
  // Runs of an earlier owner, say: their number is not the current one.
  const std::vector<RunningTask> Unwanted(
      UnwantedRuns, RunningTask{Fixture.task(0, 0), 9, {}, 50, 500});
  REQUIRE(startsBeside(Fixture.Table, Unwanted, Fixture.Now) == Starts);
}

// Guards against starts beyond a worker's capacity (LIMIT) after a take-over:
// runs of jobs that had ended before it counted as nothing while they stopped.
TEST_CASE("runs of a job that ended under an earlier owner occupy their "
          "worker until they have ended") {
  const auto [Phase, UnwantedRuns, Starts] = GENERATE(
      table<JobPhase, std::size_t, std::size_t>({{JobPhase::Cancelled, 1, 1},
                                                 {JobPhase::Cancelled, 2, 0},
                                                 {JobPhase::Failed, 2, 0},
                                                 {JobPhase::Completed, 2, 0}}));
  const std::string EndedId = "00000000000000bb";
  TableFixture Fixture({makeStep(1, false)});
  Fixture.Table.addSubmission(EndedId, makeSubmission({makeStep(2, false)}),
                              Fixture.Now, 1'000);
  Fixture.Table.restorePhase(EndedId, {Phase, 1'500});
  const std::vector<RunningTask> Unwanted(
      UnwantedRuns, RunningTask{EndedId + ".0.0.0", 1, {}, 50, 500});
  REQUIRE(startsBeside(Fixture.Table, Unwanted, Fixture.Now) == Starts);
}

} // namespace pistachioflow
