#include "pistachioflow/entry/journal_writer.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// An append takes a few milliseconds. After this long the answer is probably
/// lost.
constexpr Duration AppendTimeout{700};
constexpr Duration RetryDelay{50};
/// Time that a write leaves for the append before it and its own, in appends.
constexpr std::int64_t AppendsPerWrite = 4;
/// Appends that take less need no extension of the timeouts.
constexpr Duration SlowAppendTime{100};
/// Callers wait about 3 s in all.
constexpr Duration MaxExtension{1'200};
/// Longest time between two checks of a write's timeouts.
constexpr Duration TimeoutCheckInterval{100};
/// A probe that hangs when an outage ends delays the next one by its timeout:
/// both together stay under a second.
constexpr Duration ProbeTimeout{500};
constexpr Duration ProbeInterval{250};
/// Shortest time between two checks while appends work, since many instances
/// may fail to read at once.
constexpr Duration CheckInterval{1'000};

/// Whether the store processed the append, whatever it decided.
bool isProcessed(AppendOutcome Outcome) {
  return Outcome != AppendOutcome::Refused && Outcome != AppendOutcome::Unknown;
}

} // namespace

WriteTimeouts extendTimeouts(const WriteTimeouts &Timeouts,
                             Duration LastAppendTime) {
  if (LastAppendTime < SlowAppendTime)
    return Timeouts;
  const Duration Extension =
      std::min(LastAppendTime * AppendsPerWrite, MaxExtension);
  return {Timeouts.Refused + Extension, Timeouts.Unanswered + Extension};
}

std::size_t recordBytes(const JournalRecord &Record) {
  constexpr std::size_t KeyLengthBytes = 1;
  return KeyLengthBytes + Record.Key.size() + Record.Value.size();
}

std::size_t storedBytes(const JournalRecord &Record) {
  constexpr std::size_t LengthBytes = 4;
  return LengthBytes + recordBytes(Record);
}

std::vector<std::vector<JournalRecord>>
splitRecords(std::vector<JournalRecord> Records, std::size_t MaxBytes) {
  std::vector<std::vector<JournalRecord>> Parts;
  std::size_t Bytes = 0;
  for (JournalRecord &Record : Records) {
    const std::size_t Added = storedBytes(Record);
    if (Parts.empty() || Bytes + Added > MaxBytes) {
      Parts.emplace_back();
      Bytes = 0;
    }
    Bytes += Added;
    Parts.back().push_back(std::move(Record));
  }
  return Parts;
}

struct JournalWriter::PendingWrite {
  explicit PendingWrite(asio::io_context &Io) : Finished(Io) {}

  std::vector<JournalRecord> Records;
  Instant SubmittedAt;
  Instant SubmittedWall;
  WriteTimeouts Timeouts;
  Signal Finished;
  bool Resolved = false;
  WriteOutcome Outcome = WriteOutcome::Unknown;
};

JournalWriter::JournalWriter(asio::io_context &Io, StoreClient &Store,
                             const Clock &Time, std::string Id,
                             std::int64_t Epoch, std::int64_t FirstSequence,
                             std::size_t MaxCallBytes, Duration MaxRecordAge)
    : Io(Io), Store(Store), Time(Time), Id(std::move(Id)), Epoch(Epoch),
      Sequence(FirstSequence), MaxCallBytes(MaxCallBytes),
      MaxRecordAge(MaxRecordAge) {}

asio::awaitable<WriteOutcome>
JournalWriter::write(std::vector<JournalRecord> Records,
                     WriteTimeouts Timeouts) {
  auto Pending = std::make_shared<PendingWrite>(this->Io);
  Pending->Records = std::move(Records);
  Pending->SubmittedAt = this->Time.monotonic();
  Pending->SubmittedWall = this->Time.wall();
  Pending->Timeouts = Timeouts;
  this->Queue.push_back(Pending);
  this->startAppendLoop();
  while (!Pending->Resolved) {
    co_await Pending->Finished.wait(TimeoutCheckInterval);
    const Duration Waited = this->Time.monotonic() - Pending->SubmittedAt;
    const bool Answering = this->FailingSince.Ms == 0;
    const WriteTimeouts Limits =
        Answering ? extendTimeouts(Timeouts, this->LastAppendTime) : Timeouts;
    if (Pending->Resolved || Waited <= Limits.Refused)
      continue;
    const auto Position =
        std::find(this->Queue.begin(), this->Queue.end(), Pending);
    if (Position != this->Queue.end()) {
      // It was not sent, and is no longer queued.
      this->Queue.erase(Position);
      co_return WriteOutcome::NotStored;
    }
    if (Waited > Limits.Unanswered)
      co_return WriteOutcome::Unknown;
  }
  co_return Pending->Outcome;
}

asio::awaitable<WriteOutcome>
JournalWriter::writeInParts(std::vector<JournalRecord> Records,
                            WriteTimeouts Timeouts) {
  std::vector<std::vector<JournalRecord>> Parts =
      splitRecords(std::move(Records), this->MaxCallBytes);
  WriteOutcome Outcome = WriteOutcome::Stored;
  for (std::vector<JournalRecord> &Part : Parts) {
    Outcome = co_await this->write(std::move(Part), Timeouts);
    if (Outcome != WriteOutcome::Stored)
      break;
  }
  co_return Outcome;
}

void JournalWriter::startAppendLoop() {
  if (this->AppendLoopRunning)
    return;
  this->AppendLoopRunning = true;
  spawnCoroutine(this->Io, "journal_writer",
                 this->appendLoop(this->shared_from_this()));
}

std::vector<JournalRecord> JournalWriter::nextBatch() {
  std::vector<JournalRecord> Records;
  std::size_t Bytes = 0;
  while (!this->Queue.empty()) {
    std::size_t WriteBytes = 0;
    for (const JournalRecord &Record : this->Queue.front()->Records)
      WriteBytes += storedBytes(Record);
    if (!this->Batch.empty() && Bytes + WriteBytes > this->MaxCallBytes)
      break;
    Bytes += WriteBytes;
    this->Batch.push_back(std::move(this->Queue.front()));
    this->Queue.pop_front();
    entryMetrics().AppendedBytes.add(WriteBytes);
    const auto &WriteRecords = this->Batch.back()->Records;
    Records.insert(Records.end(), WriteRecords.begin(), WriteRecords.end());
  }
  return Records;
}

void JournalWriter::resolveBatch(WriteOutcome Outcome) {
  for (const auto &Write : this->Batch) {
    Write->Resolved = true;
    Write->Outcome = Outcome;
    Write->Finished.notify();
  }
  this->Batch.clear();
}

asio::awaitable<void>
JournalWriter::appendLoop(std::shared_ptr<JournalWriter> Self) {
  bool MaybeStored = false;
  Instant FirstSentAt;
  Instant FirstSentWall;
  std::vector<JournalRecord> Records;
  while (!this->Queue.empty() || !this->Batch.empty()) {
    if (this->Batch.empty()) {
      Records = this->nextBatch();
      MaybeStored = false;
      FirstSentAt = this->Time.monotonic();
      FirstSentWall = this->Time.wall();
    }
    if (this->batchIsTooOld()) {
      if (MaybeStored)
        co_await this->preventLateAppend();
      this->resolveBatch(MaybeStored ? WriteOutcome::Unknown
                                     : WriteOutcome::NotStored);
      continue;
    }
    Producer AppendProducer{this->Id, this->Epoch, this->Sequence};
    std::string Topic(JournalTopic);
    const std::optional<std::int64_t> NoExpectedEnd;
    const Instant SentAt = this->Time.monotonic();
    const AppendAnswer Answer = co_await this->Store.append(
        std::move(Topic), Records, std::move(AppendProducer), NoExpectedEnd,
        AppendTimeout);
    entryMetrics().Appends.add();
    if (isProcessed(Answer.Outcome))
      this->LastAppendTime = this->Time.monotonic() - SentAt;
    if (Answer.Outcome == AppendOutcome::Appended) {
      entryMetrics().AppendMs.record(
          static_cast<double>(this->LastAppendTime.Ms));
      this->noteAnswer(Answer.Outcome);
      ++this->Sequence;
      this->StoredAt = FirstSentAt;
      this->StoredAtWall = FirstSentWall;
      this->resolveBatch(WriteOutcome::Stored);
      continue;
    }
    entryMetrics().AppendsFailed.add();
    this->noteAnswer(Answer.Outcome);
    logEvent(LogLevel::Warning, "append_failed",
             {{"outcome", toString(Answer.Outcome)},
              {"epoch", this->Epoch},
              {"sequence", this->Sequence},
              {"expected", Answer.ExpectedSequence}});
    if (Answer.Outcome == AppendOutcome::Fenced) {
      this->resolveBatch(MaybeStored ? WriteOutcome::Unknown
                                     : WriteOutcome::Fenced);
      continue;
    }
    // A record holds the whole state of its key, so appending it twice is
    // harmless.
    if (Answer.Outcome == AppendOutcome::WrongSequence)
      this->Sequence = Answer.ExpectedSequence;
    MaybeStored = MaybeStored || Answer.Outcome == AppendOutcome::Unknown;
    const Duration FailingFor =
        this->Time.monotonic() - this->Batch.front()->SubmittedAt;
    if (!MaybeStored && FailingFor > this->Batch.front()->Timeouts.Refused) {
      this->resolveBatch(WriteOutcome::NotStored);
      continue;
    }
    co_await pauseFor(this->Io, RetryDelay);
  }
  Self->AppendLoopRunning = false;
}

/// The monotonic clock does not count time in which the process was suspended.
bool JournalWriter::batchIsTooOld() const {
  if (this->MaxRecordAge == UnlimitedRecordAge)
    return false;
  const PendingWrite &Oldest = *this->Batch.front();
  const Duration Age = std::max(this->Time.monotonic() - Oldest.SubmittedAt,
                                this->Time.wall() - Oldest.SubmittedWall);
  return Age > this->MaxRecordAge;
}

/// Sets a newer epoch, which makes the store refuse whatever was sent before.
asio::awaitable<void> JournalWriter::preventLateAppend() {
  ++this->Epoch;
  this->Sequence = 0;
  logEvent(LogLevel::Warning, "append_given_up",
           {{"writer", this->Id},
            {"writes", static_cast<std::int64_t>(this->Batch.size())},
            {"epoch", this->Epoch}});
  while (true) {
    Producer NewerEpoch{this->Id, this->Epoch, this->Sequence};
    std::string Topic(JournalTopic);
    const std::optional<std::int64_t> NoExpectedEnd;
    const AppendAnswer Answer =
        co_await this->Store.append(std::move(Topic), {}, std::move(NewerEpoch),
                                    NoExpectedEnd, AppendTimeout);
    this->noteAnswer(Answer.Outcome);
    if (isProcessed(Answer.Outcome))
      break;
    co_await pauseFor(this->Io, RetryDelay);
  }
  // With the same number, the next append would be taken for a repetition.
  ++this->Sequence;
}

void JournalWriter::noteAnswer(AppendOutcome Outcome) {
  const bool Processed = isProcessed(Outcome);
  if (Processed && this->FailingSince.Ms != 0)
    logEvent(LogLevel::Info, "store_writable",
             {{"writer", this->Id},
              {"ms", (this->Time.monotonic() - this->FailingSince).Ms}});
  if (Processed)
    this->FailingSince = {};
  else if (this->FailingSince.Ms == 0)
    this->FailingSince = this->Time.monotonic();
  if (!Processed)
    this->startProbeLoop(ProbeInterval);
}

void JournalWriter::checkStore() {
  const Instant Now = this->Time.monotonic();
  if (this->CheckedAt.Ms != 0 && Now - this->CheckedAt < CheckInterval)
    return;
  this->CheckedAt = Now;
  this->startProbeLoop(Duration{0});
}

void JournalWriter::startProbeLoop(Duration FirstPause) {
  if (this->ProbeLoopRunning)
    return;
  this->ProbeLoopRunning = true;
  spawnCoroutine(this->Io, "store_probe",
                 this->probeLoop(this->weak_from_this(), FirstPause));
}

/// Appends nothing, under a producer of its own: the sequence numbers of the
/// writer's records stay as they are.
asio::awaitable<void>
JournalWriter::probeLoop(std::weak_ptr<JournalWriter> Self,
                         Duration FirstPause) {
  asio::io_context &Context = this->Io;
  Duration Pause = FirstPause;
  while (true) {
    co_await pauseFor(Context, Pause);
    Pause = ProbeInterval;
    const std::shared_ptr<JournalWriter> Writer = Self.lock();
    if (!Writer)
      co_return;
    // An append in progress shows the same.
    if (Writer->AppendLoopRunning)
      continue;
    Producer Prober{Writer->Id + "/probe", Writer->Epoch, 0};
    std::string Topic(JournalTopic);
    const std::optional<std::int64_t> NoExpectedEnd;
    const AppendAnswer Answer = co_await Writer->Store.append(
        std::move(Topic), {}, std::move(Prober), NoExpectedEnd, ProbeTimeout);
    entryMetrics().StoreProbes.add();
    Writer->noteAnswer(Answer.Outcome);
    if (Writer->FailingSince.Ms != 0)
      continue;
    Writer->ProbeLoopRunning = false;
    co_return;
  }
}

} // namespace pistachioflow
