#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/base/bounded_msgpack.hpp"

using namespace pistachioflow;

TEST_CASE("only one bounded value passes") {
  const auto [Name, Bytes, Passes] =
      GENERATE(table<const char *, std::string, bool>({
          {"nil", "\xc0", true},
          {"array of two", "\x92\x01\x02", true},
          {"map of one", "\x81\x01\x02", true},
          {"nothing", "", false},
          {"bytes after the value", "\xc0\xc0", false},
          {"array cut short", "\x92\x01", false},
          {"array of 4 billion", "\xdd\xff\xff\xff\xff\x01", false},
          {"map of 2 billion", "\xdf\x7f\xff\xff\xff\x01", false},
          {"text of 4 billion", "\xdb\xff\xff\xff\xff\x01", false},
          {"unused tag", "\xc1", false},
          {"nesting without end", std::string(100'000, '\x91'), false},
          {"deep but whole", std::string(1'000, '\x91') + '\xc0', false},
          {"32 levels", std::string(32, '\x91') + '\xc0', true},
      }));
  INFO(Name);
  CHECK(isBoundedMsgpack(Bytes) == Passes);
}
