#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/test_history.hpp"
#include "pistachioflow/explain/waiting.hpp"
#include "pistachioflow/explain/what_if.hpp"

using namespace pistachioflow;
using namespace pistachioflow::explain;
using explain::test::contains;
using explain::test::RecordedCell;
using policy::test::jobOf;

TEST_CASE("a running job is explained by the entries that placed it") {
  RecordedCell Cell;
  Cell.run(jobOf("job-1", "ratings", 2, 4));
  const std::string Text = explainJob(Cell.view(), {"job-1"}).value();
  INFO(Text);
  CHECK(contains(Text, "Job job-1 of workspace ratings is running on "));
  CHECK(contains(Text, "\"ratings\" in plans at revision 1"));
  CHECK(contains(Text, "\"basic\" in limits at revision 1"));
  CHECK(contains(Text, "admit to the queue"));
  CHECK(contains(Text, "started on all its workers (attempt 1)"));
}

TEST_CASE("a refused job is explained with what would have to change") {
  const auto [Spec, Words] = GENERATE(table<JobSpec, std::string>({
      {jobOf("job-1", "strangers", 1, 8), "plans: add an entry"},
      {jobOf("job-1", "chess", 4, 8), "raise ceiling_accelerators"},
      {jobOf("job-1", "ratings", 1, 9), "needs a smaller shape"},
  }));
  RecordedCell Cell;
  Cell.submit(Spec);
  const std::string Text = explainJob(Cell.view(), {"job-1"}).value();
  INFO(Text);
  CHECK(contains(Text, " is refused"));
  CHECK(contains(Text, "What an operator can change:"));
  CHECK(contains(Text, Words));
}

TEST_CASE("a waiting job is told what holds it and when it could start") {
  RecordedCell Cell;
  for (const char *Name : {"job-1", "job-2", "job-3", "job-4"})
    Cell.run(jobOf(Name, "ratings", 1, 8));
  Cell.submit(jobOf("job-5", "ratings", 1, 8));
  REQUIRE(Cell.Cell.job("job-5").Phase == JobPhase::Queued);
  const CellView View = Cell.view();
  const WaitingReport Report = whyWaiting(View, Cell.Cell.job("job-5"));
  REQUIRE_FALSE(Report.HeldBy.empty());
  CHECK(contains(Report.HeldBy.front(), "0 accelerators are free"));
  REQUIRE(Report.Soonest.has_value());
  CHECK(*Report.Soonest == Cell.Cell.job("job-1").StartedAt +
                               Cell.Cell.job("job-1").ExpectedRuntime);
  const std::string Text = explainJob(View, {"job-5"}).value();
  CHECK(contains(Text, "Why it waits:"));
}

TEST_CASE("a job above its ceiling is told which entry holds it") {
  RecordedCell Cell;
  for (const char *Name : {"job-1", "job-2", "job-3"})
    Cell.run(jobOf(Name, "chess", 1, 8));
  Cell.submit(jobOf("job-4", "chess", 1, 8));
  REQUIRE(Cell.Cell.job("job-4").Phase == JobPhase::Queued);
  const std::string Text = explainJob(Cell.view(), {"job-4"}).value();
  INFO(Text);
  CHECK(contains(Text, "uses 24 of the 24 accelerators that plan gold allows"));
  CHECK(contains(Text, "ceiling_accelerators in limits"));
}

TEST_CASE("a workspace is explained by plan, guarantee and use") {
  RecordedCell Cell;
  Cell.run(jobOf("job-1", "chess", 1, 8, Adjacency::SameWorker));
  const std::string Text = explainWorkspace(Cell.view(), {"chess"}).value();
  INFO(Text);
  CHECK(contains(Text, "Workspace chess has plan gold (plans at revision 1)"));
  CHECK(contains(Text, "2 gangs of 1 task of 8 accelerators, on one worker"));
  CHECK(contains(Text, "It uses 8 accelerators"));
  CHECK(contains(Text, "job-1: running"));
}

TEST_CASE("a worker is explained by its place and its tasks") {
  RecordedCell Cell;
  Cell.run(jobOf("job-1", "ratings", 1, 8));
  const WorkerId Worker = Cell.Cell.job("job-1").Placements.front().Worker;
  const std::string Text = explainWorker(Cell.view(), Worker).value();
  INFO(Text);
  CHECK(contains(Text, "It runs job job-1 of workspace ratings"));
  CHECK(contains(Text, "start on " + Worker.Value));
}

TEST_CASE("nothing is told of what nobody knows") {
  RecordedCell Cell;
  const CellView View = Cell.view();
  CHECK(explainJob(View, {"no"}).error().Code == ErrorCode::NotFound);
  CHECK(explainWorkspace(View, {"no"}).error().Code == ErrorCode::NotFound);
  CHECK(explainWorker(View, {"no"}).error().Code == ErrorCode::NotFound);
  CHECK(
      explainFromEvents(View.Events, SubjectKind::Request, "no").error().Code ==
      ErrorCode::NotFound);
}

TEST_CASE("a trial edit tells what it would cause, and changes nothing") {
  RecordedCell Cell;
  for (const char *Name : {"job-1", "job-2", "job-3"})
    Cell.run(jobOf(Name, "chess", 1, 8));
  Cell.submit(jobOf("job-4", "chess", 1, 8));
  Lists Edited = Cell.Cell.State.Configuration;
  Edited.Limits.At = 2;
  Edited.Limits.Entries.front().CeilingAccelerators = 32;
  const CellView View = Cell.view();
  const std::string Raised = whatIfText(whatIf(View, Edited));
  INFO(Raised);
  CHECK(contains(Raised, "Job job-4: start on "));
  CHECK(contains(Raised, "\"gold\" in limits at revision 2"));
  CHECK(Cell.Cell.job("job-4").Phase == JobPhase::Queued);
  CHECK(Cell.Cell.State.Configuration.Limits.At == 1);
  const std::string Same =
      whatIfText(whatIf(View, Cell.Cell.State.Configuration));
  CHECK(contains(Same, "would change nothing"));
}
