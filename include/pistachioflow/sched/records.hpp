#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/sched/job_spec.hpp"

namespace pistachioflow {

/// The kinds of records in the journal. The letter begins the record's key.
enum class RecordKind : char {
  Submission = 'j',   ///< An accepted job.
  Cancellation = 'c', ///< A caller's request to cancel a job.
  /// A caller's request to cancel a job that was unknown then.
  EarlyCancellation = 'e',
  JobPhase = 's',  ///< Phase of a job.
  Unit = 'u',      ///< Newest run of a task or gang.
  Ownership = 'o', ///< The owner of the queues and its heartbeat.
};

/// One record of the keyed journal. An empty value deletes the key.
struct JournalRecord {
  std::string Key;
  std::string Value;
};

/// An accepted job.
struct SubmissionRecord {
  std::string Queue;     ///< Name of the route.
  std::string Workspace; ///< Owner of the key that submitted it.
  std::int64_t AcceptedWallMs = 0;
  QueueTerms Terms;
  JobSpec Job;

  MSGPACK_DEFINE(Queue, Workspace, AcceptedWallMs, Terms, Job)
};

struct CancellationRecord {
  std::int64_t WallMs = 0;

  MSGPACK_DEFINE(WallMs)
};

/// A request to cancel a job whose submission may still be on its way. Whether
/// its caller may cancel the job shows when that is stored.
struct EarlyCancellationRecord {
  std::int64_t WallMs = 0;
  std::string Queue; ///< Name of the route that the caller used.
  std::string Workspace;
  bool PublicQueue = false; ///< Anybody may cancel jobs of the queue.

  MSGPACK_DEFINE(WallMs, Queue, Workspace, PublicQueue)
};

/// Lifecycle phase of a job.
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

/// Returns whether a job in this phase has ended.
bool hasEnded(JobPhase Phase);

/// Returns the name used in logs.
std::string_view toString(JobPhase Phase);

struct JobPhaseRecord {
  JobPhase Phase = JobPhase::Queued;
  std::int64_t EndedWallMs = 0;

  MSGPACK_DEFINE(Phase, EndedWallMs)
};

/// Worker of one member. The start of its incarnation distinguishes it from an
/// earlier process under the same id.
struct PlaceRecord {
  std::string Worker;
  std::int64_t IncarnationStartMs = 0;

  MSGPACK_DEFINE(Worker, IncarnationStartMs)
};

/// A run that is presumed to have ended, on a worker that cannot be reached.
struct PresumedEndRecord {
  std::string Worker;
  std::int64_t Run = 0;

  MSGPACK_DEFINE(Worker, Run)
};

/// What was known of a run when its worker crashed.
enum class CrashEvidence {
  Unconfirmed, ///< Its start may not have reached the worker.
  Early,       ///< It had lately begun to run.
  Late,        ///< It had been running for a while.
};

/// A crash of a worker under one member of a unit.
struct CrashRecord {
  std::string Worker;
  std::int64_t IncarnationStartMs = 0; ///< Of the process that crashed.
  std::int64_t Run = 0;
  std::int64_t Member = 0; ///< Index of the member in its unit.
  CrashEvidence Evidence = CrashEvidence::Unconfirmed;
  /// The worker was lost and has not returned: it may have been cut off only.
  bool Suspected = false;
  /// A suspect of another job was on the worker: it may be what crashed it.
  bool Shared = false;

  MSGPACK_DEFINE(Worker, IncarnationStartMs, Run, Member, Evidence, Suspected,
                 Shared)
};

/// A single task or a gang: its newest run and the state retained across runs.
struct UnitRecord {
  std::int64_t Run = 0; ///< Number of the newest start.
  bool Done = false;
  std::int64_t Failures = 0;
  std::string Checkpoint;
  std::vector<PlaceRecord> Places; ///< Empty: runs nowhere.
  std::int64_t FailedRun = 0;      ///< The newest run that failed.
  /// A member of the fully started gang has ended, so that members on
  /// unresponsive workers end as well.
  bool GangRunEnded = false;
  std::vector<std::int64_t> FailedRuns;
  std::vector<PresumedEndRecord> PresumedEnds;
  std::vector<CrashRecord> Crashes;

  MSGPACK_DEFINE(Run, Done, Failures, Checkpoint, Places, FailedRun,
                 GangRunEnded, FailedRuns, PresumedEnds, Crashes)
};

struct OwnershipRecord {
  std::int64_t Epoch = 0;
  std::string Instance;
  std::int64_t Heartbeat = 0; ///< Counts the owner's heartbeats.
  bool Resigned = false;
  std::int64_t MilliCores = 0; ///< CPU share of the owner.

  MSGPACK_DEFINE(Epoch, Instance, Heartbeat, Resigned, MilliCores)
};

/// Returns the name used in logs.
std::string_view toString(CrashEvidence Evidence);

std::string submissionKey(std::string_view JobId);
std::string cancellationKey(std::string_view JobId);
/// One for each job and workspace, so that workspaces don't replace each
/// other's cancellations.
std::string earlyCancellationKey(std::string_view JobId,
                                 std::string_view Workspace);
/// Returns the key of a cancellation by its name in EarlyCancellations.
std::string earlyCancellationKey(std::string_view Name);
std::string phaseKey(std::string_view JobId);
std::string unitKey(std::string_view UnitName);
std::string ownershipKey();

/// Encodes a record's value. The first byte is the layout version.
template <typename Record> std::string encodeRecord(const Record &Value);

/// Decodes a value. Returns nothing when it is malformed or its version is
/// unknown.
template <typename Record>
std::optional<Record> decodeRecord(std::string_view Value);

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::JobPhase)
MSGPACK_ADD_ENUM(pistachioflow::CrashEvidence)
