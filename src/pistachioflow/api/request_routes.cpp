#include "pistachioflow/api/route_context.hpp"
#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using httplib::Request;
using httplib::Response;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusForbidden = 403;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

int statusOfNotRun(ReasonCode Code) {
  switch (Code) {
  case ReasonCode::RequestRefusedLimit:
  case ReasonCode::RequestRefusedQueueFull:
    return StatusTooMany;
  case ReasonCode::RequestRefusedNoPlan:
    return StatusForbidden;
  default:
    return StatusUnavailable;
  }
}

int statusOf(const RequestOutcome &Outcome) {
  switch (Outcome.State) {
  case RequestState::Done:
    return StatusOk;
  case RequestState::NotRun:
    return statusOfNotRun(Outcome.Why.Code);
  case RequestState::Unknown:
    return StatusGatewayTimeout;
  }
  return StatusGatewayTimeout;
}

void handleRequest(const RouteContext &Context, const Request &Call,
                   Response &Answer) {
  const Instant Now = Context.Time.monotonic();
  const auto Asked = decodeJson(
      Call.body, {.MaxBytes = Context.Settings.MaxBodyBytes},
      [Now](ObjectReader In) { return readCallerRequest(std::move(In), Now); });
  if (Asked.has_error()) {
    answerError(Answer, Asked.error());
    return;
  }
  const RequestOutcome Outcome = Context.Handler.request(Asked.value());
  nlohmann::json Body = toJson(Outcome);
  Body["request"] = Asked.value().Request.Value;
  answerJson(Answer, statusOf(Outcome), Body);
}

} // namespace

void addRequestRoutes(httplib::Server &Server, const RouteContext &Context) {
  Server.Post("/v1/requests",
              [&Context](const Request &Call, Response &Answer) {
                handleRequest(Context, Call, Answer);
              });
  Server.Delete(R"(/v1/requests/([^/]+))",
                [&Context](const Request &Call, Response &Answer) {
                  Context.Handler.cancelRequest({Call.matches[1]});
                  answerJson(Answer, StatusAccepted,
                             {{"request", std::string(Call.matches[1])}});
                });
}

} // namespace pistachioflow
