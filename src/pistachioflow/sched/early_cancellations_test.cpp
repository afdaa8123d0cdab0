#include "pistachioflow/sched/early_cancellations.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "job_table_test_support.hpp"

namespace pistachioflow {

namespace {

constexpr std::int64_t CancelledWallMs = 900;

EarlyCancellationRecord cancellation(const std::string &Queue,
                                     const std::string &Workspace,
                                     bool PublicQueue) {
  return {CancelledWallMs, Queue, Workspace, PublicQueue};
}

std::string nameOf(const std::string &Id, const std::string &Workspace) {
  return Id + "/" + Workspace;
}

} // namespace

// Guards against a workspace that cancels the job of another one by its id,
// before that is submitted.
TEST_CASE("an early cancellation counts for jobs that its caller may cancel") {
  struct Row {
    const char *Name;
    EarlyCancellationRecord Cancellation;
    std::string Queue;
    std::string Workspace;
    bool Allowed;
  };
  const auto Case = GENERATE(
      Row{"own job", cancellation("q", "team", false), "q", "team", true},
      Row{"own job, other queue", cancellation("q", "team", false), "r", "team",
          true},
      Row{"other workspace", cancellation("q", "other", false), "q", "team",
          false},
      Row{"same public queue", cancellation("q", "", true), "q", "team", true},
      Row{"other public queue", cancellation("p", "", true), "q", "team",
          false},
      Row{"job without workspace", cancellation("p", "other", false), "q", "",
          true});
  CAPTURE(Case.Name);
  REQUIRE(mayCancel(Case.Cancellation, Case.Queue, Case.Workspace) ==
          Case.Allowed);
  EarlyCancellations Known;
  Known.ByName[nameOf(JobId, Case.Cancellation.Workspace)] = Case.Cancellation;
  REQUIRE(cancelsJob(Known, JobId, Case.Queue, Case.Workspace) == Case.Allowed);
  REQUIRE_FALSE(
      cancelsJob(Known, "00000000000000ab", Case.Queue, Case.Workspace));
}

// Guards against a job that starts after its cancelling was acknowledged: it
// was stored later than the cancellation.
TEST_CASE("a job that is stored after its cancellation is not started") {
  const bool OfOther = GENERATE(false, true);
  const bool SubmissionFirst = GENERATE(false, true);
  CAPTURE(OfOther, SubmissionFirst);
  const Instant Now{10'000};
  const std::string Workspace = OfOther ? "other" : "team";
  JobTable Table;
  const auto Submit = [&] {
    Table.addSubmission(JobId, makeSubmission({makeStep(1, false)}), Now,
                        1'000);
  };
  if (SubmissionFirst)
    Submit();
  Table.addEarlyCancellation(nameOf(JobId, Workspace),
                             cancellation("queue", Workspace, false), 1'000,
                             Now);
  if (!SubmissionFirst)
    Submit();
  Table.unlockDueSteps(Now, 1'000);
  REQUIRE(Table.placeable(Now).empty() == !OfOther);
  const JobPhase Expected = OfOther ? JobPhase::Queued : JobPhase::Cancelled;
  REQUIRE(Table.find(JobId)->Phase == Expected);
}

TEST_CASE("early cancellations are dropped with their records") {
  JobTable Table;
  Table.addEarlyCancellation(nameOf(JobId, "team"),
                             cancellation("queue", "team", false), 1'000,
                             Instant{10'000});
  Table.expireEarlyCancellations(CancelledWallMs);
  REQUIRE_FALSE(Table.dirty());
  Table.expireEarlyCancellations(CancelledWallMs + 1);
  const std::vector<JournalRecord> Records = Table.takeRecords();
  REQUIRE(Records.size() == 1);
  REQUIRE(Records.front().Key == earlyCancellationKey(JobId, "team"));
  REQUIRE(Records.front().Value.empty());
  Table.addSubmission(JobId, makeSubmission({makeStep(1, false)}),
                      Instant{10'000}, 1'000);
  REQUIRE(Table.find(JobId)->Phase == JobPhase::Queued);
}

TEST_CASE("early cancellations are counted by workspace") {
  EarlyCancellations Known;
  for (const char *Id : {"a", "b"})
    Known.ByName[nameOf(Id, "team")] = cancellation("q", "team", false);
  Known.ByName[nameOf("a", "other")] = cancellation("q", "other", false);
  REQUIRE(countOf(Known, "team") == 2);
  REQUIRE(countOf(Known, "other") == 1);
  REQUIRE(countOf(Known, "none") == 0);
}

} // namespace pistachioflow
