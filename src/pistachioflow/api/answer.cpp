#include "pistachioflow/api/route_context.hpp"
#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

struct CodeStatus {
  ErrorCode Code;
  int Status;
};

constexpr int InternalError = 500;

constexpr CodeStatus Statuses[] = {
    {ErrorCode::InvalidInput, 400},   {ErrorCode::NotFound, 404},
    {ErrorCode::StaleRevision, 412},  {ErrorCode::Unavailable, 503},
    {ErrorCode::UnknownOutcome, 504}, {ErrorCode::Expired, 410},
    {ErrorCode::Refused, 409},        {ErrorCode::Fenced, 503},
    {ErrorCode::Unsupported, 501},    {ErrorCode::DeadlineExceeded, 503},
    {ErrorCode::Overloaded, 429},
};

int statusOf(ErrorCode Code) {
  for (const CodeStatus &Row : Statuses) {
    if (Row.Code == Code)
      return Row.Status;
  }
  return InternalError;
}

} // namespace

void answerJson(httplib::Response &Response, int Status,
                const nlohmann::json &Body) {
  Response.status = Status;
  Response.set_content(dumpJson(Body) + "\n", "application/json");
}

void answerError(httplib::Response &Response, const Error &Failure) {
  nlohmann::json Body{{"error", toString(Failure.Code)},
                      {"message", Failure.Message}};
  if (!Failure.Details.empty())
    Body["findings"] = toJson(Failure.Details);
  answerJson(Response, statusOf(Failure.Code), Body);
}

} // namespace pistachioflow
