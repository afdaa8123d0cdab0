#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/id.hpp"

namespace pistachioflow {

/// How close to each other the tasks of a gang must be placed.
enum class Adjacency : std::uint8_t {
  SameWorker,
  SameRack,
  NeighbourRacks, ///< Racks of one failure domain at consecutive positions.
  SameDomain,
};

/// The accelerators, processors and memory of a gang.
struct GangShape {
  std::uint32_t Tasks = 1;
  std::uint32_t AcceleratorsPerTask = 0;
  std::uint32_t CoresPerTask = 1;
  std::uint32_t MemoryMbPerTask = 0;
  Adjacency RequiredAdjacency = Adjacency::SameRack;

  bool operator==(const GangShape &) const = default;
  std::uint32_t accelerators() const {
    return this->Tasks * this->AcceleratorsPerTask;
  }
  MSGPACK_DEFINE(Tasks, AcceleratorsPerTask, CoresPerTask, MemoryMbPerTask,
                 RequiredAdjacency)
};

/// A number of gangs of one shape that a workspace can always run.
struct Guarantee {
  GangShape Shape;
  std::uint32_t Count = 1;

  bool operator==(const Guarantee &) const = default;
  MSGPACK_DEFINE(Shape, Count)
};

/// One entry of the list of plans: the plan of a workspace.
struct PlanEntry {
  WorkspaceId Workspace;
  PlanId Plan;

  bool operator==(const PlanEntry &) const = default;
  MSGPACK_DEFINE(Workspace, Plan)
};

/// One entry of the list of limits: what each workspace of a plan may use.
struct LimitsEntry {
  PlanId Plan;
  std::vector<Guarantee> Guarantees;
  std::uint32_t CeilingAccelerators = 0;
  std::uint32_t Weight = 1; ///< Relative share of borrowed capacity.
  bool AllowsUrgent = false;
  std::uint32_t RequestsPerSecond = 0;
  std::uint32_t ConcurrentRequests = 0;

  bool operator==(const LimitsEntry &) const = default;
  MSGPACK_DEFINE(Plan, Guarantees, CeilingAccelerators, Weight, AllowsUrgent,
                 RequestsPerSecond, ConcurrentRequests)
};

/// Counts the accepted edits of one list. Never decreases.
using Revision = std::uint64_t;

struct PlansList {
  Revision At = 0;
  std::vector<PlanEntry> Entries;

  MSGPACK_DEFINE(At, Entries)
};

struct LimitsList {
  Revision At = 0;
  std::vector<LimitsEntry> Entries;

  MSGPACK_DEFINE(At, Entries)
};

/// The two lists that operators edit: plans and limits.
struct Lists {
  PlansList Plans;
  LimitsList Limits;

  MSGPACK_DEFINE(Plans, Limits)
};

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::Adjacency)
