#include <string>

#include <httplib.h>

#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow::standin {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusRefused = 409;
constexpr int StatusFenced = 412;
constexpr int StatusUnavailable = 503;

int statusOf(OrderAnswer Answer) {
  switch (Answer) {
  case OrderAnswer::Accepted:
    return StatusOk;
  case OrderAnswer::Refused:
    return StatusRefused;
  case OrderAnswer::Fenced:
    return StatusFenced;
  case OrderAnswer::NoWorker:
    return StatusNotFound;
  }
  return StatusNotFound;
}

/// Tells whether the worker can be reached, and answers where it cannot.
bool admitWorkerCall(Platform &Target, const WorkerId &Worker,
                     const httplib::Request &Request,
                     httplib::Response &Response) {
  if (!admitCall(Target, FaultPart::Workers, Worker.Value, Request, Response))
    return false;
  if (!Target.Faults.isOn(FaultPart::Workers, FaultKind::Die, Worker.Value))
    return true;
  answerJson(Response, StatusUnavailable, {{"error", "worker is dead"}});
  return false;
}

void takeOrder(Platform &Target, const httplib::Request &Request,
               httplib::Response &Response) {
  const WorkerId Worker{Request.matches[1]};
  const auto Order = decodeJson(Request.body, PlatformBounds, readWorkerOrder);
  if (Order.has_error())
    return answerFindings(Response, Order.error());
  if (!admitWorkerCall(Target, Worker, Request, Response))
    return;
  const bool RefuseHolds =
      Order.value().Kind == OrderKind::Hold &&
      Target.Faults.take(FaultPart::Workers, FaultKind::Refuse, Worker.Value)
          .has_value();
  const bool FailTasks =
      Order.value().Kind == OrderKind::Start &&
      Target.Faults.take(FaultPart::Workers, FaultKind::FailTasks, Worker.Value)
          .has_value();
  const OrderAnswer Answer = Target.Workers.order(
      Worker, Order.value(), Target.Time.monotonic(), RefuseHolds, FailTasks);
  answerJson(Response, statusOf(Answer), {{"answer", nameOf(Answer)}});
  loseAnswer(Target, FaultPart::Workers, Worker.Value, Request);
}

void giveReport(Platform &Target, const httplib::Request &Request,
                httplib::Response &Response) {
  const WorkerId Worker{Request.matches[1]};
  if (!admitWorkerCall(Target, Worker, Request, Response))
    return;
  const auto Report = Target.Workers.report(Worker, Target.Time.monotonic());
  if (Report.has_error())
    return answerJson(Response, StatusNotFound,
                      {{"error", Report.error().Message}});
  answerJson(Response, StatusOk, toJson(Report.value()));
}

void listWorkers(Platform &Target, const httplib::Request &Request,
                 httplib::Response &Response) {
  if (!admitCall(Target, FaultPart::Workers, "list", Request, Response))
    return;
  Response.set_content(encodeItems<WorkerInfo>(Target.Workers.workers()),
                       "application/json");
}

} // namespace

void addWorkerRoutes(httplib::Server &Http, Platform &Target) {
  Http.Get("/workers", [&Target](const auto &Request, auto &Response) {
    listWorkers(Target, Request, Response);
  });
  Http.Post(R"(/workers/([^/]+)/orders)",
            [&Target](const auto &Request, auto &Response) {
              takeOrder(Target, Request, Response);
            });
  Http.Get(R"(/workers/([^/]+)/report)",
           [&Target](const auto &Request, auto &Response) {
             giveReport(Target, Request, Response);
           });
}

} // namespace pistachioflow::standin
