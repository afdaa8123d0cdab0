#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

std::string_view toString(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidInput:
    return "invalid_input";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::StaleRevision:
    return "stale_revision";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::UnknownOutcome:
    return "unknown_outcome";
  case ErrorCode::Expired:
    return "expired";
  case ErrorCode::Refused:
    return "refused";
  case ErrorCode::Fenced:
    return "fenced";
  case ErrorCode::Unsupported:
    return "unsupported";
  case ErrorCode::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorCode::Overloaded:
    return "overloaded";
  }
  return "invalid";
}

} // namespace pistachioflow
