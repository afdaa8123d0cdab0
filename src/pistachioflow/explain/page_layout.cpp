#include "pistachioflow/explain/page_layout.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "pistachioflow/codec/enum_names.hpp"
#include "pistachioflow/explain/record_events.hpp"

namespace pistachioflow::explain {

namespace {

constexpr double BreakWidth = 46;
constexpr Duration ShortestBreak{5'000};
constexpr std::int64_t BreakShare = 6; ///< Of the whole span.
constexpr std::size_t WantedTicks = 10;

/// Maps times to places; a break takes a fixed width whatever its length.
class TimeAxis {
public:
  TimeAxis(const std::vector<Instant> &Times, double Width) {
    if (Times.empty())
      return;
    const Duration Span = Times.back() - Times.front();
    const Duration Longest =
        std::max(ShortestBreak, Duration{Span.Ms / BreakShare});
    Duration Idle;
    for (std::size_t Index = 1; Index < Times.size(); ++Index) {
      const Duration Gap = Times[Index] - Times[Index - 1];
      if (Gap <= Longest)
        continue;
      this->Cuts.emplace_back(Times[Index - 1], Times[Index]);
      Idle = Idle + Gap;
    }
    this->Start = Times.front();
    this->End = Times.back();
    const double Drawn =
        static_cast<double>(std::max<std::int64_t>(1, Span.Ms - Idle.Ms));
    const double Room =
        Width - BreakWidth * static_cast<double>(this->Cuts.size());
    this->PerMs = Room / Drawn;
  }

  double at(Instant Time) const {
    double X = 0;
    Instant From = this->Start;
    for (const auto &[Before, After] : this->Cuts) {
      if (Time <= Before)
        break;
      X += static_cast<double>((Before - From).Ms) * this->PerMs;
      if (Time < After)
        return X + BreakWidth / 2;
      X += BreakWidth;
      From = After;
    }
    return X + static_cast<double>((Time - From).Ms) * this->PerMs;
  }

  std::vector<Break> breaks() const {
    std::vector<Break> All;
    for (const auto &[Before, After] : this->Cuts)
      All.push_back({this->at(Before) + BreakWidth / 2, After - Before});
    return All;
  }

  std::vector<Tick> ticks() const {
    std::vector<Tick> All;
    const std::int64_t Step = this->tickStep();
    std::int64_t Ms = (this->Start.Ms + Step - 1) / Step * Step;
    for (; Ms <= this->End.Ms && Step > 0; Ms += Step) {
      if (!this->inCut({Ms}))
        All.push_back({this->at({Ms}), {Ms}});
    }
    return All;
  }

private:
  bool inCut(Instant Time) const {
    return std::ranges::any_of(this->Cuts, [Time](const auto &Cut) {
      return Cut.first < Time && Time < Cut.second;
    });
  }

  /// Returns the shortest step of a round length that gives few ticks.
  std::int64_t tickStep() const {
    constexpr std::array<std::int64_t, 16> Steps = {
        10,      20,        50,        100,       200,    500,
        1'000,   2'000,     5'000,     10'000,    30'000, 60'000,
        300'000, 1'800'000, 3'600'000, 21'600'000};
    std::int64_t Drawn = (this->End - this->Start).Ms;
    for (const auto &[Before, After] : this->Cuts)
      Drawn -= (After - Before).Ms;
    for (const std::int64_t Step : Steps) {
      if (Drawn / Step <= static_cast<std::int64_t>(WantedTicks))
        return Step;
    }
    return Steps.back();
  }

  Instant Start;
  Instant End;
  std::vector<std::pair<Instant, Instant>> Cuts;
  double PerMs = 0;
};

/// Lists first, then who decides, then what is decided on.
int rankOf(SubjectKind Kind) {
  switch (Kind) {
  case SubjectKind::List:
    return 0;
  case SubjectKind::Instance:
    return 1;
  case SubjectKind::Cell:
    return 2;
  case SubjectKind::Workspace:
    return 3;
  case SubjectKind::Worker:
    return 4;
  case SubjectKind::Runner:
    return 5;
  case SubjectKind::Job:
    return 6;
  case SubjectKind::Request:
    return 7;
  }
  return 7;
}

std::string titleOf(const TimelineEvent &Event) {
  const std::string Kind(nameOf(Event.Kind));
  return Event.Subject.empty() ? Kind : Kind + " " + Event.Subject;
}

/// Gives each subject a lane: by kind, then by first event.
void placeOnLanes(PageLayout &Page) {
  std::vector<std::pair<int, std::string>> Seen;
  for (const Mark &Item : Page.Marks) {
    std::pair<int, std::string> Lane{rankOf(Item.Item->Event.Kind),
                                     titleOf(Item.Item->Event)};
    if (std::ranges::find(Seen, Lane) == Seen.end())
      Seen.push_back(std::move(Lane));
  }
  std::ranges::stable_sort(Seen, {},
                           [](const auto &Lane) { return Lane.first; });
  std::map<std::string, std::size_t> LaneOf;
  for (auto &[Rank, Title] : Seen) {
    LaneOf[Title] = Page.Lanes.size();
    Page.Lanes.push_back(std::move(Title));
  }
  for (Mark &Item : Page.Marks)
    Item.Lane = LaneOf[titleOf(Item.Item->Event)];
}

} // namespace

PageLayout layOut(const MergedTimeline &Merged, double Width) {
  PageLayout Page;
  std::vector<Instant> Times;
  for (const PlacedEvent &Item : Merged.Events) {
    if (isRoutine(Item.Event))
      continue;
    Page.Marks.push_back({&Item, Page.Marks.size() + 1, 0, 0});
    Times.push_back(Item.NotBefore);
  }
  const TimeAxis Axis(Times, Width);
  for (Mark &Item : Page.Marks)
    Item.X = Axis.at(Item.Item->NotBefore);
  placeOnLanes(Page);
  Page.Breaks = Axis.breaks();
  if (!Times.empty())
    Page.Ticks = Axis.ticks();
  return Page;
}

} // namespace pistachioflow::explain
