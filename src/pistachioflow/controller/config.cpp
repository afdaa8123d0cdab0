#include "pistachioflow/controller/config.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/controller/config_check.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t MaxKeptBytes = 256U << 10U;
constexpr std::size_t MaxInbox = 16;

Error unavailable(std::string Message) {
  return Error{ErrorCode::Unavailable, std::move(Message), {}};
}

Error unknownOutcome() {
  return Error{ErrorCode::UnknownOutcome,
               "may or may not be in the log; repeat it under the same id",
               {}};
}

/// Judges an edit against the lists in force before it is appended.
Result<void> precheck(const ConfigState &State, ListKind List, Revision BasedOn,
                      Findings Broken) {
  const bool IsPlans = List == ListKind::Plans;
  EditOutcome Outcome;
  Outcome.Why = ReasonCode::EditRefusedStale;
  Outcome.List = List;
  Outcome.BasedOn = BasedOn;
  Outcome.Last = IsPlans ? State.Now.Plans.At : State.Now.Limits.At;
  Outcome.LastOperator = IsPlans ? State.PlansOperator : State.LimitsOperator;
  if (BasedOn != Outcome.Last)
    return toResult(Outcome).error();
  if (!Broken.empty())
    return Error{ErrorCode::InvalidInput, "the list breaks rules",
                 std::move(Broken)};
  return outcome::success();
}

} // namespace

/// Passes calls on and keeps the entries read last, to forward them to peers.
class ConfigController::KeepingLog final : public LogService {
public:
  explicit KeepingLog(LogService &Inner) : Inner(Inner) {}

  Result<Offset> append(const StreamName &Stream,
                        std::string_view Bytes) override {
    return this->Inner.append(Stream, Bytes);
  }

  Result<LogPage> read(const StreamName &Stream, Offset From,
                       std::size_t Limit) override {
    Result<LogPage> Page = this->Inner.read(Stream, From, Limit);
    if (Page.has_value())
      this->keep(Page.value().Entries);
    return Page;
  }

  std::vector<LogEntry> entriesFrom(Offset From, std::size_t MaxBytes) const {
    const std::lock_guard Guard(this->Lock);
    std::vector<LogEntry> Entries;
    std::size_t Bytes = 0;
    for (auto Next = this->Kept.find(From); Next != this->Kept.end(); ++Next) {
      Bytes += Next->second.size();
      if (Next->first != From++ || Bytes > MaxBytes)
        break;
      Entries.push_back({Next->first, Next->second});
    }
    return Entries;
  }

private:
  void keep(std::span<const LogEntry> Entries) {
    const std::lock_guard Guard(this->Lock);
    for (const LogEntry &Entry : Entries) {
      if (this->Kept.emplace(Entry.At, Entry.Bytes).second)
        this->KeptBytes += Entry.Bytes.size();
    }
    while (this->KeptBytes > MaxKeptBytes) {
      this->KeptBytes -= this->Kept.begin()->second.size();
      this->Kept.erase(this->Kept.begin());
    }
  }

  LogService &Inner;
  mutable std::mutex Lock;
  std::map<Offset, std::string> Kept;
  std::size_t KeptBytes = 0;
};

ConfigController::ConfigController(LogService &Log, const Clock &Time,
                                   InstanceId Self, std::uint64_t Seed,
                                   ConfigSettings Settings, ListsCheck Check)
    : Time(Time), Self(std::move(Self)), Settings(Settings),
      Check(std::move(Check)), Log(std::make_unique<KeepingLog>(Log)),
      Ids(Seed), SnapshotSeenAt(Time.monotonic()),
      InForce(std::make_shared<const ConfigState>()) {
  this->Cursor.Stream = configStream();
  // Nobody was in touch yet: the bound has passed.
  this->Progress.LastInTouch = Time.monotonic() - Settings.StopAfter;
}

ConfigController::~ConfigController() = default;

Result<void> ConfigController::refresh() {
  const std::lock_guard Guard(this->Reading);
  return this->refreshHeld();
}

Result<Revision> ConfigController::editPlans(const PlansEdited &Edit,
                                             const RecordId &EditId) {
  const std::lock_guard Guard(this->Reading);
  return this->edit(EditId, Edit, [&] { return this->tryPlans(Edit); });
}

Result<Revision> ConfigController::editLimits(const LimitsEdited &Edit,
                                              const RecordId &EditId) {
  const std::lock_guard Guard(this->Reading);
  return this->edit(EditId, Edit, [&] { return this->tryLimits(Edit); });
}

Result<Lists> ConfigController::tryPlans(const PlansEdited &Edit) const {
  const auto Now = this->state();
  BOOST_OUTCOME_TRY(
      precheck(*Now, ListKind::Plans, Edit.BaseRevision,
               checkPlans(Edit.Entries, Now->Now.Limits.Entries)));
  Lists After = Now->Now;
  After.Plans = {Edit.BaseRevision + 1, Edit.Entries};
  return this->withCheck(std::move(After));
}

Result<Lists> ConfigController::tryLimits(const LimitsEdited &Edit) const {
  const auto Now = this->state();
  BOOST_OUTCOME_TRY(
      precheck(*Now, ListKind::Limits, Edit.BaseRevision,
               checkLimits(Edit.Entries, Now->Now.Plans.Entries)));
  Lists After = Now->Now;
  After.Limits = {Edit.BaseRevision + 1, Edit.Entries};
  return this->withCheck(std::move(After));
}

Result<void> ConfigController::mapCells(const CellsMapped &Mapping) {
  const std::lock_guard Guard(this->Reading);
  BOOST_OUTCOME_TRY(this->refreshHeld());
  return this->appendAndRead(this->makeRecord(0, Mapping));
}

std::shared_ptr<const ConfigState> ConfigController::state() const {
  const std::lock_guard Guard(this->Lock);
  return this->InForce;
}

ConfigProgress ConfigController::progress() const {
  const std::lock_guard Guard(this->Lock);
  return this->Progress;
}

bool ConfigController::mayTakeNewWork() const {
  return pistachioflow::mayTakeNewWork(this->progress().LastInTouch,
                                       this->Settings.StopAfter,
                                       this->Time.monotonic());
}

std::vector<LogEntry>
ConfigController::entriesFrom(Offset From, std::size_t MaxBytes) const {
  return this->Log->entriesFrom(From, MaxBytes);
}

void ConfigController::takeForwarded(std::vector<LogEntry> Entries,
                                     Offset PeerNext, Instant ReadAt) {
  {
    const std::lock_guard Guard(this->Lock);
    if (this->Inbox.size() == MaxInbox)
      this->Inbox.erase(this->Inbox.begin());
    this->Inbox.push_back({std::move(Entries), PeerNext, ReadAt});
  }
  const std::unique_lock Guard(this->Reading, std::try_to_lock);
  if (Guard.owns_lock())
    this->takeInbox();
}

Result<void> ConfigController::snapshotIfDue(std::size_t Rank) {
  const std::lock_guard Guard(this->Reading);
  if (!this->isSnapshotDue(Rank))
    return outcome::success();
  BOOST_OUTCOME_TRY(this->refreshHeld());
  if (!this->isSnapshotDue(Rank))
    return outcome::success();
  return this->appendSnapshot();
}

Result<void> ConfigController::refreshHeld() {
  Result<void> Read = this->readToEnd();
  this->takeInbox();
  return Read;
}

Result<void> ConfigController::readToEnd() {
  const Instant Began = this->Time.monotonic();
  for (bool AtEnd = false; !AtEnd;) {
    Result<StreamBatch> Batch = readNew(*this->Log, this->Cursor);
    const Result<void> Folded = Batch.has_value()
                                    ? this->foldBatch(Batch.value())
                                    : Result<void>(Batch.error());
    if (Folded.has_error()) {
      const std::lock_guard Guard(this->Lock);
      this->Progress.LogReachable = false;
      return Folded;
    }
    AtEnd = Batch.value().AtEnd;
  }
  const std::lock_guard Guard(this->Lock);
  this->Progress.LogReachable = true;
  this->Progress.Next = this->Cursor.Next;
  this->Progress.LogReadAt = Began;
  this->Progress.LastInTouch = std::max(this->Progress.LastInTouch, Began);
  return outcome::success();
}

Result<void> ConfigController::foldBatch(const StreamBatch &Batch) {
  if (!Batch.Restarted && Batch.Records.empty())
    return outcome::success();
  const auto Before = this->state();
  ConfigState Next = *Before;
  if (Batch.Restarted) {
    Result<ConfigState> Loaded = decodeConfig(Batch.Snapshot);
    if (Loaded.has_error()) {
      this->Cursor.Started = false;
      return std::move(Loaded).error();
    }
    Next = std::move(Loaded.value());
    this->RecordsSinceSnapshot = 0;
  }
  for (const StreamRecord &Entry : Batch.Records) {
    foldConfig(Next, Entry.What);
    this->countRecord(Entry.What);
  }
  const bool GoesBack = Next.Now.Plans.At < Before->Now.Plans.At ||
                        Next.Now.Limits.At < Before->Now.Limits.At;
  if (GoesBack) {
    this->Cursor.Started = false;
    return unavailable("the log shows lists older than those in force");
  }
  this->publish(std::move(Next));
  return outcome::success();
}

Result<void> ConfigController::foldForwarded(const Forwarded &Given) {
  BOOST_OUTCOME_TRY(Batch, readForwarded(Given.Entries, this->Cursor));
  BOOST_OUTCOME_TRY(this->foldBatch(Batch));
  if (this->Cursor.Next < Given.PeerNext)
    return outcome::success();
  const std::lock_guard Guard(this->Lock);
  this->Progress.LastInTouch =
      std::max(this->Progress.LastInTouch, Given.ReadAt);
  return outcome::success();
}

void ConfigController::takeInbox() {
  std::vector<Forwarded> Waiting;
  {
    const std::lock_guard Guard(this->Lock);
    std::swap(Waiting, this->Inbox);
  }
  if (!this->Cursor.Started)
    return;
  for (const Forwarded &Given : Waiting) {
    const Result<void> Taken = this->foldForwarded(Given);
    if (Taken.has_error())
      logEvent(LogLevel::Warning, "forwarded_records_refused",
               {{"error", toString(Taken.error().Code)},
                {"message", Taken.error().Message}});
  }
}

Result<Revision>
ConfigController::edit(const RecordId &EditId, Payload What,
                       const std::function<Result<Lists>()> &Try) {
  BOOST_OUTCOME_TRY(this->refreshHeld());
  const auto Now = this->state();
  if (const EditOutcome *Known = findEdit(*Now, EditId))
    return toResult(*Known);
  BOOST_OUTCOME_TRY(Try());
  return this->appendEdit(this->makeRecord(0, std::move(What), EditId));
}

Result<Revision> ConfigController::appendEdit(const Record &Edit) {
  BOOST_OUTCOME_TRY(this->appendAndRead(Edit));
  const auto Now = this->state();
  if (const EditOutcome *Known = findEdit(*Now, Edit.Header.Id))
    return toResult(*Known);
  return unknownOutcome();
}

Result<void> ConfigController::appendAndRead(const Record &Value) {
  constexpr int ReadAttempts = 3;
  const AppendState Appended = appendOrConfirm(*this->Log, this->Cursor.Stream,
                                               Value, this->Cursor.Next);
  if (Appended == AppendState::NotInStream)
    return unavailable("the log cannot be reached; nothing was appended");
  for (int Try = 0; Try < ReadAttempts; ++Try) {
    const Result<void> Read = this->refreshHeld();
    if (Read.has_value() && this->Cursor.RecentSet.contains(Value.Header.Id))
      return outcome::success();
  }
  return unknownOutcome();
}

Result<void> ConfigController::appendSnapshot() {
  const Epoch Next = this->state()->Owner.At + 1;
  BOOST_OUTCOME_TRY(
      this->appendAndRead(this->makeRecord(Next, OwnerClaimed{this->Self})));
  const auto Now = this->state();
  // Another instance won the epoch and writes the snapshot.
  if (Now->Owner.Owner != this->Self || Now->Owner.At != Next)
    return outcome::success();
  return this->appendAndRead(this->makeRecord(
      Next, SnapshotTaken{this->Cursor.Next, encodeConfig(*Now)}));
}

bool ConfigController::isSnapshotDue(std::size_t Rank) const {
  constexpr std::size_t RanksPerInterval = 4;
  if (this->RecordsSinceSnapshot == 0 && this->Cursor.Next == 0)
    return false;
  const std::size_t Records = this->Settings.SnapshotAfterRecords *
                              (RanksPerInterval + Rank) / RanksPerInterval;
  const std::int64_t AfterMs =
      this->Settings.SnapshotAfter.Ms *
      static_cast<std::int64_t>(RanksPerInterval + Rank) /
      static_cast<std::int64_t>(RanksPerInterval);
  return this->RecordsSinceSnapshot >= Records ||
         (this->Time.monotonic() - this->SnapshotSeenAt).Ms >= AfterMs;
}

Record ConfigController::makeRecord(Epoch At, Payload What,
                                    const RecordId &Id) {
  return {{RecordVersion, Id.empty() ? this->Ids.next() : Id, this->Self, At,
           this->Time.wall()},
          std::move(What)};
}

void ConfigController::countRecord(const Record &Value) {
  ++this->RecordsSinceSnapshot;
  if (!std::holds_alternative<SnapshotTaken>(Value.What))
    return;
  this->RecordsSinceSnapshot = 0;
  this->SnapshotSeenAt = this->Time.monotonic();
}

void ConfigController::publish(ConfigState Next) {
  auto Shared = std::make_shared<const ConfigState>(std::move(Next));
  const std::lock_guard Guard(this->Lock);
  this->Progress.Next = this->Cursor.Next;
  this->Progress.Plans = Shared->Now.Plans.At;
  this->Progress.Limits = Shared->Now.Limits.At;
  this->InForce = std::move(Shared);
}

Result<Lists> ConfigController::withCheck(Lists After) const {
  Findings Found = this->Check ? this->Check(After) : Findings{};
  if (Found.empty())
    return After;
  return Error{ErrorCode::Refused, "the lists cannot be upheld",
               std::move(Found)};
}

StreamName configStream() { return {"config"}; }

} // namespace pistachioflow
