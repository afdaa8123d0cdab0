#include "pistachioflow/daemon/explanations.hpp"

#include <utility>

#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/record_events.hpp"
#include "pistachioflow/explain/timeline.hpp"
#include "pistachioflow/explain/what_if.hpp"

namespace pistachioflow {

namespace {

void noteMissing(TimelineView &View, const StreamName &Stream,
                 const Result<void> &Read) {
  if (Read.has_error())
    View.Missing.push_back("stream " + Stream.Value + ": " +
                           Read.error().Message);
}

TimelineView allEvents(Node &Parts) {
  TimelineView View;
  const StreamName Config{"config"};
  noteMissing(View, Config,
              Parts.History.readConfig(*Parts.Config.state(), View.Events));
  for (const CellController *Cell : Parts.Cells.all()) {
    const StreamName Stream{"cell/" + Cell->status().Cell.Value};
    noteMissing(View, Stream, Parts.History.read(Stream, View.Events));
  }
  for (TimelineEvent &Event : Parts.Journal.events())
    View.Events.push_back(std::move(Event));
  View.Dropped = Parts.Journal.dropped() + Parts.History.dropped();
  return View;
}

std::vector<TimelineEvent> inOrder(std::vector<TimelineEvent> Events) {
  std::vector<TimelineEvent> Ordered;
  for (explain::PlacedEvent &Placed :
       explain::mergeTimeline(std::move(Events)).Events)
    Ordered.push_back(std::move(Placed.Event));
  return Ordered;
}

explain::CellView viewOf(const Node &Parts, const CellFold &Fold,
                         std::span<const TimelineEvent> Events) {
  return {Fold.Cell, Parts.preferences(), Fold.Time.Now, Events};
}

Result<std::string> explainInCell(const explain::CellView &View,
                                  SubjectKind Kind,
                                  const std::string &Subject) {
  switch (Kind) {
  case SubjectKind::Job:
    return explain::explainJob(View, {Subject});
  case SubjectKind::Workspace:
    return explain::explainWorkspace(View, {Subject});
  case SubjectKind::Worker:
    return explain::explainWorker(View, {Subject});
  default:
    return explain::explainFromEvents(View.Events, Kind, Subject);
  }
}

} // namespace

TimelineView gatherTimeline(Node &Parts, const TimelineQuery &Query) {
  TimelineView View = allEvents(Parts);
  std::vector<TimelineEvent> Wanted;
  for (TimelineEvent &Event : inOrder(std::move(View.Events))) {
    const bool About =
        Query.AnyKind || explain::concerns(Event, Query.Kind, Query.Subject);
    if (About && Event.Wall >= Query.Since)
      Wanted.push_back(std::move(Event));
  }
  View.Events = std::move(Wanted);
  return View;
}

Result<std::string> explainSubject(Node &Parts, SubjectKind Kind,
                                   const std::string &Subject) {
  TimelineView View = allEvents(Parts);
  const std::vector<TimelineEvent> Events = inOrder(std::move(View.Events));
  Result<std::string> Text =
      Error{ErrorCode::NotFound, "nothing is known of " + Subject, {}};
  for (const CellController *Cell : Parts.Cells.all()) {
    Cell->read([&](const CellFold &Fold) {
      Text = explainInCell(viewOf(Parts, Fold, Events), Kind, Subject);
    });
    if (Text.has_value())
      break;
  }
  if (Text.has_error())
    return Text;
  for (const std::string &Missing : View.Missing)
    Text.value() += "Not asked: " + Missing + ".\n";
  return Text;
}

std::string trialText(Node &Parts, const Lists &Edited) {
  std::string Text;
  for (const CellController *Cell : Parts.Cells.all()) {
    Cell->read([&](const CellFold &Fold) {
      Text +=
          "Cell " + Cell->status().Cell.Value + ": " +
          explain::whatIfText(explain::whatIf(viewOf(Parts, Fold, {}), Edited));
    });
  }
  return Text;
}

} // namespace pistachioflow
