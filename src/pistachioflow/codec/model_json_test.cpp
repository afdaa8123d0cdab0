#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/codec/model_json.hpp"

using namespace pistachioflow;

namespace {

const JsonBounds BodyBounds;

TimelineEvent sampleEvent() {
  return {{1'000},
          {"instance-1"},
          {"cell/main"},
          12,
          3,
          SubjectKind::Job,
          "job-1",
          "start on worker-1",
          {ReasonCode::PlacedBorrowing,
           {{ListKind::Limits, "gold", 4}},
           {{Measure::AcceleratorsFree, -12}},
           "worker-2"},
          {{SubjectKind::Worker, "worker-1"}}};
}

} // namespace

TEST_CASE("lists survive a JSON round trip unchanged") {
  const PlansList Plans{3, {{{"chess"}, {"gold"}}, {{"school"}, {"silver"}}}};
  const auto PlansRead =
      decodeJson(dumpJson(toJson(Plans)), BodyBounds, readPlansList);
  REQUIRE(PlansRead.has_value());
  CHECK(PlansRead.value().At == Plans.At);
  CHECK(PlansRead.value().Entries == Plans.Entries);

  const GangShape Shape{2, 8, 32, 65'536, Adjacency::NeighbourRacks};
  const LimitsList Limits{9, {{{"gold"}, {{Shape, 2}}, 64, 3, true, 10, 20}}};
  const auto LimitsRead =
      decodeJson(dumpJson(toJson(Limits)), BodyBounds, readLimitsList);
  REQUIRE(LimitsRead.has_value());
  CHECK(LimitsRead.value().At == Limits.At);
  CHECK(LimitsRead.value().Entries == Limits.Entries);
}

TEST_CASE("a timeline event survives a JSON round trip unchanged") {
  const TimelineEvent Before = sampleEvent();
  const auto After =
      decodeJson(dumpJson(toJson(Before)), BodyBounds, readTimelineEvent);
  REQUIRE(After.has_value());
  CHECK(After.value().Wall == Before.Wall);
  CHECK(After.value().Stream == Before.Stream);
  CHECK(After.value().At == Before.At);
  CHECK(After.value().Why == Before.Why);
  CHECK(After.value().What == Before.What);
  CHECK(After.value().RelatedSubjects == Before.RelatedSubjects);
}

TEST_CASE("a caller's deadline is relative to the current time") {
  const auto Read = decodeJson(
      R"({"workspace":"chess","deadline_ms":250,"body":"x"})", BodyBounds,
      [](ObjectReader In) { return readCallerRequest(In, {1'000}); });
  REQUIRE(Read.has_value());
  CHECK(Read.value().Deadline == Instant{1'250});
  CHECK_FALSE(Read.value().NonIdempotent);
}

TEST_CASE("all findings of a body are reported together") {
  const auto Read = decodeJson(
      R"({"job":"a b","workspace":7,"shape":{"tasks":0,"near":1},"urgent":1})",
      BodyBounds, readJobSpec);
  REQUIRE(Read.has_error());
  std::string Places;
  for (const Finding &Item : Read.error().Details)
    Places += Item.Place + " ";
  CHECK(Places == "$.job $.workspace $.shape.tasks $.shape.near "
                  "$.declared_runtime_ms $.urgent ");
}
