#include "pistachioflow/entry/job_status_table.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

const std::string Id = "0000000000000001";

JournalRecord submission() {
  SubmissionRecord Record;
  Record.Queue = "queue";
  Record.Workspace = "team";
  Record.Job.Steps.resize(1);
  return {submissionKey(Id), encodeRecord(Record)};
}

JournalRecord earlyCancellation(const std::string &Workspace) {
  return {earlyCancellationKey(Id, Workspace),
          encodeRecord(EarlyCancellationRecord{1, "queue", Workspace, false})};
}

JournalRecord dropped(const JournalRecord &Record) { return {Record.Key, {}}; }

std::string phaseIn(const JobStatusTable &Table) {
  const JobStatusTable::Entry *Entry = Table.find(Id);
  return Entry ? std::string(toString(reportedPhase(*Entry))) : "unknown";
}

} // namespace

// Guards against a cancelled job that callers are shown as queued, and a job
// that nobody has submitted and that is shown.
TEST_CASE("a job is shown as cancelled once it and its cancellation are read") {
  struct Row {
    const char *Name;
    std::vector<JournalRecord> Records;
    const char *Phase;
  };
  const JournalRecord Early = earlyCancellation("team");
  const auto Case = GENERATE_REF(
      Row{"never submitted", {Early}, "unknown"},
      Row{"submitted later", {Early, submission()}, "cancelled"},
      Row{"submitted before", {submission(), Early}, "cancelled"},
      Row{"of another workspace",
          {submission(), earlyCancellation("other")},
          "queued"},
      Row{"dropped later", {Early, submission(), dropped(Early)}, "cancelled"},
      Row{"dropped before", {Early, dropped(Early), submission()}, "queued"});
  CAPTURE(Case.Name);
  JobStatusTable Table;
  for (const JournalRecord &Record : Case.Records)
    REQUIRE(Table.apply(Record));
  REQUIRE(phaseIn(Table) == Case.Phase);
}

} // namespace pistachioflow
