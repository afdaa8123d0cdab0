#pragma once

#include <span>
#include <string>
#include <string_view>

#include "pistachioflow/model/reason.hpp"

namespace pistachioflow {

/// One reason code with what an operator needs to know of it.
struct ReasonText {
  ReasonCode Code = ReasonCode::None;
  std::string_view Name;    ///< Stable, lower_snake_case.
  std::string_view Meaning; ///< One sentence.
  std::string_view Change;  ///< What an operator can change, in which list.
};

/// Returns every reason code once, by rising code.
/// Thread safety: may be called from any thread.
std::span<const ReasonText> reasonTable();

/// Returns the row of \p Code; the row of None where the code is unknown.
const ReasonText &reasonText(ReasonCode Code);

/// Returns the stable name of \p Code.
std::string_view toString(ReasonCode Code);

/// Writes the table as the page docs/REASONS.md.
std::string reasonsPage();

} // namespace pistachioflow
