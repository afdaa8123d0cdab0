#pragma once

#include <atomic>
#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace pistachioflow {

/// A span of time in milliseconds.
struct Duration {
  std::int64_t Ms = 0;

  auto operator<=>(const Duration &) const = default;
  MSGPACK_DEFINE(Ms)
};

/// A point in time in milliseconds, counted from an origin that the clock sets.
struct Instant {
  std::int64_t Ms = 0;

  auto operator<=>(const Instant &) const = default;
  MSGPACK_DEFINE(Ms)
};

constexpr Duration operator-(Instant Left, Instant Right) {
  return {Left.Ms - Right.Ms};
}
constexpr Instant operator+(Instant Left, Duration Right) {
  return {Left.Ms + Right.Ms};
}
constexpr Instant operator-(Instant Left, Duration Right) {
  return {Left.Ms - Right.Ms};
}
constexpr Duration operator+(Duration Left, Duration Right) {
  return {Left.Ms + Right.Ms};
}
constexpr Duration operator-(Duration Left, Duration Right) {
  return {Left.Ms - Right.Ms};
}
constexpr Duration operator*(Duration Left, std::int64_t Right) {
  return {Left.Ms * Right};
}

/// Tells the time in milliseconds.
///
/// Thread safety: every method may be called from any thread.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns a time that never goes back in this process. Leases and timeouts
  /// use it; it means nothing to another process.
  virtual Instant monotonic() const = 0;

  /// Returns the time since the Unix epoch. Records carry it; it may jump.
  virtual Instant wall() const = 0;
};

/// Reads the operating system's clocks.
class SystemClock final : public Clock {
public:
  Instant monotonic() const override;
  Instant wall() const override;
};

/// Moves only when told to, for tests and replays.
class ManualClock final : public Clock {
public:
  explicit ManualClock(Instant Start = {0}) : NowMs(Start.Ms) {}

  Instant monotonic() const override;
  Instant wall() const override;

  /// Moves the clock forward. Precondition: \p Step is not negative.
  void advance(Duration Step);

private:
  std::atomic<std::int64_t> NowMs;
};

} // namespace pistachioflow
