#include <charconv>
#include <optional>

#include "pistachioflow/api/route_context.hpp"
#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using httplib::Request;
using httplib::Response;

constexpr int StatusOk = 200;
constexpr int StatusPreconditionRequired = 428;

std::optional<Revision> readRevision(std::string_view Text) {
  if (Text.size() >= 2 && Text.front() == '"' && Text.back() == '"')
    Text = Text.substr(1, Text.size() - 2);
  Revision Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

void answerMissingRevision(Response &Answer, const std::string &Found) {
  const Finding Missing{"If-Match",
                        "the revision that the edit is based on, a number",
                        Found.empty() ? "no such header" : Found};
  answerJson(Answer, StatusPreconditionRequired,
             {{"error", "invalid_input"},
              {"message", "an edit must name its revision"},
              {"findings", toJson(Findings{Missing})}});
}

void answerList(Response &Answer, Revision At, const nlohmann::json &List) {
  Answer.set_header("ETag", "\"" + std::to_string(At) + "\"");
  answerJson(Answer, StatusOk, List);
}

void answerEdit(Response &Answer, const Result<Revision> &Edited) {
  if (Edited.has_error()) {
    answerError(Answer, Edited.error());
    return;
  }
  answerList(Answer, Edited.value(), {{"revision", Edited.value()}});
}

void answerText(Response &Answer, const Result<std::string> &Text) {
  if (Text.has_error()) {
    answerError(Answer, Text.error());
    return;
  }
  answerJson(Answer, StatusOk, {{"text", Text.value()}});
}

JsonBounds boundsOf(const RouteContext &Context) {
  return {.MaxBytes = Context.Settings.MaxBodyBytes};
}

/// Reads the edit that a call carries and hands it to \p Use. \p ReadList reads
/// the body's list.
template <typename Edit, typename ReadList, typename Use>
void withEdit(const RouteContext &Context, const Request &Call,
              Response &Answer, ReadList Read, Use Handle) {
  const std::string Match = Call.get_header_value("If-Match");
  const std::optional<Revision> Base = readRevision(Match);
  if (!Base) {
    answerMissingRevision(Answer, Match);
    return;
  }
  auto List = decodeJson(Call.body, boundsOf(Context), Read);
  if (List.has_error()) {
    answerError(Answer, List.error());
    return;
  }
  Handle(Edit{*Base, std::move(List.value().Entries),
              Call.get_header_value("X-Operator")});
}

RecordId editId(const Request &Call) {
  return {Call.get_header_value("Idempotency-Key")};
}

void putPlans(const RouteContext &Context, const Request &Call,
              Response &Answer) {
  withEdit<PlansEdited>(
      Context, Call, Answer, readPlansList, [&](const PlansEdited &Edit) {
        answerEdit(Answer, Context.Handler.editPlans(Edit, editId(Call)));
      });
}

void putLimits(const RouteContext &Context, const Request &Call,
               Response &Answer) {
  withEdit<LimitsEdited>(
      Context, Call, Answer, readLimitsList, [&](const LimitsEdited &Edit) {
        answerEdit(Answer, Context.Handler.editLimits(Edit, editId(Call)));
      });
}

void tryPlans(const RouteContext &Context, const Request &Call,
              Response &Answer) {
  withEdit<PlansEdited>(Context, Call, Answer, readPlansList,
                        [&](const PlansEdited &Edit) {
                          answerText(Answer, Context.Handler.whatIfPlans(Edit));
                        });
}

void tryLimits(const RouteContext &Context, const Request &Call,
               Response &Answer) {
  withEdit<LimitsEdited>(
      Context, Call, Answer, readLimitsList, [&](const LimitsEdited &Edit) {
        answerText(Answer, Context.Handler.whatIfLimits(Edit));
      });
}

} // namespace

void addListRoutes(httplib::Server &Server, const RouteContext &Context) {
  Server.Get("/v1/plans", [&Context](const Request &, Response &Answer) {
    const PlansList List = Context.Handler.lists().Plans;
    answerList(Answer, List.At, toJson(List));
  });
  Server.Get("/v1/limits", [&Context](const Request &, Response &Answer) {
    const LimitsList List = Context.Handler.lists().Limits;
    answerList(Answer, List.At, toJson(List));
  });
  Server.Put("/v1/plans", [&Context](const Request &Call, Response &Answer) {
    putPlans(Context, Call, Answer);
  });
  Server.Put("/v1/limits", [&Context](const Request &Call, Response &Answer) {
    putLimits(Context, Call, Answer);
  });
  Server.Post("/v1/what-if/plans",
              [&Context](const Request &Call, Response &Answer) {
                tryPlans(Context, Call, Answer);
              });
  Server.Post("/v1/what-if/limits",
              [&Context](const Request &Call, Response &Answer) {
                tryLimits(Context, Call, Answer);
              });
}

} // namespace pistachioflow
