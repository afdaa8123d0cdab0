#pragma once

#include <optional>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include "pistachioflow/sched/configuration_check.hpp"

namespace pistachioflow::ctl {

/// The exit codes of the command "check".
enum class CheckExit : int {
  Nothing = 0,
  Warnings = 1,
  Errors = 2,
  Unreadable = 3, ///< A file could not be read; nothing was checked.
};

/// Paths of the files to check; "-" is standard input.
struct CheckFiles {
  std::string Configuration;
  std::string InForce; ///< Empty: no comparison.
  std::string Workers; ///< Empty: the fleet is not known.
};

/// What the check of files found.
struct CheckResult {
  CheckExit Exit = CheckExit::Nothing;
  CheckFindings List;
};

/// Checks files without a network. Writes to standard error why a file cannot
/// be read. Invalid text in the configuration is a finding; in the other files
/// it counts as not readable, since nothing can be compared with it.
CheckResult checkFiles(const CheckFiles &Files);

/// Formats each finding as one line.
std::string formatLines(std::span<const CheckFinding> List);

/// Returns the findings and the counts of errors and warnings as JSON.
nlohmann::json toJson(std::span<const CheckFinding> List);

} // namespace pistachioflow::ctl
