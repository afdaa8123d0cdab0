#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Bounds how many lines of each event are written a second.
///
/// Lines beyond the bound are counted, and the count is said with the first
/// line of a later second. Thread safety: none.
class LogLimit {
public:
  explicit LogLimit(std::int64_t LinesPerSecond)
      : LinesPerSecond(LinesPerSecond) {}

  /// Returns whether a line of \p Event may be written at \p Now.
  bool admit(std::string_view Event, Instant Now);

  /// Returns and forgets how many lines of \p Event were left out before the
  /// current second.
  std::int64_t takeSuppressed(std::string_view Event);

private:
  struct Window {
    std::int64_t Second = -1;
    std::int64_t Lines = 0;
    std::int64_t Suppressed = 0;
    std::int64_t ToReport = 0;
  };

  std::int64_t LinesPerSecond;
  std::map<std::string, Window, std::less<>> Windows;
};

} // namespace pistachioflow
