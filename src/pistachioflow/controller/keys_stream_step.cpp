#include <algorithm>
#include <string_view>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/controller/keys_stream.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t MaxBatchBytes = 1U << 20U;
constexpr std::size_t MaxGivenUp = 4'096;

RequestOutcome abandoned() {
  RequestOutcome Outcome;
  Outcome.Why.Code = ReasonCode::RequestRefusedLogDown;
  return Outcome;
}

} // namespace

bool KeyStream::step() {
  std::unique_lock Guard(this->Lock);
  if (this->Stepping)
    return true;
  this->Stepping = true;
  this->takeBatch();
  if (this->InAppend) {
    Guard.unlock();
    const AppendState State = this->appendBatch(*this->InAppend);
    Guard.lock();
    this->settleAppend(State);
  }
  Guard.unlock();
  const bool Reached = this->readToEnd();
  Guard.lock();
  const bool Snapshot = Reached && this->snapshotDue();
  Guard.unlock();
  if (Snapshot)
    this->takeSnapshot();
  Guard.lock();
  this->Counted.LogReachable = Reached;
  this->Stepping = false;
  return Reached;
}

AppendState KeyStream::appendBatch(const Batch &Next) {
  if (this->Cursor.RecentSet.contains(Next.Value.Header.Id))
    return AppendState::InStream;
  return appendOrConfirm(this->Log, this->Name, Next.Value, Next.From,
                         Next.InDoubt);
}

RecordHeader KeyStream::newHeader(Epoch At) {
  return {RecordVersion, this->Ids.next(), this->Settings.Self, At,
          this->Time.wall()};
}

/// Moves what waits into one record, unless an earlier one is in doubt.
void KeyStream::takeBatch() {
  if (this->InAppend || (this->EndQueue.empty() && this->Queue.empty()))
    return;
  Batch Next;
  KeysAppended Keys;
  std::size_t Bytes = 0;
  const auto HasRoom = [&] {
    return Keys.Records.size() < this->Settings.MaxBatch &&
           Bytes < MaxBatchBytes;
  };
  while (!this->EndQueue.empty() && HasRoom()) {
    Bytes += this->EndQueue.front().Outcome.Body.size();
    Next.Ends.push_back(std::move(this->EndQueue.front()));
    this->EndQueue.pop_front();
    Keys.Records.push_back({Next.Ends.back()});
  }
  while (!this->Queue.empty() && HasRoom()) {
    const TicketPtr Asked = this->Queue.front();
    this->Queue.pop_front();
    Asked->At = Phase::Appending;
    this->Appending[Asked->Claim] = Asked;
    const KeyBegin &Begin = Asked->Asked;
    Keys.Records.push_back(
        {RequestBegun{Begin.Workspace, Begin.Key, Begin.Request, Asked->Claim,
                      Begin.BodyDigest}});
    Next.Begins.push_back(Asked);
  }
  Next.From = this->Cursor.Next;
  Next.Value = {this->newHeader(0), std::move(Keys)};
  this->InAppend = std::move(Next);
}

void KeyStream::settleAppend(AppendState State) {
  if (State == AppendState::Unknown) {
    this->InAppend->InDoubt = true;
    return;
  }
  Batch Settled = std::move(*this->InAppend);
  this->InAppend.reset();
  if (State == AppendState::InStream) {
    ++this->Counted.Appends;
    this->Counted.RecordsAppended +=
        Settled.Begins.size() + Settled.Ends.size();
    return;
  }
  for (auto Each = Settled.Ends.rbegin(); Each != Settled.Ends.rend(); ++Each)
    this->EndQueue.push_front(std::move(*Each));
  for (const TicketPtr &Asked : Settled.Begins)
    if (Asked->At == Phase::Appending)
      this->giveUp(Asked);
}

/// Reads and folds until the end of the stream.
bool KeyStream::readToEnd() {
  while (true) {
    auto Read = readNew(this->Log, this->Cursor);
    if (Read.has_error()) {
      const Error &Failure = Read.error();
      if (!std::exchange(this->Unreadable, true))
        logEvent(LogLevel::Warning, "key_stream_unreadable",
                 {{"stream", this->Name.Value},
                  {"code", toString(Failure.Code)},
                  {"message", Failure.Message}});
      return false;
    }
    const std::lock_guard Guard(this->Lock);
    if (!this->fold(Read.value()))
      return false;
    if (!Read.value().AtEnd)
      continue;
    this->Unreadable = false;
    return true;
  }
}

bool KeyStream::fold(const StreamBatch &Read) {
  if (Read.Restarted && !this->restart(Read))
    return false;
  for (const StreamRecord &Each : Read.Records) {
    const auto Changes =
        foldKeys(this->Table, Each.What, Each.At, this->Settings.Retention);
    ++this->RecordsSinceSnapshot;
    if (std::holds_alternative<SnapshotTaken>(Each.What.What)) {
      this->RecordsSinceSnapshot = 0;
      this->SnapshotDueAt =
          this->Time.monotonic() + this->Settings.SnapshotEvery;
    }
    for (const KeyChange &Change : Changes)
      this->onChange(Change);
  }
  return true;
}

/// Loads the snapshot. A damaged one must not make the stream look empty: the
/// next read restarts again.
bool KeyStream::restart(const StreamBatch &Read) {
  auto Loaded = loadKeys(Read.Snapshot);
  if (Loaded.has_error()) {
    logEvent(
        LogLevel::Error, "key_snapshot_damaged",
        {{"stream", this->Name.Value}, {"message", Loaded.error().Message}});
    this->Cursor = {};
    this->Cursor.Stream = this->Name;
    return false;
  }
  this->Table = std::move(Loaded.value());
  this->BegunSeen.clear();
  for (const auto &[Key, Entry] : this->Table.Entries) {
    if (Entry.Phase != KeyPhase::Begun)
      continue;
    this->BegunSeen[Key] = this->Time.monotonic();
    this->onWon(Entry.Claim);
  }
  this->reenterFollowers();
  return true;
}

/// Judges the followers anew: the snapshot may stand for the record that they
/// wait for.
void KeyStream::reenterFollowers() {
  std::vector<TicketPtr> Open;
  for (auto &[Key, Waiting] : std::exchange(this->Followers, {}))
    Open.insert(Open.end(), Waiting.begin(), Waiting.end());
  for (const TicketPtr &Asked : Open)
    this->enter(Asked);
}

void KeyStream::onChange(const KeyChange &Change) {
  switch (Change.What) {
  case KeyChange::Kind::Won:
    this->BegunSeen[Change.Key] = this->Time.monotonic();
    this->onWon(Change.Claim);
    break;
  case KeyChange::Kind::Lost:
    this->onLost(Change.Claim);
    break;
  case KeyChange::Kind::Ended:
  case KeyChange::Kind::Freed:
    this->BegunSeen.erase(Change.Key);
    this->resolveFollowers(Change.Key);
    break;
  }
}

KeyStream::TicketPtr KeyStream::takeAppending(std::uint64_t Claim) {
  const auto Found = this->Appending.find(Claim);
  if (Found == this->Appending.end())
    return nullptr;
  TicketPtr Asked = std::move(Found->second);
  this->Appending.erase(Found);
  return Asked;
}

void KeyStream::onWon(std::uint64_t Claim) {
  if (const TicketPtr Asked = this->takeAppending(Claim))
    this->decide(*Asked, {BeginState::First, Claim, {}});
  else
    this->abandonIfGivenUp(Claim);
}

void KeyStream::onLost(std::uint64_t Claim) {
  if (const TicketPtr Asked = this->takeAppending(Claim))
    this->enter(Asked);
}

void KeyStream::abandonIfGivenUp(std::uint64_t Claim) {
  const auto Found = this->GivenUp.find(Claim);
  if (Found == this->GivenUp.end())
    return;
  const KeyBegin &Begin = Found->second;
  this->EndQueue.push_back(
      {Begin.Workspace, Begin.Key, Begin.Request, abandoned(), Claim});
  ++this->Counted.Abandoned;
  this->Woken = true;
}

void KeyStream::rememberGivenUp(const KeyBegin &Asked, std::uint64_t Claim) {
  this->GivenUp[Claim] = Asked;
  this->GivenUpOrder.push_back(Claim);
  if (this->GivenUpOrder.size() <= MaxGivenUp)
    return;
  this->GivenUp.erase(this->GivenUpOrder.front());
  this->GivenUpOrder.pop_front();
}

void KeyStream::resolveFollowers(const KeyHash &Key) {
  const auto Found = this->Followers.find(Key);
  if (Found == this->Followers.end())
    return;
  const std::vector<TicketPtr> Waiting = std::move(Found->second);
  this->Followers.erase(Found);
  for (const TicketPtr &Asked : Waiting)
    this->enter(Asked);
}

bool KeyStream::snapshotDue() const {
  if (this->InAppend || this->Table.Order.empty())
    return false;
  return this->RecordsSinceSnapshot >= this->Settings.SnapshotAfterRecords ||
         this->Time.monotonic() >= this->SnapshotDueAt;
}

/// Claims the stream, and writes the snapshot if the claim won.
void KeyStream::takeSnapshot() {
  std::unique_lock Guard(this->Lock);
  const Offset From = this->Cursor.Next;
  const Epoch Next = this->Table.Owner.At + 1;
  const Record Claim{this->newHeader(Next), OwnerClaimed{this->Settings.Self}};
  Guard.unlock();
  const AppendState Claimed =
      appendOrConfirm(this->Log, this->Name, Claim, From);
  if (Claimed != AppendState::InStream || !this->readToEnd())
    return;
  Guard.lock();
  const OwnershipState &Owner = this->Table.Owner;
  if (Owner.At != Next || Owner.Owner != this->Settings.Self)
    return;
  const Record Snapshot{
      this->newHeader(Next),
      SnapshotTaken{this->Cursor.Next, saveKeys(this->Table)}};
  const Offset Start = this->Cursor.Next;
  Guard.unlock();
  const AppendState Taken =
      appendOrConfirm(this->Log, this->Name, Snapshot, Start);
  if (Taken != AppendState::InStream)
    return;
  Guard.lock();
  ++this->Counted.Snapshots;
  this->RecordsSinceSnapshot = 0;
  this->SnapshotDueAt = this->Time.monotonic() + this->Settings.SnapshotEvery;
}

} // namespace pistachioflow
