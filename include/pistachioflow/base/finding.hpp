#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioflow {

/// One violation of a validation rule and its place in the input.
struct Finding {
  std::string Place;    ///< File, line or JSON path.
  std::string Expected; ///< What the rule requires.
  std::string Found;    ///< What the input has instead.
};

/// The violations in one input, in the order of the input.
using Findings = std::vector<Finding>;

/// Formats each finding as one line.
std::string formatFindings(std::span<const Finding> List);

} // namespace pistachioflow
