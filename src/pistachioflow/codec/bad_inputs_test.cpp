#include <catch2/catch.hpp>

#include <string>

#include "../../../tests/bad_inputs.hpp"
#include "pistachioflow/codec/model_json.hpp"

using namespace pistachioflow;
using test::BadInput;
using test::InputTarget;

namespace {

const JsonBounds BodyBounds{test::BodyLimitBytes, 16, false};

/// Decodes as the HTTP server does, and keeps only what went wrong.
Findings findingsOf(const BadInput &Input) {
  const auto Keep = [](const auto &Read) {
    return Read.has_error() ? Read.error().Details : Findings();
  };
  switch (Input.Target) {
  case InputTarget::Plans:
    return Keep(decodeJson(Input.Body, BodyBounds, readPlansList));
  case InputTarget::Limits:
    return Keep(decodeJson(Input.Body, BodyBounds, readLimitsList));
  case InputTarget::Job:
    return Keep(decodeJson(Input.Body, BodyBounds, readJobSpec));
  case InputTarget::Request:
    return Keep(decodeJson(Input.Body, BodyBounds, [](ObjectReader In) {
      return readCallerRequest(std::move(In), {0});
    }));
  }
  return {};
}

} // namespace

TEST_CASE("every bad input is refused with at least one finding") {
  const auto Inputs = test::badInputs();
  CHECK(Inputs.size() >= 60);
  for (const BadInput &Input : Inputs) {
    INFO(Input.Name);
    const Findings Found = findingsOf(Input);
    REQUIRE_FALSE(Found.empty());
    for (const Finding &Item : Found) {
      CHECK_FALSE(Item.Place.empty());
      CHECK_FALSE(Item.Expected.empty());
      CHECK(Item.Found.size() < 200);
    }
  }
}

TEST_CASE("a well-formed bad input breaks no rule but its own") {
  const auto Inputs = GENERATE(test::badPlans(), test::badLimits(),
                               test::badJobs(), test::badRequests());
  for (const BadInput &Input : Inputs) {
    if (Input.Name == "no fields")
      continue;
    INFO(Input.Name);
    CHECK(findingsOf(Input).size() == 1);
  }
}

TEST_CASE("findings stay small whatever the size of the input") {
  const std::string LongKey(100'000, 'k');
  const auto Named =
      decodeJson("{\"" + LongKey + "\":1}", BodyBounds, readPlansList);
  REQUIRE(Named.has_error());
  for (const Finding &Item : Named.error().Details)
    CHECK(Item.Place.size() < 300);
  const auto Twice = decodeJson("{\"" + LongKey + "\":1,\"" + LongKey + "\":1}",
                                BodyBounds, readPlansList);
  REQUIRE(Twice.has_error());
  CHECK(Twice.error().Details.front().Found.size() < 300);
  const auto Many =
      decodeJson(test::plansWith("[" + test::repeated("{},", 9'000) + "{}]"),
                 BodyBounds, readPlansList);
  REQUIRE(Many.has_error());
  CHECK(Many.error().Details.size() <= MaxFindings);
}

TEST_CASE("findings can be shown as JSON whatever stood in the input") {
  for (const BadInput &Input : test::badInputs()) {
    INFO(Input.Name);
    const std::string Text = dumpJson(toJson(findingsOf(Input)));
    CHECK(parseJson(Text, {}, "findings").has_value());
  }
}
