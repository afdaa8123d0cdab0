#include "pistachioflow/platform/desired_state_codec.hpp"

#include <utility>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds StateBounds{std::size_t{8} << 20U, 16, false};
constexpr std::size_t MaxQueues = 100'000;
constexpr IntegerRange Any{0, std::int64_t{1} << 53U};
constexpr double MaxStretch = 1e6;

QueueConfig readQueue(ObjectReader &In) {
  QueueConfig Queue;
  Queue.Name = In.text("name", TextRule::Key);
  Queue.Host = In.text("host", TextRule::Host);
  Queue.PathPrefix = In.text("path_prefix", TextRule::Key);
  Queue.Public = In.flag("public", false);
  Queue.NeedsAdvice = In.has("advice");
  Queue.Terms.Service = In.text("service", TextRule::Key);
  Queue.Terms.Priority = In.integer("priority", Any, 0);
  Queue.Terms.MaxAttempts = In.integer("max_attempts", Any, 1);
  Queue.Terms.Stretch = In.number("stretch", 0.0, MaxStretch, 1.0);
  Queue.Terms.AllowanceMs = In.integer("target_duration_ms", Any, 0);
  return Queue;
}

void readWorkspaces(const nlohmann::json &Document, DesiredState &State,
                    Findings &Found) {
  const auto List = Document.find("tenants");
  if (List == Document.end() || !List->is_array())
    return;
  for (const nlohmann::json &Entry : *List) {
    ObjectReader In(Entry, "$.tenants[]", Found);
    WorkspaceConfig Workspace;
    Workspace.Name = In.text("name", TextRule::Key);
    if (In.has("guaranteed"))
      Workspace.GuaranteedAccelerators =
          In.object("guaranteed").integer("gpus", Any, 0);
    const auto Keys = Entry.find("api_keys");
    if (Keys != Entry.end() && Keys->is_array())
      for (const nlohmann::json &Key : *Keys)
        if (Key.is_string())
          Workspace.Keys.push_back(Key.get<std::string>());
    for (const std::string &Key : Workspace.Keys)
      State.WorkspaceByKey[Key] = Workspace.Name;
    State.Workspaces.push_back(std::move(Workspace));
  }
}

} // namespace

Result<DesiredState> decodeDesiredState(std::string_view Text) {
  BOOST_OUTCOME_TRY(Document, parseJson(Text, StateBounds, "desired state"));
  Findings Found;
  DesiredState State;
  ObjectReader In(Document, "$", Found);
  State.Version = In.integer("version", Any);
  for (ObjectReader &Queue : In.objects("routes", MaxQueues))
    State.Queues.push_back(readQueue(Queue));
  if (In.has("limits")) {
    ObjectReader Limits = In.object("limits");
    State.MaxHeaderBytes =
        Limits.integer("max_header_bytes", Any, State.MaxHeaderBytes);
    State.MaxBodyBytes =
        Limits.integer("max_body_bytes", Any, State.MaxBodyBytes);
    State.HeaderTimeoutMs =
        Limits.integer("header_timeout_ms", Any, State.HeaderTimeoutMs);
    State.IdleTimeoutMs =
        Limits.integer("idle_timeout_ms", Any, State.IdleTimeoutMs);
  }
  readWorkspaces(Document, State, Found);
  if (!Found.empty())
    return Error{ErrorCode::InvalidInput, "invalid desired state", Found};
  return State;
}

} // namespace pistachioflow
