#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "pistachioflow/api/backend.hpp"
#include "pistachioflow/api/server.hpp"
#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// What the routes share. It outlives the server.
struct RouteContext {
  Backend &Handler;
  const Clock &Time;
  ServerSettings Settings;
};

// Each function adds the routes of one group.
void addListRoutes(httplib::Server &Server, const RouteContext &Context);
void addJobRoutes(httplib::Server &Server, const RouteContext &Context);
void addRequestRoutes(httplib::Server &Server, const RouteContext &Context);
void addInspectRoutes(httplib::Server &Server, const RouteContext &Context);

/// Writes a JSON answer.
void answerJson(httplib::Response &Response, int Status,
                const nlohmann::json &Body);

/// Writes the status and the body that belong to \p Failure.
void answerError(httplib::Response &Response, const Error &Failure);

} // namespace pistachioflow
