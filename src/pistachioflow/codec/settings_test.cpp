#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/codec/settings.hpp"

using namespace pistachioflow;

namespace {

constexpr const char *Minimal = R"({
  // The instance's own names.
  "instance": "entry-1",
  "failure_domain": "almaty-1",
  "http": {"host": "127.0.0.1", "port": 0},
  "peer": {"host": "127.0.0.1", "port": 7101},
  "platform": {"host": "127.0.0.1", "port": 9000} /* the stand-in */
})";

} // namespace

TEST_CASE("settings may have comments and omit fields with defaults") {
  const auto Read = parseSettings(Minimal, "a.json");
  REQUIRE(Read.has_value());
  CHECK(Read.value().Instance.Value == "entry-1");
  CHECK(Read.value().Domain.Value == "almaty-1");
  CHECK(Read.value().Peer == Endpoint{"127.0.0.1", 7101});
  CHECK(Read.value().Policy.FragmentationWeight ==
        fragmentationWeightOf(PolicyPreset::Chess));
}

TEST_CASE("the finding of a syntax error names the line") {
  const auto Read =
      parseSettings("{\n  \"instance\": \"a\",\n  oops\n}", "a.json");
  REQUIRE(Read.has_error());
  REQUIRE(Read.error().Details.size() == 1);
  CHECK(Read.error().Details.front().Place == "a.json line 3");
}

TEST_CASE("all findings of the settings are reported together") {
  const auto Read = parseSettings(
      R"({"instance": "", "http": {"host": "x", "port": 70000, "tls": true},
          "leases": {"lease_ms": 1000, "margin_ms": 900},
          "policy": {"preset": "draughts"}})",
      "a.json");
  REQUIRE(Read.has_error());
  std::string Places;
  for (const Finding &Item : Read.error().Details)
    Places += Item.Place + "\n";
  CHECK(Places == "$.instance\n$.failure_domain\n$.http.port\n$.http.tls\n"
                  "$.peer.host\n$.peer.port\n$.platform.host\n"
                  "$.platform.port\n$.leases.lease_ms\n$.policy.preset\n");
}
