#include "pistachioflow/entry/ownership.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/coroutines.hpp"

namespace pistachioflow {

namespace {

/// All owners append as one producer, so that a newer epoch fences older ones.
constexpr std::string_view OwnerProducer = "owner";
/// Interval of the checks whether to claim; short against OwnerTimeout.
constexpr Duration PollInterval{50};
constexpr Duration ClaimTimeout{700};
/// An owner can't go on without its records, so it waits as long as the store
/// takes.
constexpr WriteTimeouts OwnerWriteTimeouts{{3'600'000}, {3'600'000}};
/// First sequence numbers are below this, so that enough numbers follow for all
/// appends of one epoch.
constexpr std::int64_t SequenceRange = std::int64_t{1} << 30U;

} // namespace

Duration claimDelay(const OwnershipTimes &Times, std::int64_t MilliCores) {
  constexpr std::int64_t MilliPerCore = 1'000;
  return {Times.OneCoreClaimDelay.Ms * MilliPerCore /
          std::max<std::int64_t>(MilliCores, 1)};
}

bool needsSuccessor(const OwnershipRecord &Record, std::string_view Instance) {
  const auto NameOf = [](std::string_view Process) {
    return Process.substr(0, Process.find('/'));
  };
  const bool EarlierProcess = Record.Instance != Instance &&
                              NameOf(Record.Instance) == NameOf(Instance);
  return Record.Epoch == 0 || Record.Resigned || EarlierProcess;
}

bool shouldClaim(const OwnershipView &View, const OwnershipTimes &Times,
                 Duration Jitter, Instant Now) {
  if (View.ShuttingDown || !View.Readable || Now < View.NoClaimBefore)
    return false;
  const Duration Delay = claimDelay(Times, View.MilliCores) + Jitter;
  if (View.VacantSince.Ms != 0)
    return Now - std::max(View.VacantSince, View.ReadableSince) >= Delay;
  const Instant NoRecordSince = std::max(View.LastRecordAt, View.ReadableSince);
  if (Now - NoRecordSince >= Times.OwnerTimeout + Delay)
    return true;
  const bool OwnerIsMuchSmaller =
      View.NewestRecord.MilliCores > 0 &&
      View.NewestRecord.MilliCores * 2 < View.MilliCores;
  return OwnerIsMuchSmaller &&
         Now - View.ReadableSince >= Times.TakeoverFollowTime + Delay;
}

Ownership::Ownership(asio::io_context &Io, StoreClient &Store,
                     const Clock &Time, std::string Instance,
                     std::int64_t MilliCores, std::size_t MaxCallBytes,
                     Callbacks Hooks)
    : Io(Io), Store(Store), Time(Time), Instance(std::move(Instance)),
      MaxCallBytes(MaxCallBytes), Hooks(std::move(Hooks)),
      Random(std::hash<std::string>{}(this->Instance)) {
  this->View.MilliCores = MilliCores;
  this->updateVacancy(Time.monotonic());
}

asio::awaitable<void> Ownership::run() {
  const auto Range = static_cast<std::uint64_t>(this->Times.ClaimJitter.Ms);
  Duration Jitter{static_cast<std::int64_t>(this->Random() % Range)};
  while (true) {
    co_await pauseFor(this->Io, PollInterval);
    const Instant Now = this->Time.monotonic();
    this->View.Readable = this->Hooks.JournalReadable();
    if (!this->View.Readable)
      this->View.ReadableSince = Now;
    if (this->isOwner()) {
      if (!this->HeartbeatInProgress)
        spawnCoroutine(this->Io, "heartbeat", this->sendHeartbeat());
      continue;
    }
    if (!shouldClaim(this->View, this->Times, Jitter, Now))
      continue;
    // Submissions move the end of a busy journal, and the owner's records may
    // be among them.
    if (this->View.VacantSince.Ms == 0)
      co_await this->Hooks.RefreshJournal();
    if (shouldClaim(this->View, this->Times, Jitter, this->Time.monotonic()))
      co_await this->claim();
    Jitter = {static_cast<std::int64_t>(this->Random() % Range)};
  }
}

asio::awaitable<void> Ownership::sendHeartbeat() {
  this->HeartbeatInProgress = true;
  const std::shared_ptr<JournalWriter> CurrentWriter = this->Writer;
  const OwnershipRecord Record{this->View.NewestRecord.Epoch, this->Instance,
                               ++this->HeartbeatCount, this->View.ShuttingDown,
                               this->View.MilliCores};
  std::vector<JournalRecord> Records;
  Records.push_back({ownershipKey(), encodeRecord(Record)});
  const WriteOutcome Outcome =
      co_await CurrentWriter->write(std::move(Records), OwnerWriteTimeouts);
  if (Outcome == WriteOutcome::Fenced && this->Writer == CurrentWriter)
    this->lose("fenced");
  co_await pauseFor(this->Io, this->Times.HeartbeatInterval);
  this->HeartbeatInProgress = false;
}

asio::awaitable<void> Ownership::claim() {
  const std::int64_t NextEpoch = this->View.NewestRecord.Epoch + 1;
  // An earlier attempt without an answer may be the one that is accepted.
  if (NextEpoch != this->ClaimedEpoch)
    this->Claim.SentAt = this->Time.monotonic();
  this->ClaimedEpoch = NextEpoch;
  this->ClaimSequence = static_cast<std::int64_t>(
      this->Random() % static_cast<std::uint64_t>(SequenceRange));
  const OwnershipRecord Record{this->ClaimedEpoch, this->Instance, 0, false,
                               this->View.MilliCores};
  std::vector<JournalRecord> Records;
  Records.push_back({ownershipKey(), encodeRecord(Record)});
  std::string Topic(JournalTopic);
  Producer Claimer{std::string(OwnerProducer), this->ClaimedEpoch,
                   this->ClaimSequence};
  std::optional<std::int64_t> End;
  if (this->View.VacantSince.Ms == 0)
    End = this->Hooks.JournalPosition();
  const AppendAnswer Answer = co_await this->Store.append(
      std::move(Topic), Records, std::move(Claimer), End, ClaimTimeout);
  const bool Rejected = Answer.Outcome == AppendOutcome::Fenced ||
                        Answer.Outcome == AppendOutcome::WrongSequence;
  if (Rejected)
    this->View.NoClaimBefore =
        this->Time.monotonic() + this->Times.RejectedClaimPause;
  logEvent(LogLevel::Info, "ownership_claimed",
           {{"epoch", this->ClaimedEpoch},
            {"previous", this->View.NewestRecord.Instance},
            {"outcome", toString(Answer.Outcome)}});
}

void Ownership::apply(const OwnershipRecord &Record) {
  const Instant Now = this->Time.monotonic();
  if (Record.Epoch < this->View.NewestRecord.Epoch)
    return;
  const bool NewEpoch = Record.Epoch > this->View.NewestRecord.Epoch;
  this->View.NewestRecord = Record;
  this->View.LastRecordAt = Now;
  this->updateVacancy(Now);
  if (!NewEpoch)
    return;
  this->Claim.PreviousEpochSeenAt = std::exchange(this->EpochSeenAt, Now);
  if (this->isOwner())
    this->lose("newer_epoch");
  const bool ClaimedByUs = Record.Instance == this->Instance &&
                           Record.Epoch == this->ClaimedEpoch &&
                           !Record.Resigned;
  logEvent(LogLevel::Info, "owner_changed",
           {{"epoch", Record.Epoch}, {"owner", Record.Instance}});
  if (!ClaimedByUs || this->View.ShuttingDown)
    return;
  this->Writer = std::make_shared<JournalWriter>(
      this->Io, this->Store, this->Time, std::string(OwnerProducer),
      Record.Epoch, this->ClaimSequence + 1, this->MaxCallBytes,
      UnlimitedRecordAge);
  this->Hooks.OnGained(Record.Epoch);
}

void Ownership::lose(std::string_view Reason) {
  if (!this->isOwner())
    return;
  logEvent(LogLevel::Warning, "ownership_lost",
           {{"epoch", this->View.NewestRecord.Epoch}, {"reason", Reason}});
  this->Writer.reset();
  this->View.LastRecordAt = this->Time.monotonic();
  this->Hooks.OnLost(Reason);
}

void Ownership::resign() {
  this->View.ShuttingDown = true;
  if (this->isOwner() && !this->HeartbeatInProgress)
    spawnCoroutine(this->Io, "heartbeat", this->sendHeartbeat());
}

void Ownership::updateVacancy(Instant Now) {
  const bool Vacant = needsSuccessor(this->View.NewestRecord, this->Instance);
  if (!Vacant)
    this->View.VacantSince = {};
  else if (this->View.VacantSince.Ms == 0)
    this->View.VacantSince = Now;
}

} // namespace pistachioflow
