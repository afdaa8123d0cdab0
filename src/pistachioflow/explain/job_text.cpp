#include <algorithm>
#include <vector>

#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/history.hpp"
#include "pistachioflow/explain/sentence.hpp"
#include "pistachioflow/explain/waiting.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

using policy::JobState;

std::string placeText(const JobState &Job) {
  std::string Text = " on " + placesText(Job.Placements);
  Text += Job.Borrowed ? ", borrowing, so it can be preempted"
                       : ", within its guarantee";
  return Text;
}

std::string stateText(const JobState &Job) {
  std::string Text = "Job " + Job.Spec.Job.Value + " of workspace " +
                     Job.Spec.Workspace.Value + " is " +
                     std::string(toString(Job.Phase));
  if (policy::isActive(Job))
    Text += placeText(Job);
  Text += Job.Try > 0 ? " (attempt " + std::to_string(Job.Try) + ").\n" : ".\n";
  Text += "It asks for " + shapeText(Job.Spec.Shape) + ", and declared " +
          spanText(Job.Spec.DeclaredRuntime) + ".\n";
  if (Job.Preemptions > 0)
    Text += "It was preempted " + counted(Job.Preemptions, "time") + ".\n";
  return Text;
}

std::string reclaimText(const JobState &Job) {
  if (Job.Reclaim.For.empty() || !policy::isActive(Job))
    return "";
  return "It is asked to leave for job " + Job.Reclaim.For.Value +
         ", at the latest at " + timeText(Job.Reclaim.Deadline) + ".\n";
}

std::string waitingText(const CellView &View, const JobState &Job) {
  if (Job.Phase != JobPhase::Queued)
    return "";
  const WaitingReport Report = whyWaiting(View, Job);
  std::string Text = "Why it waits:\n";
  for (const std::string &Line : Report.HeldBy)
    Text += "  " + Line + "\n";
  Text += Report.Soonest
              ? "  It could start at " + timeText(*Report.Soonest) +
                    " at the earliest, if running jobs end as expected.\n"
              : "  No end of a running job makes room for it.\n";
  return Text;
}

} // namespace

Result<std::string> explainJob(const CellView &View, const JobId &Job) {
  const std::vector<TimelineEvent> Events =
      selectEvents(View.Events, SubjectKind::Job, Job.Value);
  const auto At = View.State.Jobs.find(Job);
  if (At == View.State.Jobs.end())
    return explainFromEvents(View.Events, SubjectKind::Job, Job.Value);
  std::string Text = stateText(At->second);
  Text += reclaimText(At->second);
  Text += waitingText(View, At->second);
  Text += historyText(Events);
  Text += changesText(Events);
  return Text;
}

} // namespace pistachioflow::explain
