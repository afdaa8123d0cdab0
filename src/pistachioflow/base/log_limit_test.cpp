#include "pistachioflow/base/log_limit.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE(
    "lines beyond the limit of one second are counted and reported later") {
  const auto [Lines, Written] =
      GENERATE(table<int, int>({{1, 1}, {3, 3}, {4, 3}, {10, 3}}));
  LogLimit Limit(3);
  int Admitted = 0;
  for (int Line = 0; Line < Lines; ++Line)
    Admitted += Limit.admit("placed", {1'000}) ? 1 : 0;
  REQUIRE(Admitted == Written);
  REQUIRE(Limit.takeSuppressed("placed") == 0);
  REQUIRE(Limit.admit("placed", {2'000}));
  REQUIRE(Limit.takeSuppressed("placed") == Lines - Written);
  REQUIRE(Limit.takeSuppressed("placed") == 0);
}

TEST_CASE("each event has its own limit") {
  LogLimit Limit(1);
  REQUIRE(Limit.admit("placed", {0}));
  REQUIRE(Limit.admit("started", {0}));
  REQUIRE_FALSE(Limit.admit("placed", {0}));
}

} // namespace pistachioflow
