#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/base/bounded_msgpack.hpp"

using namespace pistachioflow;

TEST_CASE("exactly one bounded msgpack value is accepted") {
  const auto [Name, Bytes, Accepted] =
      GENERATE(table<const char *, std::string, bool>({
          {"nil", "\xc0", true},
          {"array of two", "\x92\x01\x02", true},
          {"map of one", "\x81\x01\x02", true},
          {"no bytes", "", false},
          {"bytes after the value", "\xc0\xc0", false},
          {"truncated array", "\x92\x01", false},
          {"array of 4 billion", "\xdd\xff\xff\xff\xff\x01", false},
          {"map of 2 billion", "\xdf\x7f\xff\xff\xff\x01", false},
          {"text of 4 billion", "\xdb\xff\xff\xff\xff\x01", false},
          {"unused tag", "\xc1", false},
          {"unclosed deep nesting", std::string(100'000, '\x91'), false},
          {"complete but too deep", std::string(1'000, '\x91') + '\xc0', false},
          {"32 levels", std::string(32, '\x91') + '\xc0', true},
      }));
  INFO(Name);
  CHECK(isBoundedMsgpack(Bytes) == Accepted);
}
