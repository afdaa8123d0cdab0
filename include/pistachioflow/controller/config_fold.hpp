#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/controller/ownership.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/reason.hpp"
#include "pistachioflow/model/record.hpp"

namespace pistachioflow {

/// How many edits back the fold remembers what became of them.
constexpr std::size_t RememberedEdits = 256;

/// What the fold made of one edit. Every instance folds the same.
struct EditOutcome {
  RecordId Edit;
  ListKind List = ListKind::Plans;
  /// EditAccepted, EditRefusedStale or EditRefusedInvalid.
  ReasonCode Why = ReasonCode::None;
  Revision BasedOn = 0;
  Revision Last = 0; ///< The list's revision after the record.
  std::string Operator;
  std::string LastOperator; ///< Who made the revision Last.
  std::string Broken;       ///< EditRefusedInvalid: the findings as text.

  bool operator==(const EditOutcome &) const = default;
  MSGPACK_DEFINE(Edit, List, Why, BasedOn, Last, Operator, LastOperator, Broken)
};

/// The folded state of the configuration stream. Not thread safe.
struct ConfigState {
  Lists Now;
  std::vector<DomainCell> Cells;
  std::vector<EditOutcome> Edits; ///< The last ones, oldest first.
  std::string PlansOperator;      ///< Who made the revision of the plans.
  std::string LimitsOperator;
  OwnershipState Owner; ///< Who writes the snapshots.

  MSGPACK_DEFINE(Now, Cells, Edits, PlansOperator, LimitsOperator, Owner)
};

/// Folds one record. An edit is accepted only if it is based on the last
/// revision and breaks no rule; an edit id that is known already changes
/// nothing. Revisions only grow.
void foldConfig(ConfigState &State, const Record &Value);

/// Returns what became of the edit \p Id; nullptr where it is not known.
/// The pointer is valid until \p State changes.
const EditOutcome *findEdit(const ConfigState &State, const RecordId &Id);

/// Turns an outcome into the new revision or the error that tells an operator
/// why: StaleRevision names both revisions and who won, InvalidInput the rules.
Result<Revision> toResult(const EditOutcome &Outcome);

/// Encodes a state for SnapshotTaken. The same state gives the same bytes.
std::vector<char> encodeConfig(const ConfigState &State);

/// Decodes a snapshot. An empty one is the initial state.
/// Errors: InvalidInput (damaged), Unsupported (a later version).
Result<ConfigState> decodeConfig(const std::vector<char> &Bytes);

/// Tells whether an instance that was last in touch with the log, itself or
/// through a peer, at \p LastInTouch may still take new work.
bool mayTakeNewWork(Instant LastInTouch, Duration Bound, Instant Now);

} // namespace pistachioflow
