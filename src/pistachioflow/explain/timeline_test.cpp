#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "pistachioflow/explain/test_history.hpp"
#include "pistachioflow/explain/timeline.hpp"

using namespace pistachioflow;
using namespace pistachioflow::explain;
using pistachioflow::explain::test::contains;

namespace {

TimelineEvent eventAt(const std::string &Stream, std::uint64_t At,
                      std::int64_t WallMs, const std::string &Instance,
                      const std::string &What) {
  TimelineEvent Event;
  Event.Stream = {Stream};
  Event.At = At;
  Event.Wall = {WallMs};
  Event.Instance = {Instance};
  Event.Subject = "job-1";
  Event.What = What;
  return Event;
}

std::string orderOf(const MergedTimeline &Merged) {
  std::string Order;
  for (const PlacedEvent &Item : Merged.Events)
    Order += Item.Event.What + (Item.OrderUncertain ? "~" : "") + " ";
  return Order;
}

} // namespace

TEST_CASE("events are ordered by offset first, then by clock") {
  const auto [Events, Order, DifferenceMs] =
      GENERATE(table<std::vector<TimelineEvent>, std::string, std::int64_t>({
          // A clock that runs behind does not break the order of its stream.
          {{eventAt("s", 2, 500, "b", "second"),
            eventAt("s", 1, 900, "a", "first")},
           "first second ",
           400},
          // Streams and memories are merged by clock.
          {{eventAt("s", 1, 100, "a", "x"), eventAt("t", 1, 50, "b", "y"),
            eventAt("", 0, 75, "c", "memory")},
           "y memory x ",
           0},
          // Two instances answer with the same event of one stream.
          {{eventAt("s", 1, 100, "a", "x"), eventAt("s", 1, 100, "a", "x")},
           "x ",
           0},
          // What lies closer than the clocks differ is marked.
          {{eventAt("s", 1, 1'000, "a", "x"), eventAt("s", 2, 900, "b", "y"),
            eventAt("t", 1, 1'050, "c", "near"),
            eventAt("t", 2, 5'000, "c", "far")},
           "x y~ near~ far ",
           100},
          // Events of one memory keep their own order.
          {{eventAt("", 0, 5, "a", "one"), eventAt("", 0, 5, "a", "two")},
           "one two ",
           0},
      }));
  const MergedTimeline Merged = mergeTimeline(Events);
  CHECK(orderOf(Merged) == Order);
  CHECK(Merged.ClockDifference == Duration{DifferenceMs});
}

TEST_CASE("a workspace's time line holds every event of its jobs") {
  explain::test::RecordedCell Cell;
  Cell.run(policy::test::jobOf("job-1", "chess", 1, 8));
  Cell.run(policy::test::jobOf("job-2", "ratings", 1, 8));
  const auto Chosen =
      selectEvents(Cell.Events, SubjectKind::Workspace, "chess");
  bool Started = false;
  for (const TimelineEvent &Event : Chosen) {
    CHECK(Event.Subject != "job-2");
    Started |= contains(Event.What, "started on all its workers");
  }
  CHECK(Started);
}

TEST_CASE("renewals and usage are left out of the text") {
  const Record Renewal{{RecordVersion, {"id"}, {"a"}, 1, {5}}, OwnerRenewed{1}};
  const auto Events = eventsOf(Renewal, {"cell/main"}, 3);
  REQUIRE(Events.size() == 1);
  CHECK(isRoutine(Events.front()));
  CHECK(timelineText(mergeTimeline(Events)).empty());
}
