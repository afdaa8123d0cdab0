#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/reason.hpp"

namespace pistachioflow {

/// The priority class of a request, from the first to the last served. The
/// assessment platform maps its lot certificates, assessments and reports to
/// the same three classes.
enum class RequestClass : std::uint8_t {
  RoundPairing,
  TiebreakReport,
  RatingRecalculation,
};

std::string_view toString(RequestClass Class);

/// A caller's request that one of the runners executes.
struct CallerRequest {
  RequestId Request;
  WorkspaceId Workspace;
  RequestClass Class = RequestClass::RoundPairing;
  std::string Key; ///< Idempotency key, unique within the workspace.
  bool NonIdempotent = false;
  Instant Deadline; ///< On the monotonic clock of this instance.
  std::string Body;
};

/// What is known about a request when its caller gets the answer.
enum class RequestState : std::uint8_t {
  Done,    ///< It ran, and the answer is complete.
  NotRun,  ///< It did not run for certain.
  Unknown, ///< It may have run.
};

std::string_view toString(RequestState State);

struct RequestOutcome {
  RequestState State = RequestState::NotRun;
  RunnerId Runner;
  std::string Body;
  Reason Why;

  MSGPACK_DEFINE(State, Runner, Body, Why)
};

/// The number of requests that an instance has in flight at one runner.
struct RunnerInFlight {
  RunnerId Runner;
  std::uint32_t Count = 0;

  bool operator==(const RunnerInFlight &) const = default;
  MSGPACK_DEFINE(Runner, Count)
};

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::RequestClass)
MSGPACK_ADD_ENUM(pistachioflow::RequestState)
