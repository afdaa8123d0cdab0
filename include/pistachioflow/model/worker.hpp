#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "pistachioflow/base/id.hpp"

namespace pistachioflow {

/// A worker as listed by the platform.
struct WorkerInfo {
  WorkerId Worker;
  RackId Rack;
  std::uint32_t RackPosition = 0; ///< Order of the racks in a failure domain.
  DomainId Domain;
  std::uint32_t Cores = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;

  bool operator==(const WorkerInfo &) const = default;
  MSGPACK_DEFINE(Worker, Rack, RackPosition, Domain, Cores, MemoryMb,
                 Accelerators)
};

} // namespace pistachioflow
