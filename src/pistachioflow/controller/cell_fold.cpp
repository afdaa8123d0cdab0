#include "pistachioflow/controller/cell_fold.hpp"

#include <algorithm>
#include <exception>
#include <variant>

namespace pistachioflow {

namespace {

/// What one event or decision takes in the stream, as a round upper estimate.
constexpr std::size_t ItemBytes = 256;

std::size_t itemsOf(const Payload &What) {
  if (const auto *Facts = std::get_if<FactsObserved>(&What))
    return Facts->Events.size();
  if (const auto *Made = std::get_if<DecisionsMade>(&What))
    return Made->Observed.size() + Made->Decisions.size();
  return 0;
}

void observeAll(policy::CellState &State, std::span<const Event> Events,
                Instant At) {
  for (const Event &Fact : Events)
    policy::observe(State, Fact, At);
}

std::vector<bool> applyAll(policy::CellState &State,
                           std::span<const Decision> Decisions, Instant At) {
  std::vector<bool> Applied;
  Applied.reserve(Decisions.size());
  for (const Decision &Made : Decisions)
    Applied.push_back(policy::apply(State, Made.What, At));
  return Applied;
}

} // namespace

CellTime advanceTime(const CellTime &Before, Epoch At, Instant Wall) {
  const bool SameOwner = Before.OwnerAt == At && Wall >= Before.OwnerWall;
  const Duration Passed = SameOwner ? Wall - Before.OwnerWall : Duration{0};
  return {std::max(Wall, Before.Now + Passed), At, Wall};
}

FoldedRecord foldCellRecord(CellFold &Fold, const Record &Value, bool Valid) {
  FoldedRecord Result{Valid, {}};
  if (!Valid)
    return Result;
  // Facts come from any instance, whose clock may be wrong: only owners move
  // the time.
  if (Value.Header.AuthorEpoch != 0 || Fold.Time.Now == Instant{})
    Fold.Time =
        advanceTime(Fold.Time, Value.Header.AuthorEpoch, Value.Header.Wall);
  const Instant At = Fold.Time.Now;
  if (const auto *Facts = std::get_if<FactsObserved>(&Value.What))
    observeAll(Fold.Cell, Facts->Events, At);
  if (const auto *Made = std::get_if<DecisionsMade>(&Value.What)) {
    observeAll(Fold.Cell, Made->Observed, At);
    Result.Applied = applyAll(Fold.Cell, Made->Decisions, At);
  }
  return Result;
}

std::vector<char> encodeSnapshot(const CellFold &Fold) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Fold);
  return {Buffer.data(), Buffer.data() + Buffer.size()};
}

Result<CellFold> decodeSnapshot(std::span<const char> Bytes) {
  if (Bytes.empty())
    return CellFold{};
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<CellFold>();
  } catch (const std::exception &Failure) {
    return Error{ErrorCode::InvalidInput,
                 std::string("snapshot of a cell: ") + Failure.what(),
                 {}};
  }
}

void countRecord(SnapshotProgress &Progress, const Record &Value, Instant Now) {
  if (std::holds_alternative<SnapshotTaken>(Value.What)) {
    Progress = {0, 0, Now};
    return;
  }
  ++Progress.Records;
  Progress.Bytes += ItemBytes * (1 + itemsOf(Value.What));
}

bool snapshotDue(const SnapshotProgress &Progress,
                 const SnapshotSettings &Settings, Instant Now) {
  if (Progress.Records == 0)
    return false;
  return Progress.Records >= Settings.Records ||
         Progress.Bytes >= Settings.Bytes ||
         Now - Progress.TakenAt >= Settings.Age;
}

} // namespace pistachioflow
