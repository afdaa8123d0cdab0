#include <string>
#include <utility>

#include <httplib.h>

#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow::standin {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr IntegerRange CountRange{0, 100'000'000};

json toJson(const OrderEntry &Value) {
  return {{"worker", Value.Worker.Value},
          {"order", pistachioflow::toJson(Value.Order)},
          {"answer", nameOf(Value.Answer)},
          {"at_ms", Value.At.Ms}};
}

json toJson(const RunInterval &Value) {
  return {{"worker", Value.Worker.Value},
          {"job", Value.Job.Value},
          {"attempt", Value.Try},
          {"tasks", Value.Tasks},
          {"accelerators", Value.Accelerators},
          {"epoch", Value.Fence},
          {"from_ms", Value.From.Ms},
          {"to_ms", Value.To.Ms},
          {"end", nameOf(Value.End)}};
}

json toJson(const RequestRun &Value) {
  return {{"runner", Value.Runner.Value},
          {"request", Value.Request.Value},
          {"workspace", Value.Workspace.Value},
          {"key", Value.Key},
          {"non_idempotent", Value.NonIdempotent},
          {"from_ms", Value.From.Ms},
          {"to_ms", Value.To.Ms},
          {"ended", Value.Ended}};
}

template <typename Item>
void answerItems(httplib::Response &Response, const std::vector<Item> &Items) {
  json Array = json::array();
  for (const Item &Entry : Items)
    Array.push_back(toJson(Entry));
  answerJson(Response, StatusOk, {{"items", std::move(Array)}});
}

JobBehaviour readBehaviour(ObjectReader In, const JobId &Job) {
  JobBehaviour Read;
  Read.Job = Job;
  Read.RunTime.Ms = In.integer("run_ms", CountRange, Read.RunTime.Ms);
  Read.Fails = In.flag("fails", false);
  Read.CoresPerTask =
      static_cast<std::uint32_t>(In.integer("cores_per_task", CountRange, 0));
  Read.MemoryMbPerTask = static_cast<std::uint32_t>(
      In.integer("memory_mb_per_task", CountRange, 0));
  In.finish();
  return Read;
}

void putBehaviour(Platform &Target, const httplib::Request &Request,
                  httplib::Response &Response) {
  const JobId Job{Request.matches[1]};
  const auto Read =
      decodeJson(Request.body, PlatformBounds, [&Job](ObjectReader In) {
        return readBehaviour(std::move(In), Job);
      });
  if (Read.has_error())
    return answerFindings(Response, Read.error());
  Target.Workers.setBehaviour(Read.value());
  answerJson(Response, StatusOk, json::object());
}

void putInstances(Platform &Target, const httplib::Request &Request,
                  httplib::Response &Response) {
  auto Read = decodeItems(Request.body, readListedInstance);
  if (Read.has_error())
    return answerFindings(Response, Read.error());
  Target.Instances.put(std::move(Read.value()), Target.Time.monotonic());
  answerJson(Response, StatusOk, json::object());
}

void listInstances(Platform &Target, const httplib::Request &Request,
                   httplib::Response &Response) {
  if (!admitCall(Target, FaultPart::Instances, "", Request, Response))
    return;
  Response.set_content(encodeItems<ListedInstance>(
                           Target.Instances.shown(Target.Time.monotonic())),
                       "application/json");
}

void postFault(Platform &Target, const httplib::Request &Request,
               httplib::Response &Response) {
  const auto Read = decodeJson(Request.body, PlatformBounds, readFault);
  if (Read.has_error())
    return answerFindings(Response, Read.error());
  addFault(Target, Read.value());
  answerJson(Response, StatusOk, json::object());
}

void addFaultRoutes(httplib::Server &Http, Platform &Target) {
  Http.Post("/faults", [&Target](const auto &Request, auto &Response) {
    postFault(Target, Request, Response);
  });
  Http.Get("/faults", [&Target](const auto &, auto &Response) {
    answerItems(Response, Target.Faults.list());
  });
  Http.Delete("/faults", [&Target](const auto &, auto &Response) {
    Target.Faults.clear();
    answerJson(Response, StatusOk, json::object());
  });
}

void addHistoryRoutes(httplib::Server &Http, Platform &Target) {
  Http.Get("/history/orders", [&Target](const auto &, auto &Response) {
    answerItems(Response, Target.Workers.orders());
  });
  Http.Get("/history/tasks", [&Target](const auto &, auto &Response) {
    answerItems(Response, Target.Workers.runs(Target.Time.monotonic()));
  });
  Http.Get("/history/requests", [&Target](const auto &, auto &Response) {
    answerItems(Response, Target.Runners.runs());
  });
}

} // namespace

void addControlRoutes(httplib::Server &Http, Platform &Target) {
  addFaultRoutes(Http, Target);
  addHistoryRoutes(Http, Target);
  Http.Put("/instances", [&Target](const auto &Request, auto &Response) {
    putInstances(Target, Request, Response);
  });
  Http.Get("/instances", [&Target](const auto &Request, auto &Response) {
    listInstances(Target, Request, Response);
  });
  Http.Put(R"(/jobs/([^/]+)/behaviour)",
           [&Target](const auto &Request, auto &Response) {
             putBehaviour(Target, Request, Response);
           });
  Http.Get("/healthz", [](const auto &, auto &Response) {
    Response.set_content("ok\n", "text/plain");
  });
}

} // namespace pistachioflow::standin
