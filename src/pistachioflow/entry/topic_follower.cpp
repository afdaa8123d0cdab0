#include "pistachioflow/entry/topic_follower.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// How long a read waits at the store for a new record. Limits how long a dead
/// connection goes unnoticed.
constexpr Duration ReadWait{1'000};
/// Added to a read's wait for its timeout; enough for a slow store.
constexpr Duration ReadAnswerTime{800};
constexpr Duration LoadTimeout{2'000};
constexpr Duration RetryDelay{100};

} // namespace

TopicFollower::TopicFollower(asio::io_context &Io, StoreClient &Store,
                             const Clock &Time, std::string Topic,
                             TopicObserver Observer, Duration Pause)
    : Io(Io), Store(Store), Time(Time), Topic(std::move(Topic)),
      Observer(std::move(Observer)), ReadPause(Pause), Applied(Io), Wake(Io) {}

void TopicFollower::stop() { this->Stopped = true; }

void TopicFollower::reload() {
  this->Loaded = false;
  this->IsCaughtUp = false;
}

asio::awaitable<bool> TopicFollower::refresh(Duration Timeout) {
  const Instant StartedAt = this->Time.monotonic();
  if (!this->Loaded)
    co_return false;
  const ReadAnswer Answer = co_await this->Store.read(
      this->Topic, this->NextOffset, Duration{0}, Timeout);
  if (Answer.Outcome != ReadOutcome::Read)
    co_return false;
  while (!this->Loaded || this->NextOffset < Answer.EndOffset) {
    const Duration Remaining = Timeout - (this->Time.monotonic() - StartedAt);
    if (Remaining.Ms <= 0)
      co_return false;
    this->Wake.notify();
    co_await this->Applied.wait(Remaining);
  }
  co_return true;
}

asio::awaitable<void> TopicFollower::run() {
  while (!this->Stopped) {
    bool Loaded = this->Loaded;
    if (!Loaded)
      Loaded = co_await this->load();
    if (Loaded)
      co_await this->readOnce();
    if (this->Stopped || this->ReadPause.Ms <= 0)
      continue;
    this->Pausing = true;
    co_await this->Wake.wait(this->ReadPause);
    this->Pausing = false;
  }
}

asio::awaitable<void> TopicFollower::catchUp(Duration Timeout) {
  if (!this->Pausing && !this->SkipReadWait)
    co_return;
  this->SkipReadWait = true;
  this->Wake.notify();
  co_await this->Applied.wait(Timeout);
}

asio::awaitable<bool> TopicFollower::load() {
  std::vector<JournalRecord> Records;
  std::string AfterKey;
  std::int64_t FirstEndOffset = -1;
  std::int64_t HighestOffset = -1;
  while (true) {
    NewestPage Page =
        co_await this->Store.newest(this->Topic, AfterKey, LoadTimeout);
    if (Page.Outcome != ReadOutcome::Read) {
      this->noteReadFailure("newest");
      co_await pauseFor(this->Io, RetryDelay);
      co_return false;
    }
    this->noteAnswer();
    // The pages are read one after the other and are no snapshot. Reading on
    // from the end that the first page reported covers changes in between.
    if (FirstEndOffset < 0)
      FirstEndOffset = Page.EndOffset;
    HighestOffset = std::max(HighestOffset, Page.HighestOffset);
    for (JournalRecord &Record : Page.Records)
      Records.push_back(std::move(Record));
    const bool Advances = !Page.LastKey.empty() && Page.LastKey != AfterKey;
    if (!Page.HasMore || !Advances)
      break;
    AfterKey = std::move(Page.LastKey);
  }
  if (this->Stopped)
    co_return false;
  this->Loaded = true;
  this->NextOffset = FirstEndOffset;
  this->LoadedUpTo = std::max(FirstEndOffset, HighestOffset + 1);
  this->Observer.Reset();
  for (const JournalRecord &Record : Records)
    this->Observer.Apply(Record);
  logEvent(LogLevel::Info, "topic_loaded",
           {{"topic", this->Topic},
            {"records", static_cast<std::int64_t>(Records.size())},
            {"offset", FirstEndOffset}});
  if (this->NextOffset >= this->LoadedUpTo)
    this->markCaughtUp();
  co_return true;
}

asio::awaitable<void> TopicFollower::readOnce() {
  const bool Behind = this->NextOffset < this->LoadedUpTo;
  // A read that hangs when an outage ends delays the next one by its timeout.
  const bool Failing = this->FailingSince.Ms != 0;
  const bool SkipWait = Behind || this->SkipReadWait || Failing;
  const Duration Wait = SkipWait ? Duration{0} : ReadWait;
  const ReadAnswer Answer = co_await this->Store.read(
      this->Topic, this->NextOffset, Wait, Wait + ReadAnswerTime);
  this->SkipReadWait = false;
  entryMetrics().Reads.add();
  if (!this->Loaded || this->Stopped)
    co_return;
  if (Answer.Outcome == ReadOutcome::Expired) {
    this->noteAnswer();
    logEvent(LogLevel::Info, "topic_expired",
             {{"topic", this->Topic}, {"offset", this->NextOffset}});
    this->reload();
    co_return;
  }
  if (Answer.Outcome != ReadOutcome::Read) {
    this->noteReadFailure(
        Answer.Outcome == ReadOutcome::Refused ? "refused" : "unreachable");
    co_await pauseFor(this->Io, RetryDelay);
    co_return;
  }
  this->noteAnswer();
  for (const JournalRecord &Record : Answer.Records) {
    this->Observer.Apply(Record);
    if (!this->Loaded || this->Stopped)
      co_return;
  }
  this->NextOffset += static_cast<std::int64_t>(Answer.Records.size());
  if (this->NextOffset >= Answer.EndOffset &&
      this->NextOffset >= this->LoadedUpTo)
    this->markCaughtUp();
}

void TopicFollower::noteReadFailure(std::string_view Reason) {
  entryMetrics().ReadsFailed.add();
  if (this->FailingSince.Ms == 0) {
    this->FailingSince = this->Time.monotonic();
    logEvent(LogLevel::Warning, "store_lost",
             {{"topic", this->Topic}, {"reason", Reason}});
  }
  this->Observer.ReadFailed();
}

void TopicFollower::noteAnswer() {
  this->LastContact = this->Time.monotonic();
  if (this->FailingSince.Ms == 0)
    return;
  logEvent(LogLevel::Info, "store_regained",
           {{"topic", this->Topic},
            {"offset", this->NextOffset},
            {"ms", (this->LastContact - this->FailingSince).Ms}});
  this->FailingSince = {};
}

void TopicFollower::markCaughtUp() {
  this->IsCaughtUp = true;
  this->Applied.notify();
  this->Observer.CaughtUp();
}

} // namespace pistachioflow
