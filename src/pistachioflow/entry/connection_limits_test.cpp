#include "pistachioflow/entry/connection_limits.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

// Guards against connections of callers that take the memory or the descriptors
// that the store and the workers need.
TEST_CASE("connections get a part of what the settings name") {
  struct Row {
    std::int64_t MemoryMb;
    std::int64_t FileDescriptors;
    std::size_t Bytes;
    std::size_t Callers;
    std::size_t Checks;
  };
  const auto Case =
      GENERATE(Row{0, 0, 0, 3'000, 32}, Row{24, 64, 6U << 20U, 32, 4},
               Row{120, 3'075, 30U << 20U, 1'537, 32},
               Row{512, 10'250, 128U << 20U, 3'000, 32});
  InstanceSettings Settings;
  Settings.MemoryMb = Case.MemoryMb;
  Settings.FileDescriptors = Case.FileDescriptors;
  const ConnectionLimits Limits = connectionLimits(Settings);
  REQUIRE(Limits.CallerBytes == Case.Bytes);
  REQUIRE(Limits.PeerBytes == Case.Bytes);
  REQUIRE(Limits.MaxCallerBodyBytes * 4 == Case.Bytes);
  REQUIRE(Limits.MaxCallers == Case.Callers);
  REQUIRE(Limits.MaxChecks == Case.Checks);
}

} // namespace pistachioflow
