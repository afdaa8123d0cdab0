#pragma once

#include <span>
#include <string>
#include <string_view>

#include "pistachioflow/model/reason.hpp"

namespace pistachioflow {

/// A reason code and its explanation for operators.
struct ReasonText {
  ReasonCode Code = ReasonCode::None;
  std::string_view Name;    ///< Stable, lower_snake_case.
  std::string_view Meaning; ///< One sentence.
  std::string_view Change;  ///< What an operator can change, and in which list.
};

/// Returns one row for each reason code, sorted by code.
/// Thread safety: may be called from any thread.
std::span<const ReasonText> reasonTable();

/// Returns the row of \p Code, or the row of None if the code is unknown.
const ReasonText &reasonText(ReasonCode Code);

/// Returns the stable name of \p Code.
std::string_view toString(ReasonCode Code);

/// Returns the table as Markdown, the text of docs/REASONS.md.
std::string reasonsPage();

} // namespace pistachioflow
