#include "pistachioflow/platform/desired_state_codec.hpp"

#include <utility>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

constexpr JsonBounds DocumentBounds{std::size_t{8} << 20U, 16, false};
constexpr std::size_t MaxQueues = 100'000;
/// Integers that a JSON number holds exactly.
constexpr IntegerRange NonNegative{0, std::int64_t{1} << 53U};
constexpr double MaxStretch = 1e6;

QueueConfig readQueue(ObjectReader &Reader) {
  QueueConfig Queue;
  Queue.Name = Reader.text("name", TextRule::Key);
  Queue.Host = Reader.text("host", TextRule::Host);
  Queue.PathPrefix = Reader.text("path_prefix", TextRule::Key);
  Queue.Public = Reader.flag("public", false);
  Queue.NeedsAdvice = Reader.has("advice");
  Queue.Terms.Service = Reader.text("service", TextRule::Key);
  Queue.Terms.Priority = Reader.integer("priority", NonNegative, 0);
  Queue.Terms.MaxAttempts = Reader.integer("max_attempts", NonNegative, 1);
  Queue.Terms.Stretch = Reader.number("stretch", 0.0, MaxStretch, 1.0);
  Queue.Terms.AllowanceMs =
      Reader.integer("target_duration_ms", NonNegative, 0);
  return Queue;
}

void readWorkspaces(const nlohmann::json &Document, DesiredState &State,
                    Findings &Problems) {
  const auto List = Document.find("tenants");
  if (List == Document.end() || !List->is_array())
    return;
  for (const nlohmann::json &Entry : *List) {
    ObjectReader Reader(Entry, "$.tenants[]", Problems);
    WorkspaceConfig Workspace;
    Workspace.Name = Reader.text("name", TextRule::Key);
    if (Reader.has("guaranteed"))
      Workspace.GuaranteedAccelerators =
          Reader.object("guaranteed").integer("gpus", NonNegative, 0);
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
  BOOST_OUTCOME_TRY(Document, parseJson(Text, DocumentBounds, "desired state"));
  Findings Problems;
  DesiredState State;
  ObjectReader Reader(Document, "$", Problems);
  State.Version = Reader.integer("version", NonNegative);
  for (ObjectReader &Queue : Reader.objects("routes", MaxQueues))
    State.Queues.push_back(readQueue(Queue));
  if (Reader.has("limits")) {
    ObjectReader Limits = Reader.object("limits");
    State.MaxHeaderBytes =
        Limits.integer("max_header_bytes", NonNegative, State.MaxHeaderBytes);
    State.MaxBodyBytes =
        Limits.integer("max_body_bytes", NonNegative, State.MaxBodyBytes);
    State.HeaderTimeoutMs =
        Limits.integer("header_timeout_ms", NonNegative, State.HeaderTimeoutMs);
    State.IdleTimeoutMs =
        Limits.integer("idle_timeout_ms", NonNegative, State.IdleTimeoutMs);
  }
  readWorkspaces(Document, State, Problems);
  if (!Problems.empty())
    return Error{ErrorCode::InvalidInput, "invalid desired state", Problems};
  return State;
}

} // namespace pistachioflow
