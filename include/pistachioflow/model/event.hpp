#pragma once

#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/variant_msgpack.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/worker.hpp"

namespace pistachioflow {

// Events that a cell's stream records. They state facts only; the decisions
// that follow from them are actions, see action.hpp.

/// Both lists, as last accepted on the configuration stream.
struct ListsChanged {
  Lists Now;
  MSGPACK_DEFINE(Now)
};

struct WorkerJoined {
  WorkerInfo Worker;
  MSGPACK_DEFINE(Worker)
};

struct WorkerLost {
  WorkerId Worker;
  MSGPACK_DEFINE(Worker)
};

struct JobSubmitted {
  JobSpec Spec;
  MSGPACK_DEFINE(Spec)
};

struct JobCancelled {
  JobId Job;
  MSGPACK_DEFINE(Job)
};

/// Every worker of the gang holds its lease and runs its tasks.
struct GangStarted {
  JobId Job;
  Attempt Try = 0;
  MSGPACK_DEFINE(Job, Try)
};

/// One worker refused; every lease of the attempt is released.
struct GangRefused {
  JobId Job;
  Attempt Try = 0;
  WorkerId Worker;
  MSGPACK_DEFINE(Job, Try, Worker)
};

struct GangFinished {
  JobId Job;
  Attempt Try = 0;
  MSGPACK_DEFINE(Job, Try)
};

/// A task ended with an error; every other task of the attempt is stopped.
struct GangFailed {
  JobId Job;
  Attempt Try = 0;
  WorkerId Worker;
  MSGPACK_DEFINE(Job, Try, Worker)
};

/// A gang that was told to stop no longer runs on any worker.
struct GangStopped {
  JobId Job;
  Attempt Try = 0;
  MSGPACK_DEFINE(Job, Try)
};

/// Every task of the gang has written a checkpoint.
struct CheckpointTaken {
  JobId Job;
  Attempt Try = 0;
  MSGPACK_DEFINE(Job, Try)
};

/// The actual usage of a gang on one worker. Reports arrive with a delay.
struct UsageReported {
  JobId Job;
  Attempt Try = 0;
  WorkerId Worker;
  std::uint32_t CoresUsed = 0;
  std::uint32_t MemoryMbUsed = 0;
  MSGPACK_DEFINE(Job, Try, Worker, CoresUsed, MemoryMbUsed)
};

/// Only time has passed.
struct TimePassed {
  std::uint8_t Unused = 0;
  MSGPACK_DEFINE(Unused)
};

/// Add alternatives only at the end: the log stores their index.
using Event = std::variant<ListsChanged, WorkerJoined, WorkerLost, JobSubmitted,
                           JobCancelled, GangStarted, GangRefused, GangFinished,
                           GangFailed, GangStopped, CheckpointTaken,
                           UsageReported, TimePassed>;

} // namespace pistachioflow
