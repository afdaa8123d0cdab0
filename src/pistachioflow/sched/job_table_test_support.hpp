#pragma once

#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/sched/job_table.hpp"

namespace pistachioflow {

inline const std::string JobId = "00000000000000aa";

inline SubmissionRecord makeSubmission(std::vector<StepSpec> Steps,
                                       std::int64_t Attempts = 2) {
  SubmissionRecord Submission;
  Submission.Queue = "queue";
  Submission.Workspace = "team";
  Submission.AcceptedWallMs = 1'000;
  Submission.Terms.Service = "svc";
  Submission.Terms.MaxAttempts = Attempts;
  Submission.Job.Steps = std::move(Steps);
  return Submission;
}

inline StepSpec makeStep(std::int64_t Tasks, bool Gang) {
  StepSpec Step;
  Step.TaskCount = Tasks;
  Step.Gang = Gang;
  Step.TaskResources = {1'000, 100, 1};
  return Step;
}

/// A job table with one job.
struct TableFixture {
  JobTable Table;
  Instant Now{10'000};

  explicit TableFixture(std::vector<StepSpec> Steps,
                        std::int64_t Attempts = 2) {
    this->Table.addSubmission(JobId, makeSubmission(std::move(Steps), Attempts),
                              this->Now, 1'000);
    this->Table.unlockDueSteps(this->Now, 1'000);
  }

  /// Places every waiting unit, each member on its own worker, and confirms the
  /// starts.
  std::size_t startAll() {
    this->Table.unlockDueSteps(this->Now, 1'000);
    const std::vector<Unit *> Units =
        this->Table.placeable(this->Now + Duration{1'000});
    std::size_t Worker = 0;
    for (Unit *Unit : Units) {
      std::vector<PlaceRecord> Places;
      for (std::int64_t Task = 0; Task < Unit->TaskCount; ++Task)
        Places.push_back({"w" + std::to_string(Worker++), 1});
      this->Table.place(*Unit, Places, this->Now);
      for (std::size_t Index = 0; Index < Unit->Members.size(); ++Index) {
        this->Table.markSent({Unit, Index}, Unit->Run, this->Now);
        this->Table.confirm(Unit->taskName(Index), Unit->Run, this->Now);
      }
    }
    return Units.size();
  }

  void report(const std::string &Worker, std::vector<RunningTask> Running,
              std::vector<EndedRun> Ended) {
    this->Now = this->Now + Duration{10};
    WorkerReport Report;
    Report.IncarnationStartMs = 1;
    Report.Running = std::move(Running);
    Report.Ended = std::move(Ended);
    this->Table.applyReport(Worker, Report, this->Now, this->Now, 2'000);
  }

  void end(const std::string &Worker, const std::string &Task, std::int64_t Run,
           RunOutcome Outcome) {
    this->report(Worker, {}, {{1, Task, Run, Outcome, {}}});
  }

  JobPhase phase() { return this->Table.find(JobId)->Phase; }
  std::string task(int Step, int Index) const {
    return JobId + ".0." + std::to_string(Step) + "." + std::to_string(Index);
  }
};

} // namespace pistachioflow
