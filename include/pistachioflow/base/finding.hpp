#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioflow {

/// One rule that an input broke, with the place where it did.
struct Finding {
  std::string Place;    ///< File, line or JSON path.
  std::string Expected; ///< What the rule asks for.
  std::string Found;    ///< What stood there.
};

/// Every broken rule of one input, in the order of the input.
using Findings = std::vector<Finding>;

/// Formats one line for each finding.
std::string formatFindings(std::span<const Finding> List);

} // namespace pistachioflow
