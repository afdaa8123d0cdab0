#include "pistachioflow/entry/connection_limits.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

/// Callers and peers get a quarter of the memory each. The rest is for jobs,
/// workers and what the allocator can't return.
constexpr std::int64_t MemoryParts = 4;
/// Callers get half of the descriptors: an owner has several to each worker.
constexpr std::int64_t DescriptorParts = 2;
/// Whatever the machine bears.
constexpr std::size_t MaxCallers = 3'000;
/// Two of these parts go to checks and to readers of metrics.
constexpr std::int64_t CheckDescriptorParts = 16;
constexpr std::size_t MaxChecks = 32;
/// A body takes up to twice its size, and one alone has to fit.
constexpr std::size_t BodyParts = 4;
constexpr std::int64_t BytesPerMb = std::int64_t{1} << 20U;

} // namespace

ConnectionLimits connectionLimits(const InstanceSettings &Settings) {
  const auto Bytes =
      static_cast<std::size_t>(Settings.MemoryMb * BytesPerMb / MemoryParts);
  ConnectionLimits Limits{Bytes, Bytes, Bytes / BodyParts, MaxCallers,
                          MaxChecks};
  if (Settings.FileDescriptors == 0)
    return Limits;
  const auto PartOf = [&Settings](std::int64_t Parts) {
    return static_cast<std::size_t>(Settings.FileDescriptors / Parts);
  };
  Limits.MaxCallers = std::min(MaxCallers, PartOf(DescriptorParts));
  Limits.MaxChecks = std::min(MaxChecks, PartOf(CheckDescriptorParts));
  return Limits;
}

} // namespace pistachioflow
