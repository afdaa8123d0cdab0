#include <charconv>
#include <string>

#include <httplib.h>

#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow::standin {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusGone = 410;
constexpr int StatusUnavailable = 503;
constexpr std::uint64_t MaxPageEntries = 10'000;

std::optional<std::uint64_t> numberParam(const httplib::Request &Request,
                                         const std::string &Key) {
  const std::string Text = Request.get_param_value(Key);
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

void append(Platform &Target, const httplib::Request &Request,
            httplib::Response &Response) {
  if (!admitCall(Target, FaultPart::Log, "", Request, Response))
    return;
  const StreamName Stream{Request.get_param_value("stream")};
  const Result<Offset> At = Target.Log.append(Stream, Request.body);
  if (At.has_error())
    return answerJson(Response, StatusUnavailable,
                      {{"error", At.error().Message}});
  answerJson(Response, StatusOk, {{"offset", At.value()}});
  loseAnswer(Target, FaultPart::Log, "", Request);
}

void read(Platform &Target, const httplib::Request &Request,
          httplib::Response &Response) {
  if (!admitCall(Target, FaultPart::Log, "", Request, Response))
    return;
  const auto From = numberParam(Request, "from");
  const auto Limit = numberParam(Request, "limit");
  if (!From || !Limit)
    return answerJson(Response, StatusBadRequest,
                      {{"error", "from and limit must be numbers"}});
  const StreamName Stream{Request.get_param_value("stream")};
  const Result<LogPage> Page =
      Target.Log.read(Stream, *From, std::min(*Limit, MaxPageEntries));
  if (Page.has_error() && Page.error().Code == ErrorCode::Expired)
    return answerJson(Response, StatusGone,
                      {{"first", Page.error().FirstOffset}});
  if (Page.has_error())
    return answerJson(Response, StatusUnavailable,
                      {{"error", Page.error().Message}});
  Response.status = StatusOk;
  Response.set_content(encodePage(Page.value()), "application/msgpack");
}

} // namespace

void addLogRoutes(httplib::Server &Http, Platform &Target) {
  Http.Post("/log/append", [&Target](const auto &Request, auto &Response) {
    append(Target, Request, Response);
  });
  Http.Get("/log/read", [&Target](const auto &Request, auto &Response) {
    read(Target, Request, Response);
  });
}

} // namespace pistachioflow::standin
