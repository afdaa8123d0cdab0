#include "pistachioflow/explain/history.hpp"

#include <algorithm>
#include <set>

#include "pistachioflow/codec/reason_table.hpp"
#include "pistachioflow/explain/cell_texts.hpp"
#include "pistachioflow/explain/sentence.hpp"

namespace pistachioflow::explain {

std::string historyText(std::span<const TimelineEvent> Events) {
  const std::string Lines =
      timelineText(mergeTimeline({Events.begin(), Events.end()}));
  if (Lines.empty())
    return "No record of it is kept any more.\n";
  return "What happened:\n" + Lines;
}

std::string changesText(std::span<const TimelineEvent> Events) {
  std::string Text;
  std::set<ReasonCode> Told;
  for (auto Event = Events.rbegin(); Event != Events.rend(); ++Event) {
    const std::string Change = changeSentence(Event->Why);
    if (Change.empty() || !Told.insert(Event->Why.Code).second)
      continue;
    Text +=
        "  " + std::string(toString(Event->Why.Code)) + ": " + Change + "\n";
  }
  return Text.empty() ? Text : "What an operator can change:\n" + Text;
}

Result<std::string> explainFromEvents(std::span<const TimelineEvent> Events,
                                      SubjectKind Kind,
                                      const std::string &Subject) {
  const std::vector<TimelineEvent> Chosen = selectEvents(Events, Kind, Subject);
  if (Chosen.empty())
    return Error{ErrorCode::NotFound, "no record of " + Subject, {}};
  return historyText(Chosen) + changesText(Chosen);
}

} // namespace pistachioflow::explain
