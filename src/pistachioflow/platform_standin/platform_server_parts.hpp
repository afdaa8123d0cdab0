#pragma once

#include <nlohmann/json.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/codec/json_reader.hpp"
#include "pistachioflow/net/http_server.hpp"

namespace pistachioflow {

/// Interval at which the simulation advances.
inline constexpr Duration AdvanceInterval{10};
/// Interval of the workers' heartbeats.
inline constexpr Duration WorkerListInterval{500};
/// Delay that stands for a lost answer; longer than any timeout of a caller.
inline constexpr Duration NoAnswerDelay{60'000};

inline HttpResponse jsonResponse(int Status, const nlohmann::json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = dumpJson(Body);
  return Response;
}

} // namespace pistachioflow
