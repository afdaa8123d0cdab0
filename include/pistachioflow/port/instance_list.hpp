#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

struct ListedInstance {
  InstanceId Instance;
  DomainId Domain;
  std::string Host;
  std::uint16_t HttpPort = 0;
  std::uint16_t PeerPort = 0;
  bool Leaving = false;
};

/// The platform's lagging list of scheduler instances.
///
/// Thread safety: every method may be called from any thread.
class InstanceList {
public:
  virtual ~InstanceList() = default;

  /// Returns the list as the platform has it now. Errors: Unavailable.
  virtual Result<std::vector<ListedInstance>> instances() = 0;
};

} // namespace pistachioflow
