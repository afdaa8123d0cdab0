#include <catch2/catch.hpp>

#include <string>

#include "../../../tests/bad_inputs.hpp"
#include "pistachioflow/codec/model_json.hpp"

using namespace pistachioflow;
using test::BadInput;
using test::InputTarget;

namespace {

const JsonBounds BodyBounds{test::BodyLimitBytes, 16, false};

/// Decodes \p Input like the HTTP server and returns the findings.
Findings findingsOf(const BadInput &Input) {
  const auto DetailsOf = [](const auto &Read) {
    return Read.has_error() ? Read.error().Details : Findings();
  };
  switch (Input.Target) {
  case InputTarget::Plans:
    return DetailsOf(decodeJson(Input.Body, BodyBounds, readPlansList));
  case InputTarget::Limits:
    return DetailsOf(decodeJson(Input.Body, BodyBounds, readLimitsList));
  case InputTarget::Job:
    return DetailsOf(decodeJson(Input.Body, BodyBounds, readJobSpec));
  case InputTarget::Request:
    return DetailsOf(decodeJson(Input.Body, BodyBounds, [](ObjectReader In) {
      return readCallerRequest(std::move(In), {0});
    }));
  }
  return {};
}

} // namespace

TEST_CASE("every bad input is rejected with at least one finding") {
  const auto Inputs = test::badInputs();
  CHECK(Inputs.size() >= 60);
  for (const BadInput &Input : Inputs) {
    INFO(Input.Name);
    const Findings Reported = findingsOf(Input);
    REQUIRE_FALSE(Reported.empty());
    for (const Finding &Item : Reported) {
      CHECK_FALSE(Item.Place.empty());
      CHECK_FALSE(Item.Expected.empty());
      CHECK(Item.Found.size() < 200);
    }
  }
}

TEST_CASE("a well-formed bad input gives exactly one finding") {
  const auto Inputs = GENERATE(test::badPlans(), test::badLimits(),
                               test::badJobs(), test::badRequests());
  for (const BadInput &Input : Inputs) {
    if (Input.Name == "no fields")
      continue;
    INFO(Input.Name);
    CHECK(findingsOf(Input).size() == 1);
  }
}

TEST_CASE("the size of findings does not grow with the input") {
  const std::string LongKey(100'000, 'k');
  const auto Unknown =
      decodeJson("{\"" + LongKey + "\":1}", BodyBounds, readPlansList);
  REQUIRE(Unknown.has_error());
  for (const Finding &Item : Unknown.error().Details)
    CHECK(Item.Place.size() < 300);
  const auto Duplicate =
      decodeJson("{\"" + LongKey + "\":1,\"" + LongKey + "\":1}", BodyBounds,
                 readPlansList);
  REQUIRE(Duplicate.has_error());
  CHECK(Duplicate.error().Details.front().Found.size() < 300);
  const auto Many =
      decodeJson(test::plansWith("[" + test::repeated("{},", 9'000) + "{}]"),
                 BodyBounds, readPlansList);
  REQUIRE(Many.has_error());
  CHECK(Many.error().Details.size() <= MaxFindings);
}

TEST_CASE("findings on any bad input can be written as valid JSON") {
  for (const BadInput &Input : test::badInputs()) {
    INFO(Input.Name);
    const std::string Text = dumpJson(toJson(findingsOf(Input)));
    CHECK(parseJson(Text, {}, "findings").has_value());
  }
}

TEST_CASE("nothing follows the end of a document, not even a zero byte") {
  using namespace std::string_literals;
  const auto [Text, Valid] =
      GENERATE(table<std::string, bool>({{"{}"s, true},
                                         {"{} \n"s, true},
                                         {"{}\0"s, false},
                                         {"{}\0 more"s, false},
                                         {"{}\0{}"s, false},
                                         {"\0{}"s, false},
                                         {"\0"s, false},
                                         {""s, false}}));
  CAPTURE(Text);
  CHECK(parseJson(Text, BodyBounds, "body").has_value() == Valid);
}
