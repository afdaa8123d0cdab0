#include <string>
#include <utility>

#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/clients/wire.hpp"

namespace pistachioflow {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBusy = 429;
constexpr int StatusUnavailable = 503;
constexpr Duration CancelTimeout{500};

std::string pathOf(const RunnerId &Runner, std::string_view Action) {
  return "/runners/" + encodeQuery(Runner.Value) + "/" + std::string(Action);
}

/// Tells whether the answer can only belong to this request on this runner.
bool belongsTo(const RunnerReply &Reply, const RunnerId &Runner,
               const RequestId &Request) {
  return Reply.Request == Request && Reply.Runner == Runner;
}

/// Only a refusal by the runner itself proves that nothing ran.
SendState stateOf(int Status, const RunnerReply &Reply) {
  if (Status == StatusOk && !Reply.Refused)
    return SendState::Answered;
  if ((Status == StatusBusy || Status == StatusUnavailable) && Reply.Refused)
    return SendState::RefusedBusy;
  return SendState::Lost;
}

} // namespace

RunnerAnswer HttpRunnerGateway::send(const RunnerId &Runner,
                                     const CallerRequest &Request,
                                     Duration Timeout) {
  const RunnerCall Call{Request.Request, Request.Workspace,     Request.Class,
                        Request.Key,     Request.NonIdempotent, Timeout,
                        Request.Body};
  const HttpAnswer Answer = this->Pool.exchange(
      {"POST", pathOf(Runner, "requests"), dumpJson(toJson(Call)),
       "application/json", Timeout});
  if (Answer.State == ExchangeState::NotSent)
    return {SendState::NotSent, Request.Request, ""};
  if (Answer.State == ExchangeState::Lost) {
    this->Lost.add();
    return {SendState::Lost, Request.Request, ""};
  }
  Result<RunnerReply> Reply =
      decodeJson(Answer.Body, PlatformBounds, readRunnerReply);
  if (Reply.has_error()) {
    this->Lost.add();
    return {SendState::Lost, Request.Request, ""};
  }
  if (!belongsTo(Reply.value(), Runner, Request.Request)) {
    this->Foreign.add();
    this->Pool.closeIdle();
    return {SendState::Lost, Reply.value().Request, ""};
  }
  const SendState State = stateOf(Answer.Status, Reply.value());
  if (State == SendState::Lost)
    this->Lost.add();
  std::string Body = State == SendState::Answered
                         ? std::move(Reply.value().Body)
                         : std::string();
  return {State, Request.Request, std::move(Body)};
}

void HttpRunnerGateway::cancel(const RunnerId &Runner,
                               const RequestId &Request) {
  this->Pool.exchange({"POST", pathOf(Runner, "cancel"),
                       dumpJson({{"request", Request.Value}}),
                       "application/json", CancelTimeout});
}

} // namespace pistachioflow
