#include "pistachioflow/entry/connection_limits.hpp"

namespace pistachioflow {

namespace {

/// Callers and peers get a quarter of the memory each. The rest is for jobs,
/// workers and what the allocator can't return.
constexpr std::int64_t MemoryParts = 4;
/// Callers get half of the descriptors: an owner has several to each worker.
constexpr std::int64_t DescriptorParts = 2;
constexpr std::int64_t BytesPerMb = std::int64_t{1} << 20U;

} // namespace

ConnectionLimits connectionLimits(const InstanceSettings &Settings) {
  const auto Bytes =
      static_cast<std::size_t>(Settings.MemoryMb * BytesPerMb / MemoryParts);
  return {Bytes, Bytes,
          static_cast<std::size_t>(Settings.FileDescriptors / DescriptorParts)};
}

} // namespace pistachioflow
