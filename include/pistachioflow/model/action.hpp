#pragma once

#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/variant_msgpack.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/reason.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow {

// Decisions of the owner of a cell. A fold applies an action only if it is
// still valid in the folded state, so every reader of the stream ignores the
// same actions.

struct AdmitJob {
  JobId Job;
  MSGPACK_DEFINE(Job)
};

struct RefuseJob {
  JobId Job;
  MSGPACK_DEFINE(Job)
};

/// Takes leases on all workers, then starts the tasks on all of them.
struct StartGang {
  JobId Job;
  Attempt Try = 0;
  std::vector<Placement> Placements;
  bool Borrowed = false; ///< Above the guarantee, so preemptible.
  MSGPACK_DEFINE(Job, Try, Placements, Borrowed)
};

/// Requests a checkpoint. The gang is stopped at the deadline at the latest.
struct CheckpointGang {
  JobId Job;
  Attempt Try = 0;
  Instant Deadline;
  JobId Beneficiary = {}; ///< The job that needs the capacity.
  ReasonCode Cause = ReasonCode::None;
  MSGPACK_DEFINE(Job, Try, Deadline, Beneficiary, Cause)
};

/// What happens to a job once its gang has stopped.
enum class AfterStop : std::uint8_t { Requeue, Cancel, Fail };

struct StopGang {
  JobId Job;
  Attempt Try = 0;
  AfterStop FollowUp = AfterStop::Requeue;
  JobId Beneficiary = {}; ///< The job that needs the capacity; may be empty.
  MSGPACK_DEFINE(Job, Try, FollowUp, Beneficiary)
};

struct ThrottleGang {
  JobId Job;
  Attempt Try = 0;
  WorkerId Worker;
  std::uint32_t CoresAllowed = 0;
  MSGPACK_DEFINE(Job, Try, Worker, CoresAllowed)
};

/// Ends a job that no longer runs anywhere.
struct EndJob {
  JobId Job;
  JobPhase FinalPhase = JobPhase::Failed;
  MSGPACK_DEFINE(Job, FinalPhase)
};

/// Reserves the capacity of the placements for a large job. An empty list of
/// placements ends the job's reservation.
struct ReserveCapacity {
  JobId Job;
  std::vector<Placement> Placements;
  Instant ExpectedStart;
  MSGPACK_DEFINE(Job, Placements, ExpectedStart)
};

struct QuarantineWorker {
  WorkerId Worker;
  Instant Until;
  MSGPACK_DEFINE(Worker, Until)
};

struct ReleaseWorker {
  WorkerId Worker;
  MSGPACK_DEFINE(Worker)
};

/// The home of one guaranteed gang of a workspace: the workers where the gang
/// can always be placed.
struct Home {
  WorkspaceId Workspace;
  GangShape Shape;
  std::vector<Placement> Placements;

  bool operator==(const Home &) const = default;
  MSGPACK_DEFINE(Workspace, Shape, Placements)
};

/// Replaces all homes of the cell.
struct AssignHomes {
  std::vector<Home> Homes;
  MSGPACK_DEFINE(Homes)
};

/// Reports that a guaranteed gang no longer has a home.
struct ReportGuaranteeAtRisk {
  WorkspaceId Workspace;
  GangShape Shape;
  MSGPACK_DEFINE(Workspace, Shape)
};

/// Add alternatives only at the end: the log stores their index.
using Action =
    std::variant<AdmitJob, RefuseJob, StartGang, CheckpointGang, StopGang,
                 ThrottleGang, EndJob, ReserveCapacity, QuarantineWorker,
                 ReleaseWorker, AssignHomes, ReportGuaranteeAtRisk>;

/// An action with its reason.
struct Decision {
  Action What;
  Reason Why;
  MSGPACK_DEFINE(What, Why)
};

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::AfterStop)
