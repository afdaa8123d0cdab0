#pragma once

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// For how long a unit that waits has been kept from free workers by
/// preferences alone, since its latest run began.
///
/// Load pattern: workers that come and go, or are taken for a moment, beside a
/// unit that waits. Thread safety: none.
struct HeldBack {
  Duration Earlier; ///< In spans that have ended.
  Instant Since;    ///< Start of the present span; 0: it is not held back.
};

/// Notes a round at \p Now that held the unit back.
inline void holdBack(HeldBack &Held, Instant Now) {
  if (Held.Since.Ms == 0)
    Held.Since = Now;
}

/// Notes that the unit is not held back at \p Now: it fits on no worker at all,
/// or has been placed. The time before is kept.
inline void pauseHeldBack(HeldBack &Held, Instant Now) {
  if (Held.Since.Ms != 0)
    Held.Earlier = Held.Earlier + (Now - Held.Since);
  Held.Since = {};
}

/// Returns the length of the present span.
inline Duration heldBackNow(const HeldBack &Held, Instant Now) {
  return Held.Since.Ms == 0 ? Duration{} : Now - Held.Since;
}

/// Returns the length of all spans.
inline Duration heldBackInAll(const HeldBack &Held, Instant Now) {
  return Held.Earlier + heldBackNow(Held, Now);
}

} // namespace pistachioflow
