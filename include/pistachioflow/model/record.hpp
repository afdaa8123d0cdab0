#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/variant_msgpack.hpp"
#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/event.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/request.hpp"

namespace pistachioflow {

/// Counts the successive owners of a scope. Records and orders of an older
/// epoch are ignored.
using Epoch = std::uint64_t;

constexpr std::uint32_t RecordVersion = 1;

/// The header of every record of every stream.
struct RecordHeader {
  std::uint32_t Version = RecordVersion;
  RecordId Id; ///< Unique; later records with the same id are dropped.
  InstanceId Author;
  Epoch AuthorEpoch = 0; ///< 0 if the record needs no ownership.
  Instant Wall;          ///< The author's wall clock.

  MSGPACK_DEFINE(Version, Id, Author, AuthorEpoch, Wall)
};

// Stream "config".

struct PlansEdited {
  Revision BaseRevision = 0;
  std::vector<PlanEntry> Entries;
  std::string Operator;
  MSGPACK_DEFINE(BaseRevision, Entries, Operator)
};

struct LimitsEdited {
  Revision BaseRevision = 0;
  std::vector<LimitsEntry> Entries;
  std::string Operator;
  MSGPACK_DEFINE(BaseRevision, Entries, Operator)
};

struct DomainCell {
  DomainId Domain;
  CellId Cell;
  MSGPACK_DEFINE(Domain, Cell)
};

/// Which cell schedules each failure domain.
struct CellsMapped {
  std::vector<DomainCell> Domains;
  MSGPACK_DEFINE(Domains)
};

// All streams that have an owner.

/// Claims ownership under the header's epoch. The first claim of the next epoch
/// wins; all others are ignored.
struct OwnerClaimed {
  InstanceId Owner;
  MSGPACK_DEFINE(Owner)
};

struct OwnerRenewed {
  std::uint64_t Count = 0;
  MSGPACK_DEFINE(Count)
};

struct OwnerReleased {
  InstanceId Successor;
  MSGPACK_DEFINE(Successor)
};

/// The folded state of all records below EndOffset.
struct SnapshotTaken {
  std::uint64_t EndOffset = 0;
  std::vector<char> State;
  MSGPACK_DEFINE(EndOffset, State)
};

// Streams "cell/<id>".

/// Facts that any instance may add: submissions and cancellations.
struct FactsObserved {
  std::vector<Event> Events;
  MSGPACK_DEFINE(Events)
};

/// One tick of the owner: the events that it observed and its decisions.
struct DecisionsMade {
  std::vector<Event> Observed;
  std::vector<Decision> Decisions;
  MSGPACK_DEFINE(Observed, Decisions)
};

// Streams "keys/<n>".

/// The first record of a (workspace, key) pair may run its request; later ones
/// are duplicates.
struct RequestBegun {
  WorkspaceId Workspace;
  std::string Key;
  RequestId Request;
  std::uint64_t Claim = 0;      ///< Unique to this attempt to claim the key.
  std::uint64_t BodyDigest = 0; ///< Distinguishes a retry from another request.
  MSGPACK_DEFINE(Workspace, Key, Request, Claim, BodyDigest)
};

/// Ends the claim of one RequestBegun. After the state NotRun, the key can be
/// claimed again.
struct RequestEnded {
  WorkspaceId Workspace;
  std::string Key;
  RequestId Request;
  RequestOutcome Outcome;
  std::uint64_t Claim = 0;
  MSGPACK_DEFINE(Workspace, Key, Request, Outcome, Claim)
};

/// One record about an idempotency key.
struct KeyRecord {
  std::variant<RequestBegun, RequestEnded> What;
  MSGPACK_DEFINE(What)
};

/// Several key records in one append.
struct KeysAppended {
  std::vector<KeyRecord> Records;
  MSGPACK_DEFINE(Records)
};

/// Add alternatives only at the end: the log stores their index.
using Payload =
    std::variant<PlansEdited, LimitsEdited, CellsMapped, OwnerClaimed,
                 OwnerRenewed, OwnerReleased, SnapshotTaken, FactsObserved,
                 DecisionsMade, KeysAppended>;

struct Record {
  RecordHeader Header;
  Payload What;
  MSGPACK_DEFINE(Header, What)
};

} // namespace pistachioflow
