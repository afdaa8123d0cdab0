#include <catch2/catch.hpp>

#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

TEST_CASE("an append with a lost answer is in the stream") {
  const auto [Fault, Code, Kept] =
      GENERATE(table<LogFault, ErrorCode, std::size_t>({
          {LogFault::Down, ErrorCode::Unavailable, 0},
          {LogFault::LostAnswer, ErrorCode::UnknownOutcome, 1},
      }));
  MemoryLog Log;
  Log.setFaults(
      [Once = Fault]() mutable { return std::exchange(Once, LogFault::None); });
  const auto Appended = Log.append({"s"}, "x");
  REQUIRE(Appended.has_error());
  CHECK(Appended.error().Code == Code);
  CHECK(Log.read({"s"}, 0, 10).value().Entries.size() == Kept);
}

TEST_CASE("reading below the kept entries is a typed error") {
  MemoryLog Log;
  Log.setRetention(2);
  for (const char *Entry : {"a", "b", "c"})
    REQUIRE(Log.append({"s"}, Entry).has_value());
  const auto Page = Log.read({"s"}, 0, 10);
  REQUIRE(Page.has_error());
  CHECK(Page.error().Code == ErrorCode::Expired);
  CHECK(Page.error().FirstOffset == 1);
  CHECK(Log.read({"s"}, 1, 10).value().Entries.front().Bytes == "b");
}
