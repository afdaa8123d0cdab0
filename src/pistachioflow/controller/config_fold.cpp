#include "pistachioflow/controller/config_fold.hpp"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

#include "pistachioflow/base/bounded_msgpack.hpp"
#include "pistachioflow/controller/config_check.hpp"

namespace pistachioflow {

namespace {

constexpr std::uint32_t ConfigSnapshotVersion = 1;

/// Decides on one edit and moves the revision \p Last if it is accepted.
EditOutcome judge(const Record &Value, ListKind List, Revision BasedOn,
                  const std::string &Operator, const Findings &Broken,
                  Revision &Last, std::string &LastOperator) {
  EditOutcome Outcome{Value.Header.Id, List, ReasonCode::EditAccepted,
                      BasedOn,         Last, Operator,
                      LastOperator,    {}};
  if (BasedOn != Last) {
    Outcome.Why = ReasonCode::EditRefusedStale;
    return Outcome;
  }
  if (!Broken.empty()) {
    Outcome.Why = ReasonCode::EditRefusedInvalid;
    Outcome.Broken = formatFindings(Broken);
    return Outcome;
  }
  Outcome.Last = ++Last;
  Outcome.LastOperator = LastOperator = Operator;
  return Outcome;
}

void remember(ConfigState &State, EditOutcome Outcome) {
  if (State.Edits.size() == RememberedEdits)
    State.Edits.erase(State.Edits.begin());
  State.Edits.push_back(std::move(Outcome));
}

void foldPlans(ConfigState &State, const Record &Value,
               const PlansEdited &Edit) {
  PlansList &List = State.Now.Plans;
  const Findings Broken = checkPlans(Edit.Entries, State.Now.Limits.Entries);
  EditOutcome Outcome =
      judge(Value, ListKind::Plans, Edit.BaseRevision, Edit.Operator, Broken,
            List.At, State.PlansOperator);
  if (Outcome.Why == ReasonCode::EditAccepted)
    List.Entries = Edit.Entries;
  remember(State, std::move(Outcome));
}

void foldLimits(ConfigState &State, const Record &Value,
                const LimitsEdited &Edit) {
  LimitsList &List = State.Now.Limits;
  const Findings Broken = checkLimits(Edit.Entries, State.Now.Plans.Entries);
  EditOutcome Outcome =
      judge(Value, ListKind::Limits, Edit.BaseRevision, Edit.Operator, Broken,
            List.At, State.LimitsOperator);
  if (Outcome.Why == ReasonCode::EditAccepted)
    List.Entries = Edit.Entries;
  remember(State, std::move(Outcome));
}

std::string_view nameOf(ListKind List) {
  return List == ListKind::Plans ? "plans" : "limits";
}

Error staleError(const EditOutcome &Outcome) {
  const std::string BasedOn = std::to_string(Outcome.BasedOn);
  const std::string Last = std::to_string(Outcome.Last);
  const std::string Place = std::string(nameOf(Outcome.List)) + ".revision";
  return Error{ErrorCode::StaleRevision,
               "edit is based on revision " + BasedOn + ", but revision " +
                   Last + " by " + Outcome.LastOperator + " is in force",
               {{Place, Last, BasedOn}}};
}

} // namespace

void foldConfig(ConfigState &State, const Record &Value) {
  if (!foldOwnership(State.Owner, Value) || findEdit(State, Value.Header.Id))
    return;
  if (const auto *Plans = std::get_if<PlansEdited>(&Value.What))
    foldPlans(State, Value, *Plans);
  else if (const auto *Limits = std::get_if<LimitsEdited>(&Value.What))
    foldLimits(State, Value, *Limits);
  else if (const auto *Mapped = std::get_if<CellsMapped>(&Value.What))
    State.Cells = Mapped->Domains;
}

const EditOutcome *findEdit(const ConfigState &State, const RecordId &Id) {
  const auto Found =
      std::find_if(State.Edits.rbegin(), State.Edits.rend(),
                   [&Id](const EditOutcome &Edit) { return Edit.Edit == Id; });
  return Found == State.Edits.rend() ? nullptr : &*Found;
}

Result<Revision> toResult(const EditOutcome &Outcome) {
  if (Outcome.Why == ReasonCode::EditAccepted)
    return Outcome.Last;
  if (Outcome.Why == ReasonCode::EditRefusedStale)
    return staleError(Outcome);
  return Error{ErrorCode::InvalidInput,
               "edit breaks rules beside the other list as it is now",
               {{std::string(nameOf(Outcome.List)), "a list without findings",
                 Outcome.Broken}}};
}

std::vector<char> encodeConfig(const ConfigState &State) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, ConfigSnapshotVersion);
  msgpack::pack(Buffer, State);
  return {Buffer.data(), Buffer.data() + Buffer.size()};
}

Result<ConfigState> decodeConfig(const std::vector<char> &Bytes) {
  if (Bytes.empty())
    return ConfigState{};
  const Error Damaged{ErrorCode::InvalidInput, "snapshot is damaged", {}};
  try {
    std::size_t At = 0;
    const auto Version = msgpack::unpack(Bytes.data(), Bytes.size(), At);
    if (Version->as<std::uint32_t>() > ConfigSnapshotVersion)
      return Error{ErrorCode::Unsupported, "snapshot of a later version", {}};
    if (!isBoundedMsgpack({Bytes.data() + At, Bytes.size() - At}))
      return Damaged;
    return msgpack::unpack(Bytes.data(), Bytes.size(), At)->as<ConfigState>();
  } catch (const std::exception &) {
    return Damaged;
  }
}

bool mayTakeNewWork(Instant LastInTouch, Duration Bound, Instant Now) {
  return Now - LastInTouch < Bound;
}

} // namespace pistachioflow
