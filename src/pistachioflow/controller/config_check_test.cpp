#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "pistachioflow/controller/config_check.hpp"

using namespace pistachioflow;

namespace {

constexpr std::uint32_t Huge = 4'000'000'000;

LimitsEntry limits(const char *Plan, std::uint32_t Count, std::uint32_t Tasks,
                   std::uint32_t Ceiling, std::uint32_t Weight = 1) {
  GangShape Shape;
  Shape.Tasks = Tasks;
  Shape.AcceleratorsPerTask = 8;
  return {{Plan}, {{Shape, Count}}, Ceiling, Weight, false, 0, 0};
}

std::vector<std::string> placesOf(const Findings &Found) {
  std::vector<std::string> Places;
  for (const Finding &Item : Found)
    Places.push_back(Item.Place);
  return Places;
}

using Places = std::vector<std::string>;

} // namespace

TEST_CASE("every broken rule of the plans is reported with its place") {
  const auto [Name, Entries, Expected] =
      GENERATE(table<const char *, std::vector<PlanEntry>, Places>({
          {"whole", {{{"chess"}, {"gold"}}}, {}},
          {"none", {}, {}},
          {"twice",
           {{{"chess"}, {"gold"}}, {{"chess"}, {"gold"}}},
           {"plans[1].workspace"}},
          {"unknown plan", {{{"chess"}, {"lead"}}}, {"plans[0].plan"}},
          {"all at once",
           {{{""}, {"lead"}}, {{""}, {"gold"}}},
           {"plans[0].workspace", "plans[0].plan", "plans[1].workspace",
            "plans[1].workspace"}},
      }));
  INFO(Name);
  const std::vector<LimitsEntry> Limits{limits("gold", 1, 1, 8)};
  CHECK(placesOf(checkPlans(Entries, Limits)) == Expected);
}

TEST_CASE("every broken rule of the limits is reported with its place") {
  const auto [Name, Entries, Expected] =
      GENERATE(table<const char *, std::vector<LimitsEntry>, Places>({
          {"whole", {limits("gold", 2, 2, 32)}, {}},
          {"twice",
           {limits("gold", 1, 1, 8), limits("gold", 1, 1, 8)},
           {"limits[1].plan"}},
          {"no count",
           {limits("gold", 0, 1, 8)},
           {"limits[0].guarantees[0].count"}},
          {"no tasks",
           {limits("gold", 1, 0, 8)},
           {"limits[0].guarantees[0].shape.tasks"}},
          {"no weight", {limits("gold", 1, 1, 8, 0)}, {"limits[0].weight"}},
          {"ceiling below the guarantees",
           {limits("gold", 2, 2, 31)},
           {"limits[0].ceilingAccelerators"}},
          {"sum above 32 bits",
           {limits("gold", Huge, 8, Huge)},
           {"limits[0].ceilingAccelerators"}},
          {"plan in use is gone", {limits("lead", 1, 1, 8)}, {"limits"}},
      }));
  INFO(Name);
  const std::vector<PlanEntry> Plans{{{"chess"}, {"gold"}}};
  CHECK(placesOf(checkLimits(Entries, Plans)) == Expected);
}
