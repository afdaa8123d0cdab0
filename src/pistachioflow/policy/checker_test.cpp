#include <catch2/catch.hpp>

#include "pistachioflow/policy/checker.hpp"
#include "pistachioflow/policy/test_cell.hpp"

using namespace pistachioflow;
using namespace pistachioflow::policy;
using namespace pistachioflow::policy::test;

namespace {

constexpr Instant Now{5'000};

Reason goodReason() {
  return {ReasonCode::PlacedBorrowing,
          {{ListKind::Plans, "ratings", 1}, {ListKind::Limits, "basic", 1}},
          {{Measure::AcceleratorsFree, 8}},
          "wait"};
}

/// A checker of two racks of two workers with three admitted jobs.
Checker readyChecker() {
  Checker Check{Settings{}};
  for (const WorkerInfo &Worker : workersOf({1, 2, 2}))
    Check.observeEvent(WorkerJoined{Worker}, Now);
  Check.observeEvent(ListsChanged{simpleLists()}, Now);
  for (const char *Name : {"a", "b"}) {
    Check.observeEvent(JobSubmitted{jobOf(Name, "ratings", 2, 8)}, Now);
    Check.checkDecision({AdmitJob{{Name}}, goodReason()}, Now);
  }
  Check.observeEvent(JobSubmitted{jobOf("g", "chess", 1, 8)}, Now);
  Check.checkDecision({AdmitJob{{"g"}}, goodReason()}, Now);
  Check.checkDecision({AssignHomes{{{{"chess"},
                                     {1, 8, 8, 8'000, Adjacency::SameWorker},
                                     {{{"d0r1w1"}, 1}}}}},
                       goodReason()},
                      Now);
  return Check;
}

Decision startAt(const std::string &Job, const std::string &First,
                 const std::string &Second) {
  return {StartGang{{Job}, 1, {{{First}, 1}, {{Second}, 1}}, true},
          goodReason()};
}

Decision with(Decision Made, void (*Break)(Reason &)) {
  Break(Made.Why);
  return Made;
}

using Script = std::vector<Decision>;

} // namespace

TEST_CASE("the checker accepts decisions that keep the rules") {
  Checker Check = readyChecker();
  Check.checkDecision(startAt("a", "d0r0w0", "d0r0w1"), Now);
  Check.checkDecision(
      {StartGang{{"g"}, 1, {{{"d0r1w1"}, 1}}, false}, goodReason()}, Now);
  CHECK(formatFindings(Check.violations()).empty());
}

TEST_CASE("the checker finds each broken rule") {
  const Decision Good = startAt("a", "d0r0w0", "d0r0w1");
  const Decision Guaranteed{StartGang{{"g"}, 1, {{{"d0r1w1"}, 1}}, false},
                            goodReason()};
  const auto [Rule, Made] = GENERATE_COPY(table<std::string, Script>({
      {"nothing of a worker is given twice",
       {Good, startAt("b", "d0r0w0", "d0r0w1")}},
      {"a gang runs as near as it asks", {startAt("a", "d0r0w0", "d0r1w0")}},
      {"a gang starts whole",
       {{StartGang{{"a"}, 1, {{{"d0r0w0"}, 1}}, true}, goodReason()}}},
      {"only queued jobs start, once", {Good, Good}},
      {"tasks start on usable workers", {startAt("a", "d0r0w0", "d9r0w0")}},
      {"a guaranteed gang stays in its homes",
       {{StartGang{{"g"}, 1, {{{"d0r0w0"}, 1}}, false}, goodReason()}}},
      {"guaranteed use is never preempted",
       {Guaranteed,
        {StopGang{{"g"}, 1, AfterStop::Requeue, {"a"}}, goodReason()}}},
      {"gangs are preempted for waiting jobs",
       {Good,
        {StopGang{{"a"}, 1, AfterStop::Requeue, {"nobody"}}, goodReason()}}},
      {"only active gangs are stopped",
       {{StopGang{{"a"}, 1, AfterStop::Requeue, {}}, goodReason()}}},
      {"only queued jobs are ended",
       {Good, {EndJob{{"a"}, JobPhase::Failed}, goodReason()}}},
      {"every decision has a code",
       {with(Good, [](Reason &Why) { Why.Code = ReasonCode::None; })}},
      {"every decision has numbers",
       {with(Good, [](Reason &Why) { Why.Numbers.clear(); })}},
      {"every decision names lines of the lists",
       {with(Good, [](Reason &Why) { Why.Entries.clear(); })}},
      {"every decision names what it passed over",
       {with(Good, [](Reason &Why) { Why.PassedOver.clear(); })}},
      {"lines are named at the revision in force",
       {with(Good, [](Reason &Why) { Why.Entries[0].At = 7; })}},
      {"named lines exist",
       {with(Good, [](Reason &Why) { Why.Entries[0].Key = "nobody"; })}},
  }));
  Checker Check = readyChecker();
  for (const Decision &Next : Made)
    Check.checkDecision(Next, Now);
  REQUIRE(!Check.violations().empty());
  CHECK(Check.violations().front().Expected == Rule);
}

TEST_CASE("the checker finds a guarantee that is not taken in time") {
  TestCell Cell({1, 2, 2}, simpleLists());
  JobSpec Spec = jobOf("g", "chess", 1, 8);
  Spec.Shape = simpleLists().Limits.Entries[0].Guarantees[0].Shape;
  observe(Cell.State, JobSubmitted{Spec}, Cell.Now);
  apply(Cell.State, AdmitJob{{"g"}}, Cell.Now);
  Checker Check{Cell.Prefer};
  for (const WorkerInfo &Worker : workersOf({1, 2, 2}))
    Check.observeEvent(WorkerJoined{Worker}, Cell.Now);
  Check.observeEvent(ListsChanged{simpleLists()}, Cell.Now);
  Check.observeEvent(JobSubmitted{Spec}, Cell.Now);
  Check.checkDecision({AssignHomes{Cell.State.Homes}, goodReason()}, Cell.Now);
  Check.checkDecision({AdmitJob{{"g"}}, goodReason()}, Cell.Now);
  Check.checkState(Cell.State, Cell.Now);
  Check.checkState(Cell.State, Cell.Now + Cell.Prefer.ReclaimDeadline);
  CHECK(Check.violations().empty());
  Check.checkState(Cell.State,
                   Cell.Now + Cell.Prefer.ReclaimDeadline + Duration{1});
  REQUIRE(Check.violations().size() == 1);
  CHECK(Check.violations().front().Expected ==
        "a guaranteed shape is taken within the deadline");
}
