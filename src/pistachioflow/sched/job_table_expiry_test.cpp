// Reports of workers about jobs that have ended and were dropped.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "pistachioflow/sched/job_table.hpp"

namespace pistachioflow {

namespace {

const std::string JobId = "00000000000000aa";
constexpr std::int64_t AcceptedWallMs = 1'000;
constexpr std::int64_t EndedWallMs = 2'000;
constexpr Instant Start{10'000};

/// A gang of two tasks that runs on w0 and w1.
struct GangFixture {
  JobTable Table;

  GangFixture() {
    StepSpec Step;
    Step.TaskCount = 2;
    Step.Gang = true;
    Step.TaskResources = {1'000, 100, 1};
    SubmissionRecord Submission;
    Submission.AcceptedWallMs = AcceptedWallMs;
    Submission.Terms.MaxAttempts = 2;
    Submission.Job.Steps = {Step};
    this->Table.addSubmission(JobId, Submission, Start, AcceptedWallMs);
    this->Table.unlockDueSteps(Start, AcceptedWallMs);
    Unit &Gang = *this->Table.placeable(Start).front();
    this->Table.place(Gang, {{{"w0", 1}, {"w1", 1}}}, Start);
    for (std::size_t Index = 0; Index < 2; ++Index) {
      this->Table.markSent({&Gang, Index}, Gang.Run, Start);
      this->Table.confirm(Gang.taskName(Index), Gang.Run, Start);
    }
  }

  /// The first member ends on w0.
  void endFirst(RunOutcome Outcome, Instant Now) {
    WorkerReport Report;
    Report.Ended = {{1, JobId + ".0.0.0", 1, Outcome, {}}};
    this->Table.applyReport("w0", Report, Now, Now, EndedWallMs);
  }

  void losePeer(Instant Now) {
    const Instant EndedBefore = Now;
    const Instant LeaseEnds = Now + Duration{6'000};
    this->Table.workerUnresponsive("w1", EndedBefore, LeaseEnds, Now);
  }

  void regainPeer(Instant Now) {
    this->Table.applyReport("w1", WorkerReport{}, Now, Now, EndedWallMs);
  }
};

} // namespace

TEST_CASE("a worker comes back after the job of its gang was dropped") {
  struct Row {
    const char *Name;
    RunOutcome Outcome;
    bool LostBeforeEnd; ///< The other worker was lost before the job ended.
  };
  const auto Case =
      GENERATE(Row{"completed, then lost", RunOutcome::Done, false},
               Row{"lost, then cancelled", RunOutcome::Failed, true},
               Row{"cancelled, then lost", RunOutcome::Failed, false});
  CAPTURE(Case.Name);
  GangFixture Fixture;
  const Instant Ended = Start + Duration{100};
  const Instant Lost = Ended + Duration{1'000};
  Fixture.endFirst(Case.Outcome, Ended);
  if (Case.LostBeforeEnd)
    Fixture.losePeer(Lost);
  Fixture.Table.addCancellation(JobId, EndedWallMs, Lost);
  if (!Case.LostBeforeEnd)
    Fixture.losePeer(Lost);
  REQUIRE(hasEnded(Fixture.Table.find(JobId)->Phase));
  Fixture.Table.expire(EndedWallMs + 1);
  REQUIRE(Fixture.Table.find(JobId) == nullptr);
  Fixture.Table.takeRecords();
  Fixture.regainPeer(Lost + Duration{90'000});
  REQUIRE_FALSE(Fixture.Table.dirty());
}

// Guards against a daemon that ends with SIGSEGV: a worker that was away for
// minutes is reached again, and a unit that was suspected of its crash has been
// dropped since.
TEST_CASE("a suspect is forgotten with its job, however old the suspicion is") {
  constexpr Duration LongerThanSuspicions{60'000};
  GangFixture Fixture;
  const Instant Lost = Start + Duration{1'000};
  Fixture.Table.workerLost("w1", Lost, "lease_ended");
  // The next loss takes the place of the first suspicion, which has ended.
  const Instant LostAgain = Lost + LongerThanSuspicions;
  Fixture.Table.workerLost("w0", LostAgain, "lease_ended");
  Fixture.Table.addCancellation(JobId, EndedWallMs, LostAgain);
  Fixture.Table.expire(EndedWallMs + 1);
  REQUIRE(Fixture.Table.find(JobId) == nullptr);
  Fixture.Table.takeRecords();
  constexpr std::int64_t NextIncarnation = 2;
  for (const char *Worker : {"w0", "w1"}) {
    WorkerReport Report;
    Report.IncarnationStartMs = NextIncarnation;
    Fixture.Table.applyReport(Worker, Report, LostAgain, LostAgain,
                              EndedWallMs);
  }
  REQUIRE_FALSE(Fixture.Table.dirty());
}

} // namespace pistachioflow
