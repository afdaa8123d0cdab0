#include <charconv>

#include "pistachioflow/api/route_context.hpp"
#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

json nodeJson(const NodeStatus &Node) {
  return {{"instance", Node.Instance.Value},
          {"domain", Node.Domain.Value},
          {"address", Node.HttpAddress},
          {"reachable", Node.Reachable},
          {"leaving", Node.Leaving},
          {"log_reachable", Node.LogReachable},
          {"plans_in_force", Node.PlansInForce},
          {"limits_in_force", Node.LimitsInForce},
          {"owns", Node.Owns}};
}

std::string inForceOn(const NodesView &View, Revision NodeStatus::*InForce,
                      Revision Accepted) {
  std::size_t Count = 0;
  for (const NodeStatus &Node : View.Nodes)
    Count += Node.Reachable && Node.*InForce >= Accepted ? 1 : 0;
  return std::to_string(Count) + " of " + std::to_string(View.Nodes.size());
}

void showNodes(const RouteContext &Context, Response &Answer) {
  const NodesView View = Context.Handler.nodes();
  json Nodes = json::array();
  for (const NodeStatus &Node : View.Nodes)
    Nodes.push_back(nodeJson(Node));
  answerJson(Answer, StatusOk,
             {{"plans_accepted", View.PlansAccepted},
              {"limits_accepted", View.LimitsAccepted},
              {"plans_in_force_on",
               inForceOn(View, &NodeStatus::PlansInForce, View.PlansAccepted)},
              {"limits_in_force_on", inForceOn(View, &NodeStatus::LimitsInForce,
                                               View.LimitsAccepted)},
              {"nodes", Nodes}});
}

/// Reads the query of a time line into \p Query; returns what is wrong with it.
Findings readQuery(const Request &Call, TimelineQuery &Query) {
  Findings Found;
  if (Call.has_param("kind")) {
    const std::string Name = Call.get_param_value("kind");
    const auto Kind = enumFromName<SubjectKind>(Name);
    if (!Kind)
      Found.push_back({"kind", "the kind of a subject", Name});
    Query.Kind = Kind.value_or(SubjectKind::Job);
    Query.AnyKind = false;
  }
  Query.Subject = Call.get_param_value("subject");
  if (Call.has_param("since")) {
    const std::string Text = Call.get_param_value("since");
    const char *End = Text.data() + Text.size();
    const auto Read = std::from_chars(Text.data(), End, Query.Since.Ms);
    if (Read.ec != std::errc() || Read.ptr != End)
      Found.push_back({"since", "milliseconds since the Unix epoch", Text});
  }
  return Found;
}

void showTimeline(const RouteContext &Context, const Request &Call,
                  Response &Answer) {
  TimelineQuery Query;
  Findings Found = readQuery(Call, Query);
  if (!Found.empty()) {
    answerError(Answer, {ErrorCode::InvalidInput, "invalid query", Found});
    return;
  }
  const TimelineView View = Context.Handler.timeline(Query);
  json Events = json::array();
  for (const TimelineEvent &Item : View.Events)
    Events.push_back(toJson(Item));
  answerJson(Answer, StatusOk,
             {{"events", Events},
              {"missing", View.Missing},
              {"dropped", View.Dropped}});
}

void showExplanation(const RouteContext &Context, const Request &Call,
                     Response &Answer) {
  const std::string Name = Call.matches[1];
  const auto Kind = enumFromName<SubjectKind>(Name);
  if (!Kind) {
    answerError(Answer, {ErrorCode::InvalidInput,
                         "invalid path",
                         {{"kind", "the kind of a subject", Name}}});
    return;
  }
  const Result<std::string> Text =
      Context.Handler.explain(*Kind, Call.matches[2]);
  if (Text.has_error()) {
    answerError(Answer, Text.error());
    return;
  }
  answerJson(Answer, StatusOk, {{"text", Text.value()}});
}

void showReadiness(const RouteContext &Context, Response &Answer) {
  const bool Ready = Context.Handler.ready();
  answerJson(Answer, Ready ? StatusOk : StatusUnavailable, {{"ready", Ready}});
}

} // namespace

void addInspectRoutes(httplib::Server &Server, const RouteContext &Context) {
  Server.Get("/healthz", [](const Request &, Response &Answer) {
    answerJson(Answer, StatusOk, {{"healthy", true}});
  });
  Server.Get("/readyz", [&Context](const Request &, Response &Answer) {
    showReadiness(Context, Answer);
  });
  Server.Get("/metrics", [&Context](const Request &, Response &Answer) {
    Answer.set_content(Context.Handler.metrics(), "text/plain; version=0.0.4");
  });
  Server.Get("/v1/nodes", [&Context](const Request &, Response &Answer) {
    showNodes(Context, Answer);
  });
  Server.Get("/v1/timeline", [&Context](const Request &Call, Response &Answer) {
    showTimeline(Context, Call, Answer);
  });
  Server.Get(R"(/v1/explain/([^/]+)/([^/]+))",
             [&Context](const Request &Call, Response &Answer) {
               showExplanation(Context, Call, Answer);
             });
}

} // namespace pistachioflow
