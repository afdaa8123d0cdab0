#include "pistachioflow/entry/journal_writer.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// An append takes a few milliseconds; a call that takes this long has
/// probably lost its answer.
constexpr Duration AppendTimeout{700};
constexpr Duration RetryPause{50};
/// Longest time between two looks at a waiter's patience.
constexpr Duration PatienceCheck{100};

} // namespace

struct JournalWriter::PendingWrite {
  explicit PendingWrite(asio::io_context &Io) : Finished(Io) {}

  std::vector<JournalRecord> Records;
  Instant HandedIn;
  WriteTimeouts Patience;
  Signal Finished;
  bool Resolved = false;
  WriteOutcome Outcome = WriteOutcome::Unknown;
};

JournalWriter::JournalWriter(asio::io_context &Io, StoreClient &Store,
                             const Clock &Time, std::string Id,
                             std::int64_t Epoch, std::int64_t FirstSequence,
                             std::size_t CallBytes)
    : Io(Io), Store(Store), Time(Time), Id(std::move(Id)), Epoch(Epoch),
      Sequence(FirstSequence), MaxCallBytes(CallBytes) {}

asio::awaitable<WriteOutcome>
JournalWriter::write(std::vector<JournalRecord> Records,
                     WriteTimeouts Patience) {
  auto Made = std::make_shared<PendingWrite>(this->Io);
  Made->Records = std::move(Records);
  Made->HandedIn = this->Time.monotonic();
  Made->Patience = Patience;
  this->Queue.push_back(Made);
  this->startAppendLoop();
  while (!Made->Resolved) {
    co_await Made->Finished.wait(PatienceCheck);
    const Duration Waited = this->Time.monotonic() - Made->HandedIn;
    if (Made->Resolved || Waited <= Patience.Refused)
      continue;
    const auto Place = std::find(this->Queue.begin(), this->Queue.end(), Made);
    if (Place != this->Queue.end()) {
      // Never sent, and nobody will send it any more.
      this->Queue.erase(Place);
      co_return WriteOutcome::NotStored;
    }
    if (Waited > Patience.Unanswered)
      co_return WriteOutcome::Unknown;
  }
  co_return Made->Outcome;
}

void JournalWriter::startAppendLoop() {
  if (this->AppendLoopRunning)
    return;
  this->AppendLoopRunning = true;
  spawnCoroutine(this->Io, "journal_writer",
                 this->appendLoop(this->shared_from_this()));
}

std::vector<JournalRecord> JournalWriter::nextBatch() {
  constexpr std::size_t FramingBytes = 5;
  std::vector<JournalRecord> Records;
  std::size_t Bytes = 0;
  while (!this->Queue.empty()) {
    std::size_t Added = 0;
    for (const JournalRecord &Record : this->Queue.front()->Records)
      Added += Record.Key.size() + Record.Value.size() + FramingBytes;
    if (!this->Batch.empty() && Bytes + Added > this->MaxCallBytes)
      break;
    Bytes += Added;
    this->Batch.push_back(std::move(this->Queue.front()));
    this->Queue.pop_front();
    entryMetrics().AppendedBytes.add(Added);
    const auto &Taken = this->Batch.back()->Records;
    Records.insert(Records.end(), Taken.begin(), Taken.end());
  }
  return Records;
}

void JournalWriter::resolveBatch(WriteOutcome Outcome) {
  for (const auto &Waiter : this->Batch) {
    Waiter->Resolved = true;
    Waiter->Outcome = Outcome;
    Waiter->Finished.notify();
  }
  this->Batch.clear();
}

asio::awaitable<void>
JournalWriter::appendLoop(std::shared_ptr<JournalWriter> Self) {
  bool MaybeStored = false;
  std::vector<JournalRecord> Records;
  while (!this->Queue.empty() || !this->Batch.empty()) {
    if (this->Batch.empty()) {
      Records = this->nextBatch();
      MaybeStored = false;
    }
    Producer Writer{this->Id, this->Epoch, this->Sequence};
    std::string Topic(JournalTopic);
    const std::optional<std::int64_t> AnyEnd;
    const Instant SentAt = this->Time.monotonic();
    const AppendAnswer Answer = co_await this->Store.append(
        std::move(Topic), Records, std::move(Writer), AnyEnd, AppendTimeout);
    entryMetrics().Appends.add();
    if (Answer.Outcome == AppendOutcome::Appended) {
      entryMetrics().AppendMs.record(
          static_cast<double>((this->Time.monotonic() - SentAt).Ms));
      this->FailingSince = {};
      ++this->Sequence;
      this->resolveBatch(WriteOutcome::Stored);
      continue;
    }
    entryMetrics().AppendsFailed.add();
    const Instant Now = this->Time.monotonic();
    if (this->FailingSince.Ms == 0)
      this->FailingSince = Now;
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
    // Records name the state of their key, so repeating some is harmless.
    if (Answer.Outcome == AppendOutcome::WrongSequence)
      this->Sequence = Answer.ExpectedSequence;
    MaybeStored = MaybeStored || Answer.Outcome == AppendOutcome::Unknown;
    const Duration Failing = Now - this->Batch.front()->HandedIn;
    if (!MaybeStored && Failing > this->Batch.front()->Patience.Refused) {
      this->resolveBatch(WriteOutcome::NotStored);
      continue;
    }
    co_await pauseFor(this->Io, RetryPause);
  }
  Self->AppendLoopRunning = false;
}

} // namespace pistachioflow
