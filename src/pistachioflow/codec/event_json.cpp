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
  EntryRef Value;
  Value.List = In.choice<ListKind>("list");
  Value.Key = In.text("key", TextRule::Free);
  Value.At = static_cast<Revision>(In.integer("revision", {}));
  In.finish();
  return Value;
}

json toJson(const Quantity &Value) {
  return {{"measure", nameOf(Value.What)}, {"value", Value.Value}};
}

Quantity readQuantity(ObjectReader In) {
  Quantity Value;
  Value.What = In.choice<Measure>("measure");
  Value.Value = In.integer("value", AnyInteger);
  In.finish();
  return Value;
}

json toJson(const SubjectRef &Value) {
  return {{"kind", nameOf(Value.Kind)}, {"name", Value.Name}};
}

SubjectRef readSubjectRef(ObjectReader In) {
  SubjectRef Value;
  Value.Kind = In.choice<SubjectKind>("kind");
  Value.Name = In.text("name", TextRule::Free);
  In.finish();
  return Value;
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
  Reason Value;
  Value.Code = In.choice<ReasonCode>("code");
  for (const ObjectReader &Item : In.objects("entries", MaxItems))
    Value.Entries.push_back(readEntryRef(Item));
  for (const ObjectReader &Item : In.objects("numbers", MaxItems))
    Value.Numbers.push_back(readQuantity(Item));
  Value.PassedOver = In.text("passed_over", TextRule::Free, "");
  In.finish();
  return Value;
}

json toJson(const RequestOutcome &Value) {
  return {{"state", nameOf(Value.State)},
          {"runner", Value.Runner.Value},
          {"body", Value.Body},
          {"reason", toJson(Value.Why)}};
}

RequestOutcome readRequestOutcome(ObjectReader In) {
  RequestOutcome Value;
  Value.State = In.choice<RequestState>("state");
  Value.Runner.Value = In.text("runner", TextRule::Free);
  Value.Body = In.text("body", TextRule::Free);
  Value.Why = readReason(In.object("reason"));
  In.finish();
  return Value;
}

CallerRequest readCallerRequest(ObjectReader In, Instant Now) {
  CallerRequest Value;
  if (In.has("request"))
    Value.Request.Value = In.text("request", TextRule::Identifier);
  Value.Workspace.Value = In.text("workspace", TextRule::Identifier);
  Value.Class = In.choice<RequestClass>("class", RequestClass::RoundPairing);
  if (In.has("key"))
    Value.Key = In.text("key", TextRule::Key);
  Value.NonIdempotent = In.flag("non_idempotent", false);
  Value.Deadline = Now + Duration{In.integer("deadline_ms", DeadlineMs)};
  Value.Body = In.text("body", TextRule::Free);
  if (Value.NonIdempotent && !In.has("key"))
    In.report("key", "a key, since non_idempotent is true", "nothing");
  In.finish();
  return Value;
}

json toJson(const TimelineEvent &Value) {
  json RelatedSubjects = json::array();
  for (const SubjectRef &Item : Value.RelatedSubjects)
    RelatedSubjects.push_back(toJson(Item));
  return {{"wall_ms", Value.Wall.Ms},     {"instance", Value.Instance.Value},
          {"stream", Value.Stream.Value}, {"offset", Value.At},
          {"epoch", Value.OwnerEpoch},    {"kind", nameOf(Value.Kind)},
          {"subject", Value.Subject},     {"what", Value.What},
          {"reason", toJson(Value.Why)},  {"also", std::move(RelatedSubjects)}};
}

TimelineEvent readTimelineEvent(ObjectReader In) {
  TimelineEvent Value;
  Value.Wall.Ms = In.integer("wall_ms", AnyInteger);
  Value.Instance.Value = In.text("instance", TextRule::Free);
  Value.Stream.Value = In.text("stream", TextRule::Free);
  Value.At = static_cast<std::uint64_t>(In.integer("offset", {}));
  Value.OwnerEpoch = static_cast<Epoch>(In.integer("epoch", {}));
  Value.Kind = In.choice<SubjectKind>("kind");
  Value.Subject = In.text("subject", TextRule::Free);
  Value.What = In.text("what", TextRule::Free);
  Value.Why = readReason(In.object("reason"));
  for (const ObjectReader &Item : In.objects("also", MaxItems, false))
    Value.RelatedSubjects.push_back(readSubjectRef(Item));
  In.finish();
  return Value;
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
  Findings Value;
  for (ObjectReader Reader : In.objects(Key, MaxItems, false)) {
    Finding Item;
    Item.Place = Reader.text("place", TextRule::Free);
    Item.Expected = Reader.text("expected", TextRule::Free);
    Item.Found = Reader.text("found", TextRule::Free);
    Value.push_back(std::move(Item));
  }
  return Value;
}

} // namespace pistachioflow
