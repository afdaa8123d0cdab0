#include <algorithm>
#include <set>
#include <string>

#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow {

namespace {

using nlohmann::json;

constexpr std::size_t MaxEntries = 10'000;
constexpr std::size_t MaxGuarantees = 100;
constexpr IntegerRange TaskRange{1, 10'000};
constexpr IntegerRange AcceleratorRange{0, 1'000};
constexpr IntegerRange CoreRange{0, 100'000};
constexpr IntegerRange MemoryMbRange{0, 100'000'000};
constexpr IntegerRange CeilingRange{0, 10'000'000};
constexpr IntegerRange WeightRange{1, 1'000'000};
constexpr IntegerRange RateRange{0, 1'000'000};

std::uint32_t readNumber(ObjectReader &In, std::string_view Key,
                         IntegerRange Range,
                         std::optional<std::int64_t> Default = std::nullopt) {
  return static_cast<std::uint32_t>(In.integer(Key, Range, Default));
}

json toJson(const Guarantee &Value) {
  return {{"shape", pistachioflow::toJson(Value.Shape)},
          {"count", Value.Count}};
}

json toJson(const LimitsEntry &Value) {
  json Guarantees = json::array();
  for (const Guarantee &Item : Value.Guarantees)
    Guarantees.push_back(toJson(Item));
  return {{"plan", Value.Plan.Value},
          {"guarantees", std::move(Guarantees)},
          {"ceiling_accelerators", Value.CeilingAccelerators},
          {"weight", Value.Weight},
          {"allows_urgent", Value.AllowsUrgent},
          {"requests_per_second", Value.RequestsPerSecond},
          {"concurrent_requests", Value.ConcurrentRequests}};
}

Guarantee readGuarantee(ObjectReader In) {
  Guarantee Value;
  Value.Shape = readGangShape(In.object("shape"));
  Value.Count = readNumber(In, "count", TaskRange, 1);
  In.finish();
  return Value;
}

/// Returns the sum of the guaranteed accelerators, without overflow.
std::uint64_t guaranteedAccelerators(const LimitsEntry &Entry) {
  std::uint64_t Sum = 0;
  for (const Guarantee &Item : Entry.Guarantees)
    Sum += std::uint64_t{Item.Count} * Item.Shape.Tasks *
           Item.Shape.AcceleratorsPerTask;
  return Sum;
}

LimitsEntry readLimitsEntry(ObjectReader In) {
  LimitsEntry Value;
  Value.Plan.Value = In.text("plan", TextRule::Identifier);
  for (const ObjectReader &Item :
       In.objects("guarantees", MaxGuarantees, false))
    Value.Guarantees.push_back(readGuarantee(Item));
  Value.CeilingAccelerators =
      readNumber(In, "ceiling_accelerators", CeilingRange);
  Value.Weight = readNumber(In, "weight", WeightRange, 1);
  Value.AllowsUrgent = In.flag("allows_urgent", false);
  Value.RequestsPerSecond = readNumber(In, "requests_per_second", RateRange, 0);
  Value.ConcurrentRequests =
      readNumber(In, "concurrent_requests", RateRange, 0);
  if (guaranteedAccelerators(Value) > Value.CeilingAccelerators)
    In.report("ceiling_accelerators",
              "at least the guaranteed " +
                  std::to_string(guaranteedAccelerators(Value)),
              std::to_string(Value.CeilingAccelerators));
  In.finish();
  return Value;
}

PlanEntry readPlanEntry(ObjectReader In) {
  PlanEntry Value;
  Value.Workspace.Value = In.text("workspace", TextRule::Identifier);
  Value.Plan.Value = In.text("plan", TextRule::Identifier);
  In.finish();
  return Value;
}

/// Reports \p Value if it is already in \p Keys, else adds it.
void requireUnique(ObjectReader In, std::string_view Key,
                   const std::string &Value, std::set<std::string> &Keys) {
  if (!Value.empty() && !Keys.insert(Value).second)
    In.report(Key, "a unique value", "\"" + Value + "\" again");
}

} // namespace

json toJson(const GangShape &Value) {
  return {{"tasks", Value.Tasks},
          {"accelerators_per_task", Value.AcceleratorsPerTask},
          {"cores_per_task", Value.CoresPerTask},
          {"memory_mb_per_task", Value.MemoryMbPerTask},
          {"adjacency", nameOf(Value.RequiredAdjacency)}};
}

GangShape readGangShape(ObjectReader In) {
  GangShape Value;
  Value.Tasks = readNumber(In, "tasks", TaskRange);
  Value.AcceleratorsPerTask =
      readNumber(In, "accelerators_per_task", AcceleratorRange, 0);
  Value.CoresPerTask = readNumber(In, "cores_per_task", CoreRange, 1);
  Value.MemoryMbPerTask =
      readNumber(In, "memory_mb_per_task", MemoryMbRange, 0);
  Value.RequiredAdjacency =
      In.choice<Adjacency>("adjacency", Adjacency::SameRack);
  In.finish();
  return Value;
}

json toJson(const PlansList &Value) {
  json Entries = json::array();
  for (const PlanEntry &Entry : Value.Entries)
    Entries.push_back(
        {{"workspace", Entry.Workspace.Value}, {"plan", Entry.Plan.Value}});
  return {{"revision", Value.At}, {"entries", std::move(Entries)}};
}

json toJson(const LimitsList &Value) {
  json Entries = json::array();
  for (const LimitsEntry &Entry : Value.Entries)
    Entries.push_back(toJson(Entry));
  return {{"revision", Value.At}, {"entries", std::move(Entries)}};
}

PlansList readPlansList(ObjectReader In) {
  PlansList Value;
  std::set<std::string> Keys;
  Value.At = static_cast<Revision>(In.integer("revision", {}, 0));
  for (const ObjectReader &Item : In.objects("entries", MaxEntries)) {
    Value.Entries.push_back(readPlanEntry(Item));
    requireUnique(Item, "workspace", Value.Entries.back().Workspace.Value,
                  Keys);
  }
  In.finish();
  return Value;
}

LimitsList readLimitsList(ObjectReader In) {
  LimitsList Value;
  std::set<std::string> Keys;
  Value.At = static_cast<Revision>(In.integer("revision", {}, 0));
  for (const ObjectReader &Item : In.objects("entries", MaxEntries)) {
    Value.Entries.push_back(readLimitsEntry(Item));
    requireUnique(Item, "plan", Value.Entries.back().Plan.Value, Keys);
  }
  In.finish();
  return Value;
}

} // namespace pistachioflow
