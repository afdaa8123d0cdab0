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

/// Counts the owners of a scope. Records and orders of an older one are void.
using Epoch = std::uint64_t;

constexpr std::uint32_t RecordVersion = 1;

/// What every record of every stream begins with.
struct RecordHeader {
  std::uint32_t Version = RecordVersion;
  RecordId Id; ///< Unique; a second record with the same one is dropped.
  InstanceId Author;
  Epoch AuthorEpoch =
      0;        ///< The author's epoch, or 0 where no ownership is needed.
  Instant Wall; ///< The author's wall clock.

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

// Every stream with an owner.

/// Asks for ownership with the header's epoch. The first with the next epoch
/// wins; all others are void.
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

/// The folded state of the stream up to, but without, this record.
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

/// One tick of the owner: what it observed, then what it decided.
struct DecisionsMade {
  std::vector<Event> Observed;
  std::vector<Decision> Decisions;
  MSGPACK_DEFINE(Observed, Decisions)
};

// Streams "keys/<n>".

/// The first for a (workspace, key) may run; every other is told of it.
struct RequestBegun {
  WorkspaceId Workspace;
  std::string Key;
  RequestId Request;
  std::uint64_t Claim = 0;      ///< Unique to this attempt to begin.
  std::uint64_t BodyDigest = 0; ///< Tells a repeat from another request.
  MSGPACK_DEFINE(Workspace, Key, Request, Claim, BodyDigest)
};

/// Ends the claim of one RequestBegun. The state NotRun frees the key.
struct RequestEnded {
  WorkspaceId Workspace;
  std::string Key;
  RequestId Request;
  RequestOutcome Outcome;
  std::uint64_t Claim = 0;
  MSGPACK_DEFINE(Workspace, Key, Request, Outcome, Claim)
};

/// Several key records in one append.
struct KeyRecord {
  std::variant<RequestBegun, RequestEnded> What;
  MSGPACK_DEFINE(What)
};

struct KeysAppended {
  std::vector<KeyRecord> Records;
  MSGPACK_DEFINE(Records)
};

/// Add alternatives only at the end: the index is stored in the log.
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
