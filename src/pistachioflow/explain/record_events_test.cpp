#include <catch2/catch.hpp>

#include "pistachioflow/explain/record_events.hpp"
#include "pistachioflow/explain/sentence.hpp"
#include "pistachioflow/explain/test_history.hpp"

using namespace pistachioflow;
using namespace pistachioflow::explain;
using pistachioflow::explain::test::contains;

namespace {

const StreamName Stream{"cell/main"};
const GangShape OneTask{1, 8, 8, 0, Adjacency::SameWorker};
const JobId Job{"job-1"};
const WorkerId Worker{"worker-1"};
const Reason Why{ReasonCode::PlacedBorrowing,
                 {{ListKind::Plans, "chess", 3}, {ListKind::Limits, "gold", 4}},
                 {{Measure::AcceleratorsFree, 12}, {Measure::WaitedMs, 3'500}},
                 "worker-2"};

Record recordOf(Payload What) {
  return {{RecordVersion, {"id-1"}, {"entry-1"}, 7, {1'000}}, std::move(What)};
}

Payload decided(Action What) { return DecisionsMade{{}, {{What, Why}}}; }

Payload observed(Event Fact) { return FactsObserved{{std::move(Fact)}}; }

Payload keyed(std::variant<RequestBegun, RequestEnded> Key) {
  return KeysAppended{{{std::move(Key)}}};
}

struct Expected {
  Payload What;
  SubjectKind Kind;
  std::string Subject;
  std::string Words;
};

} // namespace

TEST_CASE("every payload, fact and action becomes an event with its subject") {
  const auto [What, Kind, Subject, Words] = GENERATE(values<Expected>({
      {PlansEdited{2, {{{"chess"}, {"gold"}}}, "op"}, SubjectKind::List,
       "plans", "edited by op, based on revision 2: 1 entry"},
      {LimitsEdited{0, {}, ""}, SubjectKind::List, "limits",
       "edited by an operator, based on revision 0: 0 entries"},
      {CellsMapped{{{{"d-1"}, {"main"}}}}, SubjectKind::Cell, "failure domains",
       "d-1 by main"},
      {OwnerClaimed{{"entry-1"}}, SubjectKind::Cell, "cell/main",
       "claimed by entry-1"},
      {OwnerRenewed{3}, SubjectKind::Cell, "cell/main", "renewed"},
      {OwnerReleased{{"entry-2"}}, SubjectKind::Cell, "cell/main",
       "released by entry-1 to entry-2"},
      {SnapshotTaken{9, {}}, SubjectKind::Cell, "cell/main", "offset 9"},
      {observed(ListsChanged{{{3, {}}, {4, {}}}}), SubjectKind::List,
       "plans and limits", "plans at revision 3, limits at revision 4"},
      {observed(WorkerJoined{{Worker, {"r"}, 0, {"d"}, 8, 8, 8}}),
       SubjectKind::Worker, "worker-1", "joined in r of d with 8 accelerators"},
      {observed(WorkerLost{Worker}), SubjectKind::Worker, "worker-1", "lost"},
      {observed(JobSubmitted{{Job, {"chess"}, OneTask, {90'000}, true, false}}),
       SubjectKind::Job, "job-1",
       "submitted by workspace chess: 1 task of 8 accelerators, on one worker, "
       "declared 1 min 30 s, urgent"},
      {observed(JobCancelled{Job}), SubjectKind::Job, "job-1", "cancellation"},
      {observed(GangStarted{Job, 2}), SubjectKind::Job, "job-1",
       "started on all its workers (attempt 2)"},
      {observed(GangRefused{Job, 1, Worker}), SubjectKind::Job, "job-1",
       "refused by worker-1"},
      {observed(GangFinished{Job, 1}), SubjectKind::Job, "job-1", "finished"},
      {observed(GangFailed{Job, 1, Worker}), SubjectKind::Job, "job-1",
       "failed on worker-1"},
      {observed(GangStopped{Job, 1}), SubjectKind::Job, "job-1", "has left"},
      {observed(CheckpointTaken{Job, 1}), SubjectKind::Job, "job-1",
       "checkpoint"},
      {observed(UsageReported{Job, 1, Worker, 4, 100}), SubjectKind::Job,
       "job-1", "uses 4 cores and 100 MB on worker-1"},
      {decided(AdmitJob{Job}), SubjectKind::Job, "job-1", "admit"},
      {decided(RefuseJob{Job}), SubjectKind::Job, "job-1", "refuse"},
      {decided(StartGang{Job, 2, {{Worker, 8}}, true}), SubjectKind::Job,
       "job-1", "start on worker-1 (8 tasks), borrowing (attempt 2)"},
      {decided(CheckpointGang{Job, 1, {5}, {"job-2"}}), SubjectKind::Job,
       "job-1", "checkpoint before a stop to make room for job job-2"},
      {decided(StopGang{Job, 1, AfterStop::Requeue, {"job-2"}}),
       SubjectKind::Job, "job-1", "job job-2 and queue it again"},
      {decided(ThrottleGang{Job, 1, Worker, 4}), SubjectKind::Job, "job-1",
       "throttle to 4 cores on worker-1"},
      {decided(EndJob{Job, JobPhase::Cancelled}), SubjectKind::Job, "job-1",
       "end as cancelled"},
      {decided(ReserveCapacity{Job, {{Worker, 1}}, {9}}), SubjectKind::Job,
       "job-1", "reserve worker-1 (1 task)"},
      {decided(ReserveCapacity{Job, {}, {9}}), SubjectKind::Job, "job-1",
       "end its reservation"},
      {decided(QuarantineWorker{Worker, {60'000}}), SubjectKind::Worker,
       "worker-1", "quarantine until 1970-01-01 00:01:00.000"},
      {decided(ReleaseWorker{Worker}), SubjectKind::Worker, "worker-1",
       "probation"},
      {decided(AssignHomes{{{{"chess"}, OneTask, {{Worker, 1}}}}}),
       SubjectKind::Cell, "guarantees", "hold chess on worker-1 (1 task)"},
      {decided(ReportGuaranteeAtRisk{{"chess"}, OneTask}),
       SubjectKind::Workspace, "chess", "no workers are left"},
      {keyed(RequestBegun{{"chess"}, "round-1", {"r-1"}}), SubjectKind::Request,
       "r-1", "begun under key \"round-1\" of workspace chess"},
      {keyed(RequestEnded{{"chess"}, "round-1", {"r-1"}, {}}),
       SubjectKind::Request, "r-1", "ended as not_run"},
  }));
  const auto Events = eventsOf(recordOf(What), Stream, 12);
  REQUIRE(Events.size() == 1);
  const TimelineEvent &Event = Events.front();
  INFO(Event.What);
  CHECK(Event.Kind == Kind);
  CHECK(Event.Subject == Subject);
  CHECK(contains(Event.What, Words));
  CHECK(Event.At == 12);
  CHECK(Event.OwnerEpoch == 7);
  CHECK(Event.Wall == Instant{1'000});
  CHECK(Event.Instance.Value == "entry-1");
}

TEST_CASE("a sentence names the entries, their revisions and the numbers") {
  const auto Events = eventsOf(
      recordOf(decided(StartGang{Job, 1, {{Worker, 8}}, true})), Stream, 0);
  const std::string Text = sentence(Events.front());
  CHECK(Text ==
        "Job job-1: start on worker-1 (8 tasks), borrowing (attempt 1). The "
        "job runs above its workspace's guarantee on free accelerators, and "
        "can be preempted. Because of \"chess\" in plans at revision 3, "
        "\"gold\" in limits at revision 4. Numbers: accelerators free 12, "
        "waited 3.5 s. Passed over: worker-2.");
  CHECK(concerns(Events.front(), SubjectKind::Workspace, "chess"));
  CHECK(concerns(Events.front(), SubjectKind::Worker, "worker-1"));
  CHECK_FALSE(concerns(Events.front(), SubjectKind::Worker, "worker-2"));
}

TEST_CASE("a void record is told as void, with the code of its refusal") {
  const auto [What, Code] = GENERATE(table<Payload, ReasonCode>({
      {PlansEdited{2, {}, "op"}, ReasonCode::EditRefusedStale},
      {LimitsEdited{2, {}, "op"}, ReasonCode::EditRefusedStale},
      {OwnerClaimed{{"entry-1"}}, ReasonCode::ClaimVoid},
  }));
  const auto Void = eventsOf(recordOf(What), Stream, 0, {true, {}});
  CHECK(Void.front().Why.Code == Code);
  CHECK(Void.front().What.starts_with("(void) "));
  const auto Valid = eventsOf(recordOf(What), Stream, 0);
  CHECK(Valid.front().Why.Code != Code);
}

TEST_CASE("nothing is told of the mere passing of time") {
  CHECK(eventsOf(recordOf(observed(TimePassed{})), Stream, 0).empty());
}

TEST_CASE("only the decisions that the fold dropped are told as void") {
  const Payload Two =
      DecisionsMade{{}, {{AdmitJob{Job}, Why}, {RefuseJob{{"job-2"}}, Why}}};
  const auto Events = eventsOf(recordOf(Two), Stream, 0, {false, {1}});
  REQUIRE(Events.size() == 2);
  CHECK(Events[0].What == "admit to the queue");
  CHECK(Events[1].What == "(void) refuse");
}
