#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using nlohmann::json;

constexpr std::size_t MaxItems = 100'000;
constexpr IntegerRange DeadlineMs{1, 24LL * 3'600 * 1'000};
constexpr IntegerRange AnyInteger{std::numeric_limits<std::int64_t>::min(),
                                  std::numeric_limits<std::int64_t>::max()};

json toJson(const EntryRef &Value) {
  return {
      {"list", nameOf(Value.List)}, {"key", Value.Key}, {"revision", Value.At}};
}

EntryRef readEntryRef(ObjectReader In) {
  EntryRef Read;
  Read.List = In.choice<ListKind>("list");
  Read.Key = In.text("key", TextRule::Free);
  Read.At = static_cast<Revision>(In.integer("revision", {}));
  In.finish();
  return Read;
}

json toJson(const Quantity &Value) {
  return {{"measure", nameOf(Value.What)}, {"value", Value.Value}};
}

Quantity readQuantity(ObjectReader In) {
  Quantity Read;
  Read.What = In.choice<Measure>("measure");
  Read.Value = In.integer("value", AnyInteger);
  In.finish();
  return Read;
}

json toJson(const SubjectRef &Value) {
  return {{"kind", nameOf(Value.Kind)}, {"name", Value.Name}};
}

SubjectRef readSubjectRef(ObjectReader In) {
  SubjectRef Read;
  Read.Kind = In.choice<SubjectKind>("kind");
  Read.Name = In.text("name", TextRule::Free);
  In.finish();
  return Read;
}

} // namespace

json toJson(const Reason &Value) {
  json Entries = json::array();
  for (const EntryRef &Item : Value.Entries)
    Entries.push_back(toJson(Item));
  json Numbers = json::array();
  for (const Quantity &Item : Value.Numbers)
    Numbers.push_back(toJson(Item));
  return {{"code", nameOf(Value.Code)},
          {"entries", std::move(Entries)},
          {"numbers", std::move(Numbers)},
          {"passed_over", Value.PassedOver}};
}

Reason readReason(ObjectReader In) {
  Reason Read;
  Read.Code = In.choice<ReasonCode>("code");
  for (const ObjectReader &Item : In.objects("entries", MaxItems))
    Read.Entries.push_back(readEntryRef(Item));
  for (const ObjectReader &Item : In.objects("numbers", MaxItems))
    Read.Numbers.push_back(readQuantity(Item));
  Read.PassedOver = In.text("passed_over", TextRule::Free, "");
  In.finish();
  return Read;
}

json toJson(const RequestOutcome &Value) {
  return {{"state", nameOf(Value.State)},
          {"runner", Value.Runner.Value},
          {"body", Value.Body},
          {"reason", toJson(Value.Why)}};
}

RequestOutcome readRequestOutcome(ObjectReader In) {
  RequestOutcome Read;
  Read.State = In.choice<RequestState>("state");
  Read.Runner.Value = In.text("runner", TextRule::Free);
  Read.Body = In.text("body", TextRule::Free);
  Read.Why = readReason(In.object("reason"));
  In.finish();
  return Read;
}

CallerRequest readCallerRequest(ObjectReader In, Instant Now) {
  CallerRequest Read;
  if (In.has("request"))
    Read.Request.Value = In.text("request", TextRule::Identifier);
  Read.Workspace.Value = In.text("workspace", TextRule::Identifier);
  Read.Class = In.choice<RequestClass>("class", RequestClass::RoundPairing);
  if (In.has("key"))
    Read.Key = In.text("key", TextRule::Key);
  Read.NonIdempotent = In.flag("non_idempotent", false);
  Read.Deadline = Now + Duration{In.integer("deadline_ms", DeadlineMs)};
  Read.Body = In.text("body", TextRule::Free);
  if (Read.NonIdempotent && !In.has("key"))
    In.report("key", "a key, since non_idempotent is true", "nothing");
  In.finish();
  return Read;
}

json toJson(const TimelineEvent &Value) {
  json Also = json::array();
  for (const SubjectRef &Item : Value.RelatedSubjects)
    Also.push_back(toJson(Item));
  return {{"wall_ms", Value.Wall.Ms},     {"instance", Value.Instance.Value},
          {"stream", Value.Stream.Value}, {"offset", Value.At},
          {"epoch", Value.OwnerEpoch},    {"kind", nameOf(Value.Kind)},
          {"subject", Value.Subject},     {"what", Value.What},
          {"reason", toJson(Value.Why)},  {"also", std::move(Also)}};
}

TimelineEvent readTimelineEvent(ObjectReader In) {
  TimelineEvent Read;
  Read.Wall.Ms = In.integer("wall_ms", AnyInteger);
  Read.Instance.Value = In.text("instance", TextRule::Free);
  Read.Stream.Value = In.text("stream", TextRule::Free);
  Read.At = static_cast<std::uint64_t>(In.integer("offset", {}));
  Read.OwnerEpoch = static_cast<Epoch>(In.integer("epoch", {}));
  Read.Kind = In.choice<SubjectKind>("kind");
  Read.Subject = In.text("subject", TextRule::Free);
  Read.What = In.text("what", TextRule::Free);
  Read.Why = readReason(In.object("reason"));
  for (const ObjectReader &Item : In.objects("also", MaxItems, false))
    Read.RelatedSubjects.push_back(readSubjectRef(Item));
  In.finish();
  return Read;
}

json toJson(const Findings &Value) {
  json Items = json::array();
  for (const Finding &Item : Value)
    Items.push_back({{"place", Item.Place},
                     {"expected", Item.Expected},
                     {"found", Item.Found}});
  return Items;
}

Findings readFindings(ObjectReader &In, std::string_view Key) {
  Findings Read;
  for (ObjectReader Item : In.objects(Key, MaxItems, false)) {
    Finding One;
    One.Place = Item.text("place", TextRule::Free);
    One.Expected = Item.text("expected", TextRule::Free);
    One.Found = Item.text("found", TextRule::Free);
    Read.push_back(std::move(One));
  }
  return Read;
}

} // namespace pistachioflow
