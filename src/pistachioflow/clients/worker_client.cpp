#include <string>

#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/clients/wire.hpp"

namespace pistachioflow {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusRefused = 409;
constexpr int StatusFenced = 412;
constexpr int StatusUnavailable = 503;

bool succeeded(const HttpAnswer &Answer) {
  return Answer.State == ExchangeState::Answered && Answer.Status == StatusOk;
}

std::string describe(std::string_view Peer, const HttpAnswer &Answer) {
  const std::string Name(Peer);
  if (Answer.State == ExchangeState::NotSent)
    return Name + " could not be reached";
  if (Answer.State == ExchangeState::Lost)
    return "the answer of " + Name + " was lost";
  return Name + " answered " + std::to_string(Answer.Status);
}

ErrorCode orderError(const HttpAnswer &Answer) {
  if (Answer.State == ExchangeState::NotSent)
    return ErrorCode::Unavailable;
  if (Answer.State == ExchangeState::Lost)
    return ErrorCode::UnknownOutcome;
  switch (Answer.Status) {
  case StatusRefused:
    return ErrorCode::Refused;
  case StatusFenced:
    return ErrorCode::Fenced;
  case StatusNotFound:
  case StatusUnavailable:
    return ErrorCode::Unavailable;
  default:
    return ErrorCode::UnknownOutcome;
  }
}

/// Gets a list of the platform, or Unavailable whatever the cause.
template <typename ReadFunction>
auto fetchItems(HttpPool &Pool, const std::string &Path, Duration Timeout,
                ReadFunction Read) -> decltype(decodeItems("", Read)) {
  const HttpAnswer Answer = Pool.exchange({"GET", Path, "", "", Timeout});
  if (!succeeded(Answer))
    return Error{ErrorCode::Unavailable, describe(Path, Answer), {}};
  auto Items = decodeItems(Answer.Body, Read);
  if (Items.has_error())
    return Error{ErrorCode::Unavailable, Path + " answered with bad JSON",
                 Items.error().Details};
  return Items;
}

} // namespace

HttpInstanceList::HttpInstanceList(HttpPool &Pool, Duration Timeout)
    : Pool(Pool), Timeout(Timeout) {}

Result<std::vector<ListedInstance>> HttpInstanceList::instances() {
  return fetchItems(this->Pool, "/instances", this->Timeout,
                    readListedInstance);
}

HttpWorkerGateway::HttpWorkerGateway(HttpPool &Pool, Duration Timeout)
    : Pool(Pool), Timeout(Timeout) {}

Result<std::vector<WorkerInfo>> HttpWorkerGateway::workers() {
  return fetchItems(this->Pool, "/workers", this->Timeout, readWorkerInfo);
}

Result<void> HttpWorkerGateway::send(const WorkerId &Worker,
                                     const WorkerOrder &Order) {
  const HttpAnswer Answer = this->Pool.exchange(
      {"POST", "/workers/" + encodeQuery(Worker.Value) + "/orders",
       dumpJson(toJson(Order)), "application/json", this->Timeout});
  if (succeeded(Answer))
    return outcome::success();
  return Error{orderError(Answer), describe(Worker.Value, Answer), {}};
}

Result<WorkerReport> HttpWorkerGateway::report(const WorkerId &Worker) {
  const HttpAnswer Answer = this->Pool.exchange(
      {"GET", "/workers/" + encodeQuery(Worker.Value) + "/report", "", "",
       this->Timeout});
  if (!succeeded(Answer))
    return Error{ErrorCode::Unavailable, describe(Worker.Value, Answer), {}};
  Result<WorkerReport> Report =
      decodeJson(Answer.Body, PlatformBounds, readWorkerReport);
  if (Report.has_error())
    return Error{ErrorCode::Unavailable, "damaged report of " + Worker.Value,
                 Report.error().Details};
  return Report;
}

HttpRunnerGateway::HttpRunnerGateway(HttpPool &Pool, Duration ListTimeout,
                                     MetricRegistry &Metrics)
    : Pool(Pool), ListTimeout(ListTimeout),
      Foreign(Metrics.counter("runner_answers_foreign")),
      Lost(Metrics.counter("runner_answers_lost")) {}

Result<std::vector<RunnerInfo>> HttpRunnerGateway::runners() {
  return fetchItems(this->Pool, "/runners", this->ListTimeout, readRunnerInfo);
}

} // namespace pistachioflow
