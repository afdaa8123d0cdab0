#include "pistachioflow/entry/pace_learning.hpp"

#include <catch2/catch.hpp>

#include "pistachioflow/sched/job_table_test_support.hpp"

namespace pistachioflow {

// Guards against a change for deployments whose workers are alike, or whose
// queues leave enough time for the slow ones.
TEST_CASE("pace decides where the spread exceeds the least stretch") {
  struct Row {
    PacePlacement Mode;
    double Spread;
    bool Decides;
  };
  const auto Case = GENERATE(Row{PacePlacement::Off, 9.0, false},
                             Row{PacePlacement::On, 1.0, true},
                             Row{PacePlacement::Auto, 1.4, false},
                             Row{PacePlacement::Auto, 1.6, true});
  DesiredState Desired;
  for (const auto &[Service, Stretch] :
       {std::pair{"svc", 3.0}, {"svc", 1.5}, {"other", 1.1}}) {
    QueueConfig Queue;
    Queue.Terms.Service = Service;
    Queue.Terms.Stretch = Stretch;
    Desired.Queues.push_back(Queue);
  }
  REQUIRE(paceDecides(Case.Mode, Desired, "svc", Case.Spread) == Case.Decides);
  REQUIRE(paceDecides(PacePlacement::Auto, Desired, "unknown", 9.0) == false);
}

TEST_CASE("modes of placements by pace have names") {
  REQUIRE(parsePacePlacement("off") == PacePlacement::Off);
  REQUIRE(parsePacePlacement("auto") == PacePlacement::Auto);
  REQUIRE(parsePacePlacement("on") == PacePlacement::On);
  REQUIRE_FALSE(parsePacePlacement("maybe").has_value());
}

namespace {

/// Lets single tasks on three workers report progress after two seconds, each
/// twice as fast as the one before. Returns what is learned of the first one.
double learnedPace(TableFixture &Fixture, WorkerLink &First,
                   std::int64_t ProgressPercent) {
  PaceModel Model;
  asio::io_context Io;
  const Instant Placed = Fixture.Now;
  const Instant Reported = Placed + Duration{2'000};
  std::int64_t Percent = ProgressPercent;
  for (std::int64_t Task = 0; Task < 3; ++Task) {
    const std::string Id = "w" + std::to_string(Task);
    Unit &Entry = *Fixture.Table.unitOf(Fixture.task(0, Task));
    Fixture.Table.place(Entry, std::vector<PlaceRecord>{{Id, 1}}, Placed);
    Fixture.Table.markSent({&Entry, 0}, Entry.Run, Placed);
    Fixture.Table.confirm(Fixture.task(0, Task), Entry.Run, Placed);
    WorkerReport Report;
    Report.IncarnationStartMs = 1;
    Report.Running = {{Fixture.task(0, Task), Entry.Run, "", Percent, 500}};
    Fixture.Table.applyReport(Id, Report, Reported, Reported, 1'000);
    WorkerLink Link(Io, Id);
    Link.IncarnationStartMs = 1;
    learnFromProgress(Model, Fixture.Table, Task == 0 ? First : Link, Reported);
    Percent *= 2;
  }
  return logPace(Model, "w0", 1, Reported);
}

} // namespace

// Guards against paces learned from runs that can't be compared.
TEST_CASE("paces are learned from comparable progress only") {
  struct Row {
    const char *Name;
    std::int64_t Percent;
    double ColdMs;
    const char *Checkpoint; ///< Of the first task, before it starts.
    bool Learned;
  };
  const auto Case = GENERATE(Row{"comparable", 20, 0, "", true},
                             Row{"little progress", 10, 0, "", false},
                             Row{"cold worker", 20, 500, "", false},
                             Row{"resumed", 20, 0, "saved", false});
  CAPTURE(Case.Name);
  TableFixture Fixture({makeStep(3, false)});
  Fixture.Table.unitOf(Fixture.task(0, 0))->Checkpoint = Case.Checkpoint;
  asio::io_context Io;
  WorkerLink First(Io, "w0");
  First.IncarnationStartMs = 1;
  First.Entry.ColdRemainingMs = Case.ColdMs;
  const double Pace = learnedPace(Fixture, First, Case.Percent);
  REQUIRE((Pace < -0.2) == Case.Learned);
}

} // namespace pistachioflow
