#include "pistachioflow/explain/timeline.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "pistachioflow/explain/record_events.hpp"
#include "pistachioflow/explain/sentence.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

/// A stream, or the memory of one instance.
using Source = std::pair<std::string, std::string>;

Source sourceOf(const TimelineEvent &Event) {
  if (Event.Stream.empty())
    return {"", Event.Instance.Value};
  return {Event.Stream.Value, ""};
}

/// Tells two copies of one event, as two instances return them.
using Identity =
    std::tuple<std::string, std::uint64_t, std::string, std::int64_t,
               SubjectKind, std::string, std::string>;

Identity identityOf(const TimelineEvent &Event) {
  return {Event.Stream.Value, Event.At,   Event.Instance.Value,
          Event.Wall.Ms,      Event.Kind, Event.Subject,
          Event.What};
}

void dropCopies(std::vector<TimelineEvent> &Events) {
  std::set<Identity> Seen;
  std::erase_if(Events, [&Seen](const TimelineEvent &Event) {
    return !Seen.insert(identityOf(Event)).second;
  });
}

using Sequences = std::map<Source, std::vector<PlacedEvent>>;

Sequences splitBySource(std::vector<TimelineEvent> Events) {
  Sequences Split;
  for (TimelineEvent &Event : Events) {
    const Instant Wall = Event.Wall;
    std::vector<PlacedEvent> &Sequence = Split[sourceOf(Event)];
    Sequence.push_back({std::move(Event), Wall, false});
  }
  for (auto &[From, Sequence] : Split)
    std::stable_sort(Sequence.begin(), Sequence.end(),
                     [](const PlacedEvent &Left, const PlacedEvent &Right) {
                       return Left.Event.At < Right.Event.At;
                     });
  return Split;
}

/// Lets no event stand before an earlier one of its source, and returns how far
/// the authors' clocks contradicted the order at most.
Duration liftToOrder(std::vector<PlacedEvent> &Sequence) {
  Duration Worst;
  Instant Latest;
  for (PlacedEvent &Item : Sequence) {
    Worst = std::max(Worst, Latest - Item.Event.Wall);
    Latest = std::max(Latest, Item.Event.Wall);
    Item.NotBefore = Latest;
  }
  return Worst;
}

void markUncertain(std::vector<PlacedEvent> &Events, Duration Difference) {
  for (std::size_t Index = 1; Index < Events.size(); ++Index) {
    PlacedEvent &Before = Events[Index - 1];
    PlacedEvent &After = Events[Index];
    if (sourceOf(Before.Event) == sourceOf(After.Event) ||
        Before.Event.Instance == After.Event.Instance)
      continue;
    if (After.NotBefore - Before.NotBefore > Difference)
      continue;
    Before.OrderUncertain = true;
    After.OrderUncertain = true;
  }
}

/// Returns the jobs and requests of a workspace.
std::set<SubjectRef, bool (*)(const SubjectRef &, const SubjectRef &)>
partsOf(std::span<const TimelineEvent> Events, const std::string &Workspace) {
  std::set<SubjectRef, bool (*)(const SubjectRef &, const SubjectRef &)> Parts(
      [](const SubjectRef &Left, const SubjectRef &Right) {
        return std::tie(Left.Kind, Left.Name) <
               std::tie(Right.Kind, Right.Name);
      });
  for (const TimelineEvent &Event : Events) {
    const bool HasOwner =
        Event.Kind == SubjectKind::Job || Event.Kind == SubjectKind::Request;
    if (HasOwner && concerns(Event, SubjectKind::Workspace, Workspace))
      Parts.insert({Event.Kind, Event.Subject});
  }
  return Parts;
}

} // namespace

MergedTimeline mergeTimeline(std::vector<TimelineEvent> Events) {
  dropCopies(Events);
  Sequences Split = splitBySource(std::move(Events));
  MergedTimeline Merged;
  for (auto &[From, Sequence] : Split) {
    Merged.ClockDifference =
        std::max(Merged.ClockDifference, liftToOrder(Sequence));
    std::move(Sequence.begin(), Sequence.end(),
              std::back_inserter(Merged.Events));
  }
  std::stable_sort(Merged.Events.begin(), Merged.Events.end(),
                   [](const PlacedEvent &Left, const PlacedEvent &Right) {
                     return Left.NotBefore < Right.NotBefore;
                   });
  markUncertain(Merged.Events, Merged.ClockDifference);
  return Merged;
}

std::vector<TimelineEvent> selectEvents(std::span<const TimelineEvent> Events,
                                        SubjectKind Kind,
                                        const std::string &Subject) {
  const bool Whole = Kind == SubjectKind::Workspace;
  const auto Parts = partsOf(Whole ? Events : Events.first(0), Subject);
  std::vector<TimelineEvent> Chosen;
  for (const TimelineEvent &Event : Events) {
    if (concerns(Event, Kind, Subject) ||
        Parts.contains({Event.Kind, Event.Subject}))
      Chosen.push_back(Event);
  }
  return Chosen;
}

std::string timelineText(const MergedTimeline &Merged) {
  std::string Text;
  for (const PlacedEvent &Item : Merged.Events) {
    if (isRoutine(Item.Event))
      continue;
    Text += originText(Item.Event) + (Item.OrderUncertain ? " ~ " : "   ") +
            sentence(Item.Event) + "\n";
  }
  if (Merged.ClockDifference > Duration{})
    Text += "Clocks differ by at least " + spanText(Merged.ClockDifference) +
            "; the order of events marked ~ is uncertain.\n";
  return Text;
}

} // namespace pistachioflow::explain
