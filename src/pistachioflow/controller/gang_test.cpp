#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/controller/gang.hpp"

using namespace pistachioflow;

namespace {

const GangSettings Times;
using Phases = std::vector<TaskPhase>;
const Phases Nothing;
const WorkerId A{"worker-a"};
const WorkerId B{"worker-b"};

policy::JobState twoWorkerJob(JobPhase Phase) {
  policy::JobState Job;
  Job.Spec.Job = {"job-1"};
  Job.Spec.Shape.Tasks = 4;
  Job.Phase = Phase;
  Job.Try = 1;
  Job.Placements = {{A, 2}, {B, 2}};
  return Job;
}

WorkerReport reportOf(const WorkerId &Worker, const Phases &Shown,
                      std::uint32_t Checkpoints = 0) {
  WorkerReport Report;
  Report.Worker = Worker;
  for (const TaskPhase Phase : Shown)
    Report.Tasks.push_back({{"job-1"}, 1, Phase, 2, 0, 0, Checkpoints});
  return Report;
}

/// Writes calls as "hold worker-a, ask worker-b".
std::string describe(const std::vector<GangCall> &Calls) {
  constexpr const char *Names[] = {"hold",       "start",    "renew",
                                   "checkpoint", "throttle", "stop"};
  std::string Text;
  for (const GangCall &Call : Calls) {
    Text += Text.empty() ? "" : ", ";
    Text += Call.Ask ? "ask" : Names[static_cast<int>(Call.Kind)];
    Text += " " + Call.Worker.Value;
  }
  return Text;
}

void answerAll(GangProgress &Gang, const std::vector<GangCall> &Calls,
               CallOutcome Outcome, Instant Now) {
  for (const GangCall &Call : Calls)
    takeAnswer(Gang, Call, Outcome, Times, Now, Now);
}

GangProgress heldGang() {
  GangProgress Gang =
      beginFreshGang(twoWorkerJob(JobPhase::Starting), Times, {0});
  answerAll(Gang, takeDueCalls(Gang, {0}), CallOutcome::Done, {0});
  return Gang;
}

GangProgress runningGang() {
  GangProgress Gang = heldGang();
  answerAll(Gang, takeDueCalls(Gang, {0}), CallOutcome::Done, {0});
  setGoal(Gang, JobPhase::Running);
  return Gang;
}

template <typename Kind> bool announces(const GangProgress &Gang) {
  const std::optional<Event> Fact = gangEvent(Gang);
  return Fact && std::holds_alternative<Kind>(*Fact);
}

} // namespace

TEST_CASE("a gang starts only once every worker holds its lease") {
  GangProgress Gang =
      beginFreshGang(twoWorkerJob(JobPhase::Starting), Times, {0});
  const auto Holds = takeDueCalls(Gang, {0});
  CHECK(describe(Holds) == "hold worker-a, hold worker-b");
  takeAnswer(Gang, Holds[0], CallOutcome::Done, Times, {0}, {0});
  CHECK(takeDueCalls(Gang, {1}).empty());
  takeAnswer(Gang, Holds[1], CallOutcome::Done, Times, {0}, {1});
  const auto Starts = takeDueCalls(Gang, {1});
  CHECK(describe(Starts) == "start worker-a, start worker-b");
  takeAnswer(Gang, Starts[0], CallOutcome::Done, Times, {1}, {1});
  CHECK_FALSE(gangEvent(Gang));
  takeAnswer(Gang, Starts[1], CallOutcome::Done, Times, {1}, {1});
  CHECK(announces<GangStarted>(Gang));
}

TEST_CASE("the second hold decides what the first lease becomes") {
  const auto [Outcome, Next] = GENERATE(table<CallOutcome, std::string>({
      {CallOutcome::Done, "start worker-a, start worker-b"},
      {CallOutcome::NotReceived, "hold worker-b"},
      {CallOutcome::Lost, "ask worker-b"},
      {CallOutcome::Refused, "stop worker-a"},
      {CallOutcome::Fenced, ""},
  }));
  GangProgress Gang =
      beginFreshGang(twoWorkerJob(JobPhase::Starting), Times, {0});
  const auto Holds = takeDueCalls(Gang, {0});
  takeAnswer(Gang, Holds[0], CallOutcome::Done, Times, {0}, {0});
  takeAnswer(Gang, Holds[1], Outcome, Times, {0}, {0});
  const Instant Later = Instant{0} + Times.RetryAfter;
  CHECK(describe(takeDueCalls(Gang, Later)) == Next);
}

TEST_CASE("a refused gang is announced once every lease is released") {
  GangProgress Gang =
      beginFreshGang(twoWorkerJob(JobPhase::Starting), Times, {0});
  const auto Holds = takeDueCalls(Gang, {0});
  takeAnswer(Gang, Holds[0], CallOutcome::Done, Times, {0}, {0});
  takeAnswer(Gang, Holds[1], CallOutcome::Refused, Times, {0}, {0});
  CHECK_FALSE(gangEvent(Gang));
  answerAll(Gang, takeDueCalls(Gang, {0}), CallOutcome::Done, {0});
  REQUIRE(announces<GangRefused>(Gang));
  CHECK(std::get<GangRefused>(*gangEvent(Gang)).Worker == B);
}

TEST_CASE("a start without an answer is asked about, never repeated blindly") {
  const auto [Shown, Next] = GENERATE(table<Phases, std::string>({
      {{TaskPhase::Running}, ""},
      {{TaskPhase::Finished}, ""},
      {{TaskPhase::Held}, "start worker-b"},
      {Nothing, "stop worker-a"},
  }));
  GangProgress Gang = heldGang();
  const auto Starts = takeDueCalls(Gang, {0});
  takeAnswer(Gang, Starts[0], CallOutcome::Done, Times, {0}, {0});
  takeAnswer(Gang, Starts[1], CallOutcome::Lost, Times, {0}, {0});
  const Instant Later = Instant{0} + Times.RetryAfter;
  CHECK(describe(takeDueCalls(Gang, Later)) == "ask worker-b");
  takeReport(Gang, reportOf(B, Shown));
  expireMembers(Gang, Later);
  CHECK(describe(takeDueCalls(Gang, Later)) == Next);
}

TEST_CASE("a start that does not complete in time is given up as a whole") {
  GangProgress Gang = heldGang();
  const auto Starts = takeDueCalls(Gang, {0});
  takeAnswer(Gang, Starts[0], CallOutcome::Done, Times, {0}, {0});
  takeAnswer(Gang, Starts[1], CallOutcome::NotReceived, Times, {0}, {0});
  const Instant Late = Instant{0} + Times.StartTimeout;
  expireMembers(Gang, Late);
  CHECK(describe(takeDueCalls(Gang, Late)) == "stop worker-a, stop worker-b");
}

TEST_CASE("what a running gang's member reports decides for all") {
  const auto [Shown, Next, Failed] = GENERATE(table<Phases, std::string, bool>({
      {{TaskPhase::Running}, "", false},
      {{TaskPhase::Finished}, "", false},
      {{TaskPhase::Failed}, "stop worker-a, stop worker-b", true},
      {{TaskPhase::Held}, "stop worker-a, stop worker-b", true},
      {Nothing, "stop worker-a", true},
  }));
  GangProgress Gang = runningGang();
  takeReport(Gang, reportOf(B, Shown));
  expireMembers(Gang, {1});
  const auto Calls = takeDueCalls(Gang, {1});
  CHECK(describe(Calls) == Next);
  CHECK_FALSE(gangEvent(Gang));
  answerAll(Gang, Calls, CallOutcome::Done, {1});
  CHECK(announces<GangFailed>(Gang) == Failed);
}

TEST_CASE("a gang has finished when all its members have") {
  GangProgress Gang = runningGang();
  takeReport(Gang, reportOf(A, {TaskPhase::Finished}));
  CHECK_FALSE(gangEvent(Gang));
  takeReport(Gang, reportOf(B, {TaskPhase::Finished}));
  CHECK(announces<GangFinished>(Gang));
}

TEST_CASE("leases of a running gang are renewed before they end") {
  GangProgress Gang = runningGang();
  const Instant Due = Instant{0} + Times.RenewEvery;
  CHECK(takeDueCalls(Gang, Due - Duration{1}).empty());
  CHECK(describe(takeDueCalls(Gang, Due)) == "renew worker-a, renew worker-b");
}

TEST_CASE("accelerators of a silent worker are freed after its lease only") {
  GangProgress Gang = runningGang();
  const Instant Ends = Instant{0} + Times.TaskLease + Times.LeaseMargin;
  setGoal(Gang, JobPhase::Stopping);
  const auto Stops = takeDueCalls(Gang, {0});
  CHECK(describe(Stops) == "stop worker-a, stop worker-b");
  takeAnswer(Gang, Stops[0], CallOutcome::Done, Times, {0}, {0});
  takeAnswer(Gang, Stops[1], CallOutcome::NotReceived, Times, {0}, {0});
  expireMembers(Gang, Ends - Duration{1});
  CHECK_FALSE(gangEvent(Gang));
  expireMembers(Gang, Ends);
  CHECK(announces<GangStopped>(Gang));
}

TEST_CASE("a gang of an earlier owner is asked for before anything else") {
  const auto [Phase, OnA, OnB, Next] =
      GENERATE(table<JobPhase, Phases, Phases, std::string>({
          {JobPhase::Starting, Nothing, Nothing, ""},
          {JobPhase::Starting, {TaskPhase::Held}, Nothing, "stop worker-a"},
          {JobPhase::Starting,
           {TaskPhase::Held},
           {TaskPhase::Held},
           "start worker-a, start worker-b"},
          {JobPhase::Starting,
           {TaskPhase::Running},
           {TaskPhase::Held},
           "renew worker-a, start worker-b"},
          {JobPhase::Starting, {TaskPhase::Running}, Nothing, "stop worker-a"},
          {JobPhase::Running,
           {TaskPhase::Running},
           {TaskPhase::Running},
           "renew worker-a, renew worker-b"},
          {JobPhase::Running, {TaskPhase::Running}, Nothing, "stop worker-a"},
          {JobPhase::Stopping, Nothing, {TaskPhase::Running}, "stop worker-b"},
      }));
  GangProgress Gang = resumeGang(twoWorkerJob(Phase), Times, {0});
  const bool Stops = Phase == JobPhase::Stopping;
  CHECK(
      describe(takeDueCalls(Gang, {0})) ==
      (Stops ? "stop worker-a, stop worker-b" : "ask worker-a, ask worker-b"));
  if (Stops) {
    for (const WorkerId &Worker : {A, B})
      takeAnswer(Gang, {Worker, false, OrderKind::Stop, 2},
                 CallOutcome::NotReceived, Times, {0}, {0});
  }
  takeReport(Gang, reportOf(A, OnA));
  takeReport(Gang, reportOf(B, OnB));
  const Instant Later = Instant{0} + Times.RetryAfter;
  expireMembers(Gang, Later);
  CHECK(describe(takeDueCalls(Gang, Later)) == Next);
}

TEST_CASE("a checkpoint is announced when every member has written a new one") {
  GangProgress Gang = runningGang();
  takeReport(Gang, reportOf(A, {TaskPhase::Running}, 3));
  setCheckpointWanted(Gang, true);
  const auto Calls = takeDueCalls(Gang, {0});
  CHECK(describe(Calls) == "checkpoint worker-a, checkpoint worker-b");
  answerAll(Gang, Calls, CallOutcome::Done, {0});
  takeReport(Gang, reportOf(B, {TaskPhase::Running}, 1));
  takeReport(Gang, reportOf(A, {TaskPhase::Running}, 3));
  CHECK_FALSE(gangEvent(Gang));
  takeReport(Gang, reportOf(A, {TaskPhase::Running}, 4));
  CHECK(announces<CheckpointTaken>(Gang));
}

TEST_CASE("a report that was on its way behind an order is ignored") {
  GangProgress Gang = heldGang();
  const auto Starts = takeDueCalls(Gang, {0});
  takeReport(Gang, reportOf(A, Nothing));
  answerAll(Gang, Starts, CallOutcome::Done, {0});
  CHECK(announces<GangStarted>(Gang));
}

TEST_CASE("an owner that a worker fenced sends nothing more") {
  GangProgress Gang = runningGang();
  const Instant Due = Instant{0} + Times.RenewEvery;
  const auto Renewals = takeDueCalls(Gang, Due);
  takeAnswer(Gang, Renewals[0], CallOutcome::Fenced, Times, Due, Due);
  takeAnswer(Gang, Renewals[1], CallOutcome::Done, Times, Due, Due);
  CHECK(takeDueCalls(Gang, Due + Times.RenewEvery).empty());
  CHECK(takeDueRenewals(Gang, Due + Times.RenewEvery).empty());
}
