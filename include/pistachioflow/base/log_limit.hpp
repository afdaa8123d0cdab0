#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// Limits how many log lines of each event are written per second.
///
/// Lines beyond the limit are counted; the count is available from the first
/// line of a later second on. Not thread safe.
class LogLimit {
public:
  explicit LogLimit(std::int64_t LinesPerSecond)
      : LinesPerSecond(LinesPerSecond) {}

  /// Returns whether a line of \p Event may be written at \p Now.
  bool admit(std::string_view Event, Instant Now);

  /// Returns how many lines of \p Event were suppressed before the current
  /// second, and resets that count.
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
