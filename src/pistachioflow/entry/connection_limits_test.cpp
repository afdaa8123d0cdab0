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
  };
  const auto Case =
      GENERATE(Row{0, 0, 0, 0}, Row{120, 3'075, std::size_t{30} << 20U, 1'537},
               Row{512, 0, std::size_t{128} << 20U, 0});
  InstanceSettings Settings;
  Settings.MemoryMb = Case.MemoryMb;
  Settings.FileDescriptors = Case.FileDescriptors;
  const ConnectionLimits Limits = connectionLimits(Settings);
  REQUIRE(Limits.CallerBytes == Case.Bytes);
  REQUIRE(Limits.PeerBytes == Case.Bytes);
  REQUIRE(Limits.MaxCallers == Case.Callers);
}

} // namespace pistachioflow
