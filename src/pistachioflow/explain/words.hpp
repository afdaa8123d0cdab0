#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/model/action.hpp"

namespace pistachioflow::explain {

/// Returns "1 task", "3 tasks".
std::string counted(std::uint64_t Count, std::string_view Noun);

/// Returns "850 ms", "12.4 s", "3 min 5 s" or "2 h 4 min".
std::string spanText(Duration Span);

/// Returns a wall clock time as "2026-12-04 06:47:59.120" in UTC.
std::string timeText(Instant Wall);

/// Returns "2 tasks of 8 accelerators, in one rack".
std::string shapeText(const GangShape &Shape);

/// Returns "worker-1 (2 tasks), worker-2 (1 task)".
std::string placesText(std::span<const Placement> Places);

/// Ends \p Text with a full stop where it has none.
std::string withStop(std::string Text);

/// Makes \p Text a sentence: a capital first, a full stop last.
std::string asSentence(std::string Text);

} // namespace pistachioflow::explain
