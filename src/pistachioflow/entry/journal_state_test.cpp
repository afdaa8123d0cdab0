#include "pistachioflow/entry/journal_state.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

const std::string Id = "0000000000000001";
constexpr JournalTimes Times{{1'000'000}, 1'000'000, {1'006'000}};

JournalRecord submission() {
  SubmissionRecord Record;
  Record.Job.Steps.resize(1);
  return {submissionKey(Id), encodeRecord(Record)};
}

JournalRecord cancellation() {
  return {cancellationKey(Id), encodeRecord(CancellationRecord{1})};
}

JournalRecord earlyCancellation() {
  const EarlyCancellationRecord Record{1, "", "", true};
  return {earlyCancellationKey(Id, ""), encodeRecord(Record)};
}

JournalRecord phase(JobPhase Phase) {
  return {phaseKey(Id), encodeRecord(JobPhaseRecord{Phase, 1'000})};
}

std::string phaseIn(JobTable &Table) {
  const Job *Entry = Table.find(Id);
  return Entry ? std::string(toString(Entry->Phase)) : "unknown";
}

} // namespace

// Guards against a cancelled job that runs, and an expired one that runs again.
TEST_CASE("a running owner takes from a reload what callers appended") {
  struct Row {
    const char *Description;
    std::vector<JournalRecord> Known; ///< By the table.
    std::vector<JournalRecord> Reloaded;
    const char *Phase;
  };
  const auto Case =
      GENERATE(Row{"new job", {}, {submission()}, "queued"},
               Row{"new job, cancelled",
                   {},
                   {submission(), cancellation()},
                   "cancelled"},
               Row{"known job, cancelled",
                   {submission()},
                   {submission(), cancellation()},
                   "cancelled"},
               Row{"new job, cancelled before",
                   {},
                   {submission(), earlyCancellation()},
                   "cancelled"},
               Row{"new job, its cancellation known",
                   {earlyCancellation()},
                   {submission(), earlyCancellation()},
                   "cancelled"},
               Row{"known job, its cancellation new",
                   {submission()},
                   {submission(), earlyCancellation()},
                   "cancelled"},
               Row{"completed job, cancelled before it was known",
                   {submission(), phase(JobPhase::Completed)},
                   {submission(), earlyCancellation()},
                   "completed"},
               Row{"ended job, cancelled later",
                   {submission(), phase(JobPhase::Completed)},
                   {submission(), cancellation(), phase(JobPhase::Completed)},
                   "completed"},
               // The record of its end is on its way.
               Row{"known job, older phase",
                   {submission(), phase(JobPhase::Failed)},
                   {submission(), phase(JobPhase::Running)},
                   "failed"},
               // The deletions are on their way.
               Row{"expired job",
                   {},
                   {submission(), phase(JobPhase::Completed)},
                   "unknown"},
               Row{"cancellation alone", {}, {cancellation()}, "unknown"});
  CAPTURE(Case.Description);
  JobTable Table;
  restoreTable(Table, TopicRecords(Case.Known.begin(), Case.Known.end()),
               Times);
  mergeIntoTable(
      Table, TopicRecords(Case.Reloaded.begin(), Case.Reloaded.end()), Times);
  REQUIRE(phaseIn(Table) == Case.Phase);
}

// Guards against a job that starts after its cancelling was acknowledged, under
// an owner that follows the journal or that reads it anew.
TEST_CASE("an owner applies a cancellation that came before its job") {
  JobTable Following;
  REQUIRE(applyToTable(Following, earlyCancellation(), Times));
  REQUIRE(applyToTable(Following, submission(), Times));
  REQUIRE(phaseIn(Following) == "cancelled");
  JobTable Loaded;
  restoreTable(Loaded, {earlyCancellation(), submission()}, Times);
  REQUIRE(phaseIn(Loaded) == "cancelled");
}

} // namespace pistachioflow
