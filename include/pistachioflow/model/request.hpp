#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/reason.hpp"

namespace pistachioflow {

/// The order in which waiting requests are served, first to last. The
/// assessment platform maps its lot certificates, assessments and reports to
/// the same three classes.
enum class RequestClass : std::uint8_t {
  RoundPairing,
  TiebreakReport,
  RatingRecalculation,
};

std::string_view toString(RequestClass Class);

/// A caller's request for one of the runners.
struct CallerRequest {
  RequestId Request;
  WorkspaceId Workspace;
  RequestClass Class = RequestClass::RoundPairing;
  std::string Key; ///< Identifies a non-idempotent request in its workspace.
  bool NonIdempotent = false;
  Instant Deadline; ///< On the monotonic clock of this instance.
  std::string Body;
};

/// What is known of a request once it is answered.
enum class RequestState : std::uint8_t {
  Done,    ///< It ran and this is its whole answer.
  NotRun,  ///< It surely did not run.
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

/// How many requests an instance has in flight at one runner.
struct RunnerInFlight {
  RunnerId Runner;
  std::uint32_t Count = 0;

  bool operator==(const RunnerInFlight &) const = default;
  MSGPACK_DEFINE(Runner, Count)
};

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::RequestClass)
MSGPACK_ADD_ENUM(pistachioflow::RequestState)
