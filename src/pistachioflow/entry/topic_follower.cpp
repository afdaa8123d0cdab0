#include "pistachioflow/entry/topic_follower.hpp"

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
      Observer(std::move(Observer)), Fold(this->foldObserver()),
      ReadPause(Pause), Applied(Io), Wake(Io) {}

TopicObserver TopicFollower::foldObserver() {
  TopicObserver FoldObserver;
  FoldObserver.Replace = [this](TopicRecords Records) {
    logEvent(LogLevel::Info, "topic_loaded",
             {{"topic", this->Topic},
              {"records", static_cast<std::int64_t>(Records.size())},
              {"offset", this->Fold.nextOffset()}});
    this->Observer.Replace(std::move(Records));
  };
  FoldObserver.Apply = [this](const JournalRecord &Record) {
    this->Observer.Apply(Record);
  };
  FoldObserver.CaughtUp = [this] {
    this->Applied.notify();
    this->Observer.CaughtUp();
  };
  return FoldObserver;
}

void TopicFollower::stop() {
  this->Stopped = true;
  this->Fold.stop();
}

asio::awaitable<bool> TopicFollower::refresh(Duration Timeout) {
  const Instant StartedAt = this->Time.monotonic();
  if (!this->Fold.loaded())
    co_return false;
  const ReadAnswer Answer = co_await this->Store.read(
      this->Topic, this->Fold.nextOffset(), Duration{0}, Timeout);
  if (Answer.Outcome != ReadOutcome::Read)
    co_return false;
  while (!this->Fold.loaded() || this->Fold.nextOffset() < Answer.EndOffset) {
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
    const bool Following = this->Fold.loaded();
    bool Answered = false;
    if (this->Fold.needsPage())
      Answered = co_await this->readPage();
    else
      Answered = co_await this->readRecords();
    const bool InLoad = !Following || !this->Fold.loaded();
    if (this->Stopped || this->ReadPause.Ms <= 0 || (Answered && InLoad))
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

asio::awaitable<bool> TopicFollower::readPage() {
  NewestPage Page = co_await this->Store.newest(
      this->Topic, this->Fold.afterKey(), LoadTimeout);
  if (Page.Outcome != ReadOutcome::Read) {
    co_await this->noteReadFailure("newest");
    co_return false;
  }
  this->noteAnswer();
  if (!this->Stopped)
    this->Fold.addPage(std::move(Page));
  co_return true;
}

asio::awaitable<bool> TopicFollower::readRecords() {
  const bool InLoad = !this->Fold.loaded();
  // A read that hangs when an outage ends delays the next one by its timeout.
  const bool Failing = this->FailingSince.Ms != 0;
  const bool SkipWait = InLoad || this->SkipReadWait || Failing;
  const Duration Wait = SkipWait ? Duration{0} : ReadWait;
  ReadAnswer Answer = co_await this->Store.read(
      this->Topic, this->Fold.nextOffset(), Wait, Wait + ReadAnswerTime);
  this->SkipReadWait = false;
  entryMetrics().Reads.add();
  if (this->Stopped)
    co_return true;
  if (Answer.Outcome == ReadOutcome::Expired) {
    this->noteAnswer();
    logEvent(LogLevel::Info, "topic_expired",
             {{"topic", this->Topic}, {"offset", this->Fold.nextOffset()}});
    this->Fold.reload();
    co_return true;
  }
  if (Answer.Outcome != ReadOutcome::Read) {
    co_await this->noteReadFailure(
        Answer.Outcome == ReadOutcome::Refused ? "refused" : "unreachable");
    co_return false;
  }
  this->noteAnswer();
  this->Fold.addRecords(std::move(Answer));
  co_return true;
}

asio::awaitable<void> TopicFollower::noteReadFailure(std::string_view Reason) {
  entryMetrics().ReadsFailed.add();
  if (this->FailingSince.Ms == 0) {
    this->FailingSince = this->Time.monotonic();
    logEvent(LogLevel::Warning, "store_lost",
             {{"topic", this->Topic}, {"reason", Reason}});
  }
  this->Observer.ReadFailed();
  co_await pauseFor(this->Io, RetryDelay);
}

void TopicFollower::noteAnswer() {
  this->LastContact = this->Time.monotonic();
  if (this->FailingSince.Ms == 0)
    return;
  logEvent(LogLevel::Info, "store_regained",
           {{"topic", this->Topic},
            {"offset", this->Fold.nextOffset()},
            {"ms", (this->LastContact - this->FailingSince).Ms}});
  this->FailingSince = {};
}

} // namespace pistachioflow
