#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "pistachioflow/explain/page_layout.hpp"
#include "pistachioflow/explain/test_history.hpp"
#include "pistachioflow/explain/timeline_page.hpp"

using namespace pistachioflow;
using namespace pistachioflow::explain;
using explain::test::contains;
using explain::test::RecordedCell;

namespace {

constexpr double Width = 1'000;

TimelineEvent eventAt(std::int64_t WallMs, const std::string &Subject) {
  TimelineEvent Event;
  Event.Wall = {WallMs};
  Event.Instance = {"entry-1"};
  Event.Subject = Subject;
  Event.What = "something";
  return Event;
}

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (auto At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("every event has a mark and a row, and every subject a lane") {
  RecordedCell Cell;
  Cell.run(policy::test::jobOf("job-1", "ratings", 1, 8));
  Cell.submit(policy::test::jobOf("job-2", "strangers", 1, 8));
  const MergedTimeline Merged = mergeTimeline(Cell.Events);
  const std::string Page = timelinePage(Merged, {});
  CHECK(count(Page, "<circle") == Merged.Events.size());
  CHECK(count(Page, "<tr id=") == Merged.Events.size());
  CHECK(contains(Page, ">job job-1</text>"));
  CHECK(contains(Page, ">job job-2</text>"));
  CHECK(contains(Page, "refused_no_plan"));
  CHECK(contains(Page, "Every instance answered"));
}

TEST_CASE("what could not be asked stands at the top of the page") {
  const std::vector<std::string> Missing{"entry-2: timed out"};
  TimelineEvent Late = eventAt(5, "job-1");
  Late.Stream = {"cell/main"};
  Late.At = 40;
  const std::string Page = timelinePage(mergeTimeline({Late}), {Missing, 3});
  CHECK(contains(Page, "Not asked: entry-2: timed out"));
  CHECK(contains(Page, "3 events dropped"));
  CHECK(contains(Page, "cell/main: nothing before offset 40 is shown"));
}

TEST_CASE("names cannot inject markup") {
  const std::string Page =
      timelinePage(mergeTimeline({eventAt(5, "<script>\"&")}), {});
  CHECK_FALSE(contains(Page, "<script>"));
  CHECK(contains(Page, "&lt;script&gt;&quot;&amp;"));
}

TEST_CASE("a long idle stretch is cut short and labelled") {
  const MergedTimeline Merged =
      mergeTimeline({eventAt(0, "a"), eventAt(1'000, "a"),
                     eventAt(3'600'000, "a"), eventAt(3'601'000, "a")});
  const PageLayout Page = layOut(Merged, Width);
  REQUIRE(Page.Breaks.size() == 1);
  CHECK(Page.Breaks.front().Length == Duration{3'599'000});
  REQUIRE(Page.Marks.size() == 4);
  // Half of the axis belongs to each of the busy seconds.
  CHECK(Page.Marks[1].X > Width / 3);
  CHECK(Page.Marks[2].X < 2 * Width / 3);
  CHECK(Page.Marks[3].X == Approx(Width));
}

TEST_CASE("a page of no events says so") {
  CHECK(contains(timelinePage({}, {}), "No events."));
}
