#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/lists.hpp"

namespace pistachioflow {

/// A job as declared by its caller. Declared times and sizes may be wrong.
struct JobSpec {
  JobId Job;
  WorkspaceId Workspace;
  GangShape Shape;
  Duration DeclaredRuntime;
  bool Urgent = false;
  bool Checkpointable = false;

  MSGPACK_DEFINE(Job, Workspace, Shape, DeclaredRuntime, Urgent, Checkpointable)
};

/// Counts the starts of one job. Orders and reports of an older attempt are
/// ignored.
using Attempt = std::uint32_t;

/// The tasks of a gang that one worker runs.
struct Placement {
  WorkerId Worker;
  std::uint32_t Tasks = 0;

  bool operator==(const Placement &) const = default;
  MSGPACK_DEFINE(Worker, Tasks)
};

enum class JobPhase : std::uint8_t {
  Queued,
  Starting, ///< Leases are being taken on every worker of the gang.
  Running,
  Stopping, ///< Told to stop; its accelerators are not free yet.
  Finished,
  Failed,
  Cancelled,
  Refused,
};

std::string_view toString(JobPhase Phase);

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::JobPhase)
