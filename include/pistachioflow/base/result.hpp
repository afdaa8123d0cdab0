#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include "pistachioflow/base/finding.hpp"

namespace pistachioflow {

/// The kind of failure that an Error reports.
enum class ErrorCode {
  InvalidInput,   ///< The input breaks a rule; see Error::Details.
  NotFound,       ///< The requested object does not exist.
  StaleRevision,  ///< The edit is not based on the latest revision.
  Unavailable,    ///< Had no effect for certain; a retry may succeed.
  UnknownOutcome, ///< May or may not have taken effect.
  Expired,        ///< The records below FirstOffset were removed.
  Refused,        ///< Rejected by a rule of the lists or by a limit.
  Fenced,         ///< A newer epoch exists; the sender is no longer owner.
  Unsupported,    ///< Written by a later version of the program.
  DeadlineExceeded,
  Overloaded,
};

/// Returns the stable lower-case name used in logs and answers.
std::string_view toString(ErrorCode Code);

/// A failure with the details that an operator needs.
struct Error {
  ErrorCode Code = ErrorCode::Unavailable;
  std::string Message;
  Findings Details;
  /// Set with Expired: the first offset that can still be read.
  std::uint64_t FirstOffset = 0;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an Error. Accessing the alternative that is not set terminates
/// the process.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace pistachioflow
