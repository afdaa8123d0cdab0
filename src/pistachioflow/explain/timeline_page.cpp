#include "pistachioflow/explain/timeline_page.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>

#include "pistachioflow/codec/reason_table.hpp"
#include "pistachioflow/explain/page_layout.hpp"
#include "pistachioflow/explain/sentence.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

constexpr int TitleWidth = 230;
constexpr int DrawWidth = 1'000;
constexpr int RightMargin = 40;
constexpr int LaneHeight = 30;
constexpr int AxisHeight = 34;
constexpr int MarkRadius = 9;
constexpr double MarkSpread = 2.0 * MarkRadius + 1;

struct Group {
  int FirstCode = 0;
  std::string_view Name;
  std::string_view Colour;
};

/// By hundreds of the reason code.
constexpr auto Groups = std::to_array<Group>({
    {0, "report", "#767676"},
    {100, "admission", "#2b6cb0"},
    {200, "placement", "#2f855a"},
    {300, "stop", "#c05621"},
    {400, "worker or guarantee", "#b83280"},
    {500, "list", "#6b46c1"},
    {600, "ownership", "#4a5568"},
    {700, "request", "#0987a0"},
});

const Group &groupOf(ReasonCode Code) {
  constexpr std::size_t CodesInGroup = 100;
  const std::size_t Index = static_cast<std::size_t>(Code) / CodesInGroup;
  return Groups[std::min(Index, Groups.size() - 1)];
}

std::string escaped(std::string_view Text) {
  std::string Safe;
  for (const char Letter : Text) {
    switch (Letter) {
    case '&':
      Safe += "&amp;";
      break;
    case '<':
      Safe += "&lt;";
      break;
    case '>':
      Safe += "&gt;";
      break;
    case '"':
      Safe += "&quot;";
      break;
    default:
      Safe += Letter;
    }
  }
  return Safe;
}

std::string number(double Value) {
  return std::to_string(static_cast<int>(std::lround(Value)));
}

std::string laneMiddle(std::size_t Lane) {
  return std::to_string(AxisHeight + LaneHeight * static_cast<int>(Lane) +
                        LaneHeight / 2);
}

std::string textAt(double X, const std::string &Y, std::string_view Class,
                   std::string_view Text) {
  return "<text x=\"" + number(X) + "\" y=\"" + Y + "\" class=\"" +
         std::string(Class) + "\">" + escaped(Text) + "</text>\n";
}

std::string lineFrom(double X1, const std::string &Y1, double X2,
                     const std::string &Y2, std::string_view Class) {
  return "<line x1=\"" + number(X1) + "\" y1=\"" + Y1 + "\" x2=\"" +
         number(X2) + "\" y2=\"" + Y2 + "\" class=\"" + std::string(Class) +
         "\"/>\n";
}

std::string drawAxis(const PageLayout &Page, const std::string &Bottom) {
  constexpr std::size_t TimeOfDayFrom = 11;
  std::string Svg;
  for (const Tick &Item : Page.Ticks) {
    const double X = TitleWidth + Item.X;
    Svg += lineFrom(X, std::to_string(AxisHeight - 6), X, Bottom, "grid");
    Svg += textAt(X, "16", "tick", timeText(Item.At).substr(TimeOfDayFrom));
  }
  for (const Break &Item : Page.Breaks) {
    const double X = TitleWidth + Item.X;
    Svg += lineFrom(X, "22", X, Bottom, "break");
    Svg += textAt(X, "30", "gap", spanText(Item.Length) + " without events");
  }
  return Svg;
}

std::string drawLanes(const PageLayout &Page) {
  constexpr std::size_t MaxTitle = 32;
  std::string Svg;
  for (std::size_t Lane = 0; Lane < Page.Lanes.size(); ++Lane) {
    std::string Title = Page.Lanes[Lane];
    if (Title.size() > MaxTitle)
      Title = Title.substr(0, MaxTitle - 3) + "...";
    const std::string Y = laneMiddle(Lane);
    Svg += lineFrom(TitleWidth, Y, TitleWidth + DrawWidth, Y, "lane");
    Svg += "<text x=\"" + std::to_string(TitleWidth - 14) + "\" y=\"" + Y +
           "\" class=\"title\">" + escaped(Title) + "</text>\n";
  }
  return Svg;
}

std::string drawMark(const Mark &Item, double X) {
  const TimelineEvent &Event = Item.Item->Event;
  const std::string Colour(groupOf(Event.Why.Code).Colour);
  const std::string Y = laneMiddle(Item.Lane);
  const bool Hollow = Item.Item->OrderUncertain;
  return "<a href=\"#e" + std::to_string(Item.Number) + "\"><title>" +
         escaped(originText(Event) + "\n" + sentence(Event)) +
         "</title><circle cx=\"" + number(X) + "\" cy=\"" + Y + "\" r=\"" +
         std::to_string(MarkRadius) + "\" stroke=\"" + Colour + "\" fill=\"" +
         (Hollow ? "#ffffff" : Colour) + "\"/><text x=\"" + number(X) +
         "\" y=\"" + Y + "\" class=\"mark\" fill=\"" +
         (Hollow ? Colour : "#ffffff") + "\">" + std::to_string(Item.Number) +
         "</text></a>\n";
}

/// Draws the marks; those of one lane never cover each other.
std::string drawMarks(const PageLayout &Page) {
  std::string Svg;
  std::map<std::size_t, double> LastOf;
  for (const Mark &Item : Page.Marks) {
    double X = TitleWidth + Item.X;
    const auto Last = LastOf.find(Item.Lane);
    if (Last != LastOf.end())
      X = std::max(X, Last->second + MarkSpread);
    LastOf[Item.Lane] = X;
    Svg += drawMark(Item, X);
  }
  return Svg;
}

/// Returns the room that marks pushed to the right need beyond the axis.
double overhang(const PageLayout &Page) {
  std::map<std::size_t, double> LastOf;
  double Most = DrawWidth;
  for (const Mark &Item : Page.Marks) {
    const auto [At, IsFirst] = LastOf.try_emplace(Item.Lane, Item.X);
    if (!IsFirst)
      At->second = std::max(Item.X, At->second + MarkSpread);
    Most = std::max(Most, At->second);
  }
  return Most - DrawWidth;
}

std::string picture(const PageLayout &Page) {
  const int Height =
      AxisHeight + LaneHeight * static_cast<int>(Page.Lanes.size()) + 10;
  const std::string Width =
      number(TitleWidth + DrawWidth + RightMargin + overhang(Page));
  const std::string Bottom = std::to_string(Height - 6);
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + Width +
         "\" height=\"" + std::to_string(Height) + "\" viewBox=\"0 0 " + Width +
         " " + std::to_string(Height) + "\">\n" + drawAxis(Page, Bottom) +
         drawLanes(Page) + drawMarks(Page) + "</svg>\n";
}

std::string legend() {
  std::string Html = "<p class=\"legend\">";
  for (const Group &Item : Groups)
    Html += "<span><i style=\"background:" + std::string(Item.Colour) +
            "\"></i>" + std::string(Item.Name) + "</span>";
  return Html + "<span><i class=\"hollow\"></i>order uncertain</span></p>\n";
}

/// A report of what happened has no reason.
std::string_view codeText(ReasonCode Code) {
  return Code == ReasonCode::None ? "" : toString(Code);
}

std::string tableRow(const Mark &Item) {
  const TimelineEvent &Event = Item.Item->Event;
  return "<tr id=\"e" + std::to_string(Item.Number) + "\"><td>" +
         std::to_string(Item.Number) + (Item.Item->OrderUncertain ? " ~" : "") +
         "</td><td>" + escaped(originText(Event)) + "</td><td><code>" +
         escaped(codeText(Event.Why.Code)) + "</code></td><td>" +
         escaped(sentence(Event)) + "</td></tr>\n";
}

std::string table(const PageLayout &Page) {
  std::string Html = "<table><tr><th>#</th><th>when and by whom</th>"
                     "<th>reason</th><th>what</th></tr>\n";
  for (const Mark &Item : Page.Marks)
    Html += tableRow(Item);
  return Html + "</table>\n";
}

/// Streams whose first event does not stand at their beginning.
std::string lateStarts(const MergedTimeline &Merged) {
  std::map<std::string, std::uint64_t> FirstOf;
  for (const PlacedEvent &Item : Merged.Events) {
    if (!Item.Event.Stream.empty())
      FirstOf.try_emplace(Item.Event.Stream.Value, Item.Event.At);
  }
  std::string Html;
  for (const auto &[Stream, First] : FirstOf) {
    if (First > 0)
      Html += "<li>" + escaped(Stream) + ": nothing before offset " +
              std::to_string(First) + " is shown.</li>\n";
  }
  return Html;
}

std::string notes(const MergedTimeline &Merged, const PageNotes &Notes) {
  std::string Html;
  for (const std::string &Item : Notes.Missing)
    Html += "<li class=\"alarm\">Not asked: " + escaped(Item) + "</li>\n";
  if (Notes.Dropped > 0)
    Html += "<li class=\"alarm\">" + counted(Notes.Dropped, "event") +
            " dropped from bounded memory.</li>\n";
  Html += lateStarts(Merged);
  if (Merged.ClockDifference > Duration{})
    Html += "<li>Clocks differ by at least " +
            spanText(Merged.ClockDifference) +
            ": the order of hollow marks is uncertain.</li>\n";
  if (Html.empty())
    Html = "<li>Every instance answered, and no event was dropped.</li>\n";
  return "<ul>" + Html + "</ul>\n";
}

constexpr std::string_view Head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title><style>
body{font:14px/1.45 sans-serif;margin:24px;color:#1a202c;background:#fff}
svg{display:block;font-family:sans-serif}
.picture{overflow-x:auto;border:1px solid #e2e8f0;border-radius:6px;padding:8px}
.grid{stroke:#e2e8f0}.lane{stroke:#cbd5e0}
.break{stroke:#a0aec0;stroke-dasharray:3 4}
.tick,.gap{font-size:11px;fill:#4a5568;text-anchor:middle}
.gap{font-style:italic}
.title{font-size:13px;text-anchor:end;dominant-baseline:central;fill:#1a202c}
.mark{font-size:9px;text-anchor:middle;dominant-baseline:central}
circle{stroke-width:2}
.legend span{margin-right:18px;white-space:nowrap}
.legend i{display:inline-block;width:11px;height:11px;border-radius:50%;
margin-right:6px}
.legend .hollow{border:2px solid #4a5568;width:8px;height:8px}
.alarm{color:#9b2c2c;font-weight:bold}
table{border-collapse:collapse;margin-top:16px}
td,th{border-top:1px solid #e2e8f0;padding:5px 10px;text-align:left;
vertical-align:top}
tr:target{background:#fefcbf}
td:nth-child(2){white-space:nowrap;font-size:12px}
</style></head><body><h1>Time line</h1>
)";

} // namespace

std::string timelinePage(const MergedTimeline &Merged, const PageNotes &Notes) {
  const PageLayout Page = layOut(Merged, DrawWidth);
  if (Page.Marks.empty())
    return std::string(Head) + "<p>No events.</p>\n" + notes(Merged, Notes) +
           "</body></html>\n";
  return std::string(Head) + notes(Merged, Notes) + legend() +
         "<div class=\"picture\">\n" + picture(Page) + "</div>\n" +
         table(Page) + "</body></html>\n";
}

} // namespace pistachioflow::explain
