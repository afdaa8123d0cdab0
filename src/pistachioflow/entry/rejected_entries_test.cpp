#include "pistachioflow/entry/rejected_entries.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a rejected entry is logged once a change") {
  RejectedEntries Rejected;
  REQUIRE(Rejected.add("w", "address"));
  REQUIRE_FALSE(Rejected.add("w", "address"));
  REQUIRE(Rejected.add("w", "state"));
  REQUIRE(Rejected.add("x", "state"));
  Rejected.remove("w");
  REQUIRE(Rejected.add("w", "state"));
  REQUIRE_FALSE(Rejected.add("w", "state"));
}

TEST_CASE("rejected entries take a bounded amount of memory") {
  RejectedEntries Rejected;
  for (int Index = 0; Index < 100'000; ++Index)
    Rejected.add(std::to_string(Index), "address");
  REQUIRE(Rejected.size() == 1'024);
  REQUIRE_FALSE(Rejected.add("new", "address"));
}

TEST_CASE("a key of any bytes fits into a log line") {
  using namespace std::string_literals;
  const auto [Key, Shown] = GENERATE(table<std::string, std::string>(
      {{"w1", "w1"},
       {"", ""},
       {"w\r\n", R"(w\x0d\x0a)"},
       {"w\0 \xff"s, R"(w\x00\x20\xff)"},
       {std::string(255, 'w'), std::string(60, 'w') + "..."}}));
  REQUIRE(printableKey(Key) == Shown);
}

} // namespace pistachioflow
