#include "pistachioflow/controller/config_check.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace pistachioflow {

namespace {

std::string placeOf(std::string_view List, std::size_t Index,
                    std::string_view Field) {
  return std::string(List) + "[" + std::to_string(Index) + "]." +
         std::string(Field);
}

std::set<PlanId> plansOf(std::span<const LimitsEntry> Limits) {
  std::set<PlanId> Names;
  for (const LimitsEntry &Entry : Limits)
    Names.insert(Entry.Plan);
  return Names;
}

std::uint64_t guaranteedAccelerators(const LimitsEntry &Entry) {
  std::uint64_t Sum = 0;
  for (const Guarantee &Item : Entry.Guarantees)
    Sum += std::uint64_t{Item.Count} * Item.Shape.Tasks *
           Item.Shape.AcceleratorsPerTask;
  return Sum;
}

void expectAtLeastOne(Findings &Found, std::string Place, std::uint64_t Value) {
  if (Value == 0)
    Found.push_back({std::move(Place), "at least 1", "0"});
}

void checkGuarantee(Findings &Found, const std::string &Place,
                    const Guarantee &Item) {
  expectAtLeastOne(Found, Place + ".count", Item.Count);
  expectAtLeastOne(Found, Place + ".shape.tasks", Item.Shape.Tasks);
  expectAtLeastOne(Found, Place + ".shape.acceleratorsPerTask",
                   Item.Shape.AcceleratorsPerTask);
}

void checkCeiling(Findings &Found, std::size_t Index,
                  const LimitsEntry &Entry) {
  const std::uint64_t Guaranteed = guaranteedAccelerators(Entry);
  if (Entry.CeilingAccelerators >= Guaranteed)
    return;
  Found.push_back({placeOf("limits", Index, "ceilingAccelerators"),
                   "at least the " + std::to_string(Guaranteed) +
                       " accelerators of the guarantees",
                   std::to_string(Entry.CeilingAccelerators)});
}

void checkLimitsEntry(Findings &Found, std::size_t Index,
                      const LimitsEntry &Entry) {
  expectAtLeastOne(Found, placeOf("limits", Index, "weight"), Entry.Weight);
  for (std::size_t At = 0; At < Entry.Guarantees.size(); ++At)
    checkGuarantee(
        Found,
        placeOf("limits", Index, "guarantees[" + std::to_string(At) + "]"),
        Entry.Guarantees[At]);
  checkCeiling(Found, Index, Entry);
}

} // namespace

Findings checkPlans(std::span<const PlanEntry> Entries,
                    std::span<const LimitsEntry> Limits) {
  Findings Found;
  const std::set<PlanId> Known = plansOf(Limits);
  std::set<WorkspaceId> Seen;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const PlanEntry &Entry = Entries[Index];
    const std::string Place = placeOf("plans", Index, "workspace");
    if (Entry.Workspace.empty())
      Found.push_back({Place, "a name", "nothing"});
    if (!Seen.insert(Entry.Workspace).second)
      Found.push_back({Place, "each workspace once", Entry.Workspace.Value});
    if (!Known.contains(Entry.Plan))
      Found.push_back({placeOf("plans", Index, "plan"),
                       "a plan of the list of limits", Entry.Plan.Value});
  }
  return Found;
}

Findings checkLimits(std::span<const LimitsEntry> Entries,
                     std::span<const PlanEntry> Plans) {
  Findings Found;
  std::set<PlanId> Seen;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const LimitsEntry &Entry = Entries[Index];
    const std::string Place = placeOf("limits", Index, "plan");
    if (Entry.Plan.empty())
      Found.push_back({Place, "a name", "nothing"});
    if (!Seen.insert(Entry.Plan).second)
      Found.push_back({Place, "each plan once", Entry.Plan.Value});
    checkLimitsEntry(Found, Index, Entry);
  }
  for (const PlanEntry &Entry : Plans) {
    if (!Seen.contains(Entry.Plan))
      Found.push_back(
          {"limits",
           "limits for the plan of workspace " + Entry.Workspace.Value,
           "no entry for " + Entry.Plan.Value});
  }
  return Found;
}

} // namespace pistachioflow
