#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/desired_state.hpp"

namespace pistachioflow {

/// Whether a configuration with this finding may be sent.
enum class CheckSeverity {
  Warning, ///< It works, but perhaps not as its author intends.
  Error,   ///< It is ignored, or calls and jobs fail with it.
};

/// What a finding is about.
enum class CheckKind {
  Invalid,      ///< The configuration, or an entry, is not accepted.
  NeverMatches, ///< An entry that has no effect, or not the intended one.
  Limit,        ///< A limit with which nothing can work.
  Difference,   ///< Differs from the version in force.
};

/// One finding about a configuration. The functions below put no API key in it.
struct CheckFinding {
  CheckSeverity Severity = CheckSeverity::Warning;
  CheckKind Kind = CheckKind::Invalid;
  std::string Place; ///< JSON path in the configuration.
  std::string Message;
};

using CheckFindings = std::vector<CheckFinding>;

/// The names used in output: "warning" and "error".
std::string_view toString(CheckSeverity Severity);

/// The names used in output: "invalid", "never_matches", "limit" and
/// "difference".
std::string_view toString(CheckKind Kind);

/// The shortest body of a job that is accepted.
inline constexpr std::string_view SmallestJobBody = R"({"steps":[{}]})";

/// Finds routes, services and API keys that no call or job can reach, and keys
/// that more callers can use than intended. \p Services is the list of defined
/// services in the order of the configuration; nothing is said about services
/// if it is absent. Thread safety: pure.
CheckFindings
findUnmatchedEntries(const DesiredState &State,
                     const std::optional<std::vector<std::string>> &Services);

/// Finds limits with which no job or call can succeed, and guarantees whose sum
/// exceeds \p FleetAccelerators, the accelerators of all workers. Nothing is
/// said about the sum if the fleet is not known. Thread safety: pure.
CheckFindings
findContradictingLimits(const DesiredState &State,
                        std::optional<std::int64_t> FleetAccelerators);

/// Lists what \p State adds, removes or changes compared with \p InForce.
/// Routes and workspaces are matched by name. A version that is not higher is
/// an error, since instances ignore it. Thread safety: pure.
CheckFindings compareConfigurations(const DesiredState &State,
                                    const DesiredState &InForce);

} // namespace pistachioflow
