#include "pistachioflow/base/clock.hpp"

#include <chrono>

namespace pistachioflow {

namespace {

template <typename ChronoClock> Instant readChrono() {
  const auto SinceEpoch = ChronoClock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
              .count()};
}

} // namespace

Instant SystemClock::monotonic() const {
  return readChrono<std::chrono::steady_clock>();
}

Instant SystemClock::wall() const {
  return readChrono<std::chrono::system_clock>();
}

Instant ManualClock::monotonic() const { return {this->NowMs.load()}; }

Instant ManualClock::wall() const { return {this->NowMs.load()}; }

void ManualClock::advance(Duration Step) { this->NowMs += Step.Ms; }

} // namespace pistachioflow
