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

/// A point in time in milliseconds since an origin that depends on the clock.
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

/// A source of time in milliseconds.
///
/// Thread safety: every method may be called from any thread.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns a time that never decreases within this process. Use it for leases
  /// and timeouts. It can't be compared with the time of another process.
  virtual Instant monotonic() const = 0;

  /// Returns the time since the Unix epoch, as stored in records. It may jump
  /// in either direction.
  virtual Instant wall() const = 0;
};

/// Reads the operating system's clocks.
class SystemClock final : public Clock {
public:
  Instant monotonic() const override;
  Instant wall() const override;
};

/// A clock for tests and replays that only advance() moves.
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
