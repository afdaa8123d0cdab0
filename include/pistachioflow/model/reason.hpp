#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/model/lists.hpp"

namespace pistachioflow {

/// Why an action was taken. The log stores the values: add new ones at the end
/// of their group, and never reuse a value.
enum class ReasonCode : std::uint16_t {
  None = 0,
  // Jobs: admission and refusal.
  AdmittedWithinCeiling = 100,
  RefusedNoPlan = 101,
  RefusedNoLimits = 102,
  RefusedAboveCeiling = 103,
  RefusedFitsNowhere = 104,
  RefusedUrgentNotAllowed = 105,
  RefusedDuplicateJob = 106,
  CancelledByCaller = 107,
  // Jobs: placement.
  PlacedInGuarantee = 200,
  PlacedBorrowing = 201,
  PlacedBackfill = 202,
  PlacedUrgent = 203,
  ReservedForLargeJob = 204,
  MovedToJoinFragments = 205,
  PlacedReserved = 206,
  ReservationEnded = 207,
  // Jobs: stops.
  ReclaimedForGuarantee = 300,
  ReclaimedForUrgent = 301,
  ReclaimDeadlinePassed = 302,
  StoppedWorkerLost = 303,
  StoppedStartRefused = 304,
  StoppedOverrun = 305,
  StoppedListsChanged = 306,
  StoppedOrphan = 307,
  FailedOnManyWorkers = 308,
  ThrottledAboveDeclared = 309,
  ReclaimedForWaiting = 310, ///< For a job that has waited too long.
  // Workers and guarantees.
  QuarantinedFailsTasks = 400,
  ReleasedOnProbation = 401,
  WorkerLost = 402,
  WorkerJoined = 403,
  HomesAssigned = 404,
  HomeMoved = 405,
  GuaranteeAtRisk = 406,
  // Lists.
  EditAccepted = 500,
  EditRefusedStale = 501,
  EditRefusedInvalid = 502,
  EditRefusedCannotPack = 503,
  // Ownership and instances.
  OwnershipClaimed = 600,
  OwnershipLapsed = 601,
  OwnershipReleased = 602,
  ClaimVoid = 603,
  LogUnavailable = 604,
  ConfigTooOld = 605,
  InstanceLeaving = 606,
  OwnershipRenewed = 607,
  SnapshotWritten = 608,
  UsageObserved = 609,
  // Requests.
  RequestDone = 700,
  RequestRefusedLimit = 701,
  RequestRefusedDeadline = 702,
  RequestRefusedQueueFull = 703,
  RequestRefusedNoPlan = 704,
  RequestRefusedLogDown = 705,
  RequestDuplicateKey = 706,
  RequestNoRunner = 707,
  RequestAnswerLost = 708,
  RequestCancelled = 709,
  RequestRetried = 710,
  RunnerEjected = 711,
  RunnerReturned = 712,
};

enum class ListKind : std::uint8_t { Plans, Limits };

/// One entry of one list at one revision.
struct EntryRef {
  ListKind List = ListKind::Plans;
  std::string Key; ///< The workspace for plans, the plan for limits.
  Revision At = 0;

  bool operator==(const EntryRef &) const = default;
  MSGPACK_DEFINE(List, Key, At)
};

/// What a number in a Reason measures.
enum class Measure : std::uint8_t {
  AcceleratorsAsked,
  AcceleratorsFree,
  AcceleratorsUsed,
  Ceiling,
  GuaranteedAccelerators,
  WaitedMs,
  LostWorkMs,
  DeadlineMs,
  Attempts,
  WorkersTried,
  Failures,
  Epoch,
  QueueLength,
  LargestFreeBlock,
  RequestsInFlight,
  RequestLimit,
  CheckpointAgeMs,
  ReservedAtMs,
  ExpectedRuntimeMs,
  Preemptions,
  Workers,
  Homes,
};

/// One number that an action was based on.
struct Quantity {
  Measure What = Measure::AcceleratorsAsked;
  std::int64_t Value = 0;

  bool operator==(const Quantity &) const = default;
  MSGPACK_DEFINE(What, Value)
};

/// Why an action was taken: the list entries that apply, the numbers that the
/// action was based on, and the alternative that was rejected.
struct Reason {
  ReasonCode Code = ReasonCode::None;
  std::vector<EntryRef> Entries;
  std::vector<Quantity> Numbers;
  std::string PassedOver; ///< The rejected alternative, if any.

  bool operator==(const Reason &) const = default;
  MSGPACK_DEFINE(Code, Entries, Numbers, PassedOver)
};

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::ReasonCode)
MSGPACK_ADD_ENUM(pistachioflow::ListKind)
MSGPACK_ADD_ENUM(pistachioflow::Measure)
