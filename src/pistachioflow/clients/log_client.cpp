#include <string>

#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/clients/wire.hpp"

namespace pistachioflow {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;
constexpr int StatusUnavailable = 503;
constexpr int FirstServerError = 500;

std::string describe(const HttpAnswer &Answer) {
  switch (Answer.State) {
  case ExchangeState::NotSent:
    return "the log could not be reached";
  case ExchangeState::Lost:
    return "the log's answer was lost";
  case ExchangeState::Answered:
    break;
  }
  return "the log answered " + std::to_string(Answer.Status);
}

/// Tells whether the log proved that it did not append.
bool surelyNotAppended(const HttpAnswer &Answer) {
  if (Answer.State == ExchangeState::NotSent)
    return true;
  if (Answer.State == ExchangeState::Lost)
    return false;
  return Answer.Status == StatusUnavailable ||
         (Answer.Status != StatusOk && Answer.Status < FirstServerError);
}

Result<Offset> readOffset(std::string_view Body, std::string_view Key) {
  return decodeJson(Body, PlatformBounds, [Key](ObjectReader In) {
    const auto Read = static_cast<Offset>(In.integer(Key, {}));
    In.finish();
    return Read;
  });
}

} // namespace

HttpLogService::HttpLogService(HttpPool &Pool, Duration Timeout)
    : Pool(Pool), Timeout(Timeout) {}

Result<Offset> HttpLogService::append(const StreamName &Stream,
                                      std::string_view Bytes) {
  const HttpAnswer Answer = this->Pool.exchange(
      {"POST", "/log/append?stream=" + encodeQuery(Stream.Value),
       std::string(Bytes), "application/octet-stream", this->Timeout});
  if (surelyNotAppended(Answer))
    return Error{ErrorCode::Unavailable, describe(Answer), {}};
  if (Answer.State != ExchangeState::Answered || Answer.Status != StatusOk)
    return Error{ErrorCode::UnknownOutcome, describe(Answer), {}};
  const Result<Offset> At = readOffset(Answer.Body, "offset");
  if (At.has_error())
    return Error{ErrorCode::UnknownOutcome, "the log's answer is damaged",
                 At.error().Details};
  return At;
}

Result<LogPage> HttpLogService::read(const StreamName &Stream, Offset From,
                                     std::size_t Limit) {
  const HttpAnswer Answer = this->Pool.exchange(
      {"GET",
       "/log/read?stream=" + encodeQuery(Stream.Value) +
           "&from=" + std::to_string(From) + "&limit=" + std::to_string(Limit),
       "", "", this->Timeout});
  if (Answer.State == ExchangeState::Answered && Answer.Status == StatusGone) {
    const Result<Offset> First = readOffset(Answer.Body, "first");
    if (First.has_value())
      return Error{ErrorCode::Expired, "records expired", {}, First.value()};
  }
  if (Answer.State != ExchangeState::Answered || Answer.Status != StatusOk)
    return Error{ErrorCode::Unavailable, describe(Answer), {}};
  Result<LogPage> Page = decodePage(Answer.Body);
  if (Page.has_error())
    return Error{ErrorCode::Unavailable, Page.error().Message, {}};
  return Page;
}

} // namespace pistachioflow
