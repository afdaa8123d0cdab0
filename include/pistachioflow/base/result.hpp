#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include "pistachioflow/base/finding.hpp"

namespace pistachioflow {

/// What kind of failure an Error reports.
enum class ErrorCode {
  InvalidInput,   ///< The input broke a rule; Findings says where.
  NotFound,       ///< The named thing does not exist.
  StaleRevision,  ///< The edit was based on a revision that is not the last.
  Unavailable,    ///< Surely had no effect; trying again later may succeed.
  UnknownOutcome, ///< May or may not have taken effect.
  Expired,        ///< The records below FirstOffset are gone.
  Refused,        ///< A rule of the lists or a limit refuses it.
  Fenced,         ///< A newer epoch exists; the sender owns nothing any more.
  Unsupported,    ///< Written by a later version of the program.
  DeadlineExceeded,
  Overloaded,
};

/// Returns the stable lower-case name used in logs and answers.
std::string_view toString(ErrorCode Code);

/// A failure with what an operator needs to act on it.
struct Error {
  ErrorCode Code = ErrorCode::Unavailable;
  std::string Message;
  Findings Details;
  /// Set with Expired: the first offset that can still be read.
  std::uint64_t FirstOffset = 0;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an Error. Reading the one that is not there ends the process.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace pistachioflow
