#include "pistachioflow/api/route_context.hpp"
#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using httplib::Request;
using httplib::Response;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;

nlohmann::json viewJson(const JobView &View) {
  const policy::JobState &State = View.State;
  nlohmann::json Placements = nlohmann::json::array();
  for (const Placement &Item : State.Placements)
    Placements.push_back(toJson(Item));
  return {{"job", State.Spec.Job.Value},
          {"workspace", State.Spec.Workspace.Value},
          {"phase", toString(State.Phase)},
          {"attempt", State.Try},
          {"borrowed", State.Borrowed},
          {"cell", View.Cell.Value},
          {"placements", Placements},
          {"submitted_at_ms", State.SubmittedAt.Ms},
          {"started_at_ms", State.StartedAt.Ms}};
}

void submitJob(const RouteContext &Context, const Request &Call,
               Response &Answer) {
  const auto Spec = decodeJson(
      Call.body, {.MaxBytes = Context.Settings.MaxBodyBytes}, readJobSpec);
  if (Spec.has_error()) {
    answerError(Answer, Spec.error());
    return;
  }
  const Result<void> Submitted = Context.Handler.submit(Spec.value());
  if (Submitted.has_error()) {
    answerError(Answer, Submitted.error());
    return;
  }
  answerJson(Answer, StatusAccepted, {{"job", Spec.value().Job.Value}});
}

void cancelJob(const RouteContext &Context, const Request &Call,
               Response &Answer) {
  const std::string Name = Call.matches[1];
  const Result<void> Cancelled = Context.Handler.cancel({Name});
  if (Cancelled.has_error()) {
    answerError(Answer, Cancelled.error());
    return;
  }
  answerJson(Answer, StatusAccepted, {{"job", Name}});
}

void showJob(const RouteContext &Context, const Request &Call,
             Response &Answer) {
  const Result<JobView> View = Context.Handler.job({Call.matches[1]});
  if (View.has_error()) {
    answerError(Answer, View.error());
    return;
  }
  answerJson(Answer, StatusOk, viewJson(View.value()));
}

void showJobs(const RouteContext &Context, Response &Answer) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const JobView &View : Context.Handler.jobs())
    Rows.push_back(viewJson(View));
  answerJson(Answer, StatusOk, {{"jobs", Rows}});
}

} // namespace

void addJobRoutes(httplib::Server &Server, const RouteContext &Context) {
  Server.Get("/v1/jobs", [&Context](const Request &, Response &Answer) {
    showJobs(Context, Answer);
  });
  Server.Post("/v1/jobs", [&Context](const Request &Call, Response &Answer) {
    submitJob(Context, Call, Answer);
  });
  Server.Get(R"(/v1/jobs/([^/]+))",
             [&Context](const Request &Call, Response &Answer) {
               showJob(Context, Call, Answer);
             });
  Server.Delete(R"(/v1/jobs/([^/]+))",
                [&Context](const Request &Call, Response &Answer) {
                  cancelJob(Context, Call, Answer);
                });
}

} // namespace pistachioflow
