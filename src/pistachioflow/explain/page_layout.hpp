#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "pistachioflow/explain/timeline.hpp"

namespace pistachioflow::explain {

/// One event on the page.
struct Mark {
  const PlacedEvent *Item = nullptr;
  std::size_t Number = 0; ///< Counts from 1, as in the table.
  std::size_t Lane = 0;
  double X = 0;
};

/// A stretch of time without events that is drawn short.
struct Break {
  double X = 0;
  Duration Length;
};

/// A time at the edge of the picture.
struct Tick {
  double X = 0;
  Instant At;
};

struct PageLayout {
  std::vector<std::string> Lanes; ///< Titles, top to bottom.
  std::vector<Mark> Marks;        ///< In the order of the events.
  std::vector<Break> Breaks;
  std::vector<Tick> Ticks;
};

/// Places every event that is not routine on lanes and on a time axis from 0 to
/// \p Width, with long idle stretches cut short. The events must outlive it.
PageLayout layOut(const MergedTimeline &Merged, double Width);

} // namespace pistachioflow::explain
