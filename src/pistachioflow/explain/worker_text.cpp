#include <algorithm>

#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/history.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

using policy::WorkerState;

std::string healthText(const WorkerState &Worker) {
  if (Worker.Lost)
    return "It is lost: the platform no longer lists it, or it does not "
           "answer.\n";
  if (Worker.Quarantined)
    return "It is quarantined until " + timeText(Worker.QuarantinedUntil) +
           ", since tasks of " +
           counted(Worker.FailedJobs.size(), "different job") +
           " failed on it.\n";
  if (Worker.OnProbation)
    return "It was released from quarantine and is on probation.\n";
  return "It takes new tasks.\n";
}

bool standsOn(const std::vector<Placement> &Places, const WorkerId &Worker) {
  return std::ranges::find(Places, Worker, &Placement::Worker) != Places.end();
}

std::string homesText(const CellView &View, const WorkerId &Worker) {
  std::string Text;
  for (const Home &Given : View.State.Homes) {
    if (standsOn(Given.Placements, Worker))
      Text += "It holds a part of the guarantee of workspace " +
              Given.Workspace.Value + ": " + shapeText(Given.Shape) + ".\n";
  }
  return Text;
}

std::string jobsText(const CellView &View, const WorkerId &Worker) {
  std::string Text;
  for (const auto &[Name, Job] : View.State.Jobs) {
    if (policy::isActive(Job) && standsOn(Job.Placements, Worker))
      Text += "It runs job " + Name.Value + " of workspace " +
              Job.Spec.Workspace.Value +
              (Job.Borrowed ? ", which borrows" : ", within its guarantee") +
              ".\n";
  }
  return Text.empty() ? "It runs nothing.\n" : Text;
}

} // namespace

Result<std::string> explainWorker(const CellView &View,
                                  const WorkerId &Worker) {
  const auto At = View.State.Workers.find(Worker);
  if (At == View.State.Workers.end())
    return explainFromEvents(View.Events, SubjectKind::Worker, Worker.Value);
  const WorkerInfo &Info = At->second.Info;
  const std::vector<TimelineEvent> Events =
      selectEvents(View.Events, SubjectKind::Worker, Worker.Value);
  return "Worker " + Worker.Value + " stands in " + Info.Rack.Value + " of " +
         Info.Domain.Value + " with " +
         counted(Info.Accelerators, "accelerator") + " and " +
         counted(Info.Cores, "core") + ".\n" + healthText(At->second) +
         homesText(View, Worker) + jobsText(View, Worker) +
         historyText(Events) + changesText(Events);
}

} // namespace pistachioflow::explain
