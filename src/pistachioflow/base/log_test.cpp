#include <catch2/catch.hpp>

#include "pistachioflow/base/log.hpp"

using namespace pistachioflow;

TEST_CASE("log values are quoted only if necessary") {
  const auto [Value, Expected] = GENERATE(table<std::string, std::string>({
      {"plain", "event=e key=plain"},
      {"", "event=e key=\"\""},
      {"two words", "event=e key=\"two words\""},
      {"a=b", "event=e key=\"a=b\""},
      {"say \"hi\"", "event=e key=\"say \\\"hi\\\"\""},
      {"line\nbreak", "event=e key=\"line\\nbreak\""},
  }));
  CHECK(formatFields("e", {{"key", Value}}) == Expected);
}
