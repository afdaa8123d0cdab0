#pragma once

#include <span>
#include <vector>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow::policy {

/// A guaranteed gang that does not fit on the workers.
struct UnplacedGuarantee {
  WorkspaceId Workspace;
  GangShape Shape;
  std::size_t LimitsLine = 0; ///< Index in the list of limits.
  std::size_t Guarantee = 0;  ///< Index in that line.

  bool operator==(const UnplacedGuarantee &) const = default;
};

struct Packing {
  std::vector<Home> Homes;
  std::vector<UnplacedGuarantee> Unplaced;
};

/// Gives each guaranteed gang of \p Configuration a home on \p Workers. Homes
/// of \p Keep that still serve a guarantee stay where they are; the largest
/// gangs are placed first. The same arguments give the same packing. Thread
/// safe.
Packing packHomes(const Lists &Configuration,
                  std::span<const WorkerInfo> Workers,
                  std::span<const Home> Keep);

/// Returns why the guarantees of \p Configuration cannot be met on \p Workers:
/// plans without limits, guarantees above their own ceiling, and guaranteed
/// gangs that cannot be packed. Empty: the edit can be accepted. Thread safe.
Findings checkPacking(const Lists &Configuration,
                      std::span<const WorkerInfo> Workers);

} // namespace pistachioflow::policy
