#include <string>
#include <utility>

#include <httplib.h>

#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow::standin {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusBusy = 429;
constexpr int StatusUnavailable = 503;
constexpr Duration NeverSpan{60'000};

bool hits(Platform &Target, FaultKind Kind, const RunnerId &Runner) {
  return Target.Faults.take(FaultPart::Runners, Kind, Runner.Value).has_value();
}

bool isLeaving(Platform &Target, const RunnerId &Runner) {
  return Target.Faults.isOn(FaultPart::Runners, FaultKind::Leaving,
                            Runner.Value);
}

void refuse(httplib::Response &Response, int Status, const RunnerId &Runner,
            const RunnerCall &Call) {
  answerJson(Response, Status,
             toJson(RunnerReply{Call.Request, Runner, true, ""}));
}

/// Answers a request that ran, through the faults of the runner.
void answerRun(Platform &Target, const RunnerId &Runner, const RunnerCall &Call,
               const httplib::Request &Request, httplib::Response &Response) {
  RunnerReply Reply{Call.Request, Runner, false, "answer to " + Call.Body};
  if (hits(Target, FaultKind::Foreign, Runner))
    Reply.Request.Value += "-other";
  std::string Body = dumpJson(toJson(Reply));
  if (hits(Target, FaultKind::ResetBeforeByte, Runner))
    return cutConnection(Request);
  if (hits(Target, FaultKind::ResetAfterByte, Runner))
    return answerPart(Response, std::move(Body), 1);
  if (hits(Target, FaultKind::Half, Runner))
    return answerPart(Response, Body, Body.size() / 2);
  if (hits(Target, FaultKind::Twice, Runner))
    sendRaw(Request, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                         std::to_string(Body.size()) + "\r\n\r\n" + Body);
  Response.status = StatusOk;
  Response.set_content(Body, "application/json");
  loseAnswer(Target, FaultPart::Runners, Runner.Value, Request);
}

void runRequest(Platform &Target, const httplib::Request &Request,
                httplib::Response &Response) {
  const RunnerId Runner{Request.matches[1]};
  const auto Call = decodeJson(Request.body, PlatformBounds, readRunnerCall);
  if (Call.has_error())
    return answerFindings(Response, Call.error());
  if (!Target.Runners.knows(Runner))
    return answerJson(Response, StatusNotFound, {{"error", "no such runner"}});
  if (Target.Faults.take(FaultPart::Runners, FaultKind::Cut, Runner.Value))
    return cutConnection(Request);
  if (isLeaving(Target, Runner))
    return refuse(Response, StatusUnavailable, Runner, Call.value());
  if (hits(Target, FaultKind::Refuse, Runner))
    return refuse(Response, StatusBusy, Runner, Call.value());
  const auto Run =
      Target.Runners.begin(Runner, Call.value(), Target.Time.monotonic());
  if (!Run)
    return refuse(Response, StatusBusy, Runner, Call.value());
  const auto Slow =
      Target.Faults.take(FaultPart::Runners, FaultKind::Slow, Runner.Value);
  Target.Waits.wait(Target.Settings.ServiceTime +
                    (Slow ? Slow->Delay : Duration{}));
  const bool Never = hits(Target, FaultKind::Never, Runner);
  Target.Runners.end(*Run, Target.Time.monotonic());
  if (Never) {
    Target.Waits.wait(NeverSpan);
    return cutConnection(Request);
  }
  answerRun(Target, Runner, Call.value(), Request, Response);
}

void listRunners(Platform &Target, const httplib::Request &Request,
                 httplib::Response &Response) {
  if (!admitCall(Target, FaultPart::Runners, "list", Request, Response))
    return;
  std::vector<RunnerInfo> List = Target.Runners.runners();
  for (RunnerInfo &Info : List)
    Info.Leaving = Info.Leaving || isLeaving(Target, Info.Runner);
  Response.set_content(encodeItems<RunnerInfo>(List), "application/json");
}

} // namespace

void addRunnerRoutes(httplib::Server &Http, Platform &Target) {
  Http.Get("/runners", [&Target](const auto &Request, auto &Response) {
    listRunners(Target, Request, Response);
  });
  Http.Post(R"(/runners/([^/]+)/requests)",
            [&Target](const auto &Request, auto &Response) {
              runRequest(Target, Request, Response);
            });
  Http.Post(R"(/runners/([^/]+)/cancel)", [](const auto &, auto &Response) {
    answerJson(Response, StatusOk, nlohmann::json::object());
  });
}

} // namespace pistachioflow::standin
