#include "pistachioflow/controller/keys_stream.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pistachioflow {

namespace {

constexpr Duration LongestWait{100};

RequestOutcome unknownRepeat(std::string Detail) {
  Reason Why{ReasonCode::RequestDuplicateKey, {}, {}, std::move(Detail)};
  return {RequestState::Unknown, {}, {}, std::move(Why)};
}

const RequestEnded *findEnd(const Record &Value, std::uint64_t Claim) {
  const auto *Appended = std::get_if<KeysAppended>(&Value.What);
  if (Appended == nullptr)
    return nullptr;
  for (const KeyRecord &Each : Appended->Records) {
    const auto *Ended = std::get_if<RequestEnded>(&Each.What);
    if (Ended != nullptr && Ended->Claim == Claim)
      return Ended;
  }
  return nullptr;
}

std::chrono::milliseconds toChrono(Duration Span) {
  return std::chrono::milliseconds(std::max<std::int64_t>(Span.Ms, 1));
}

} // namespace

KeyStream::KeyStream(LogService &Log, const Clock &Time, StreamName Name,
                     const KeySettings &Settings, std::uint64_t Seed)
    : Log(Log), Time(Time), Name(std::move(Name)), Settings(Settings),
      Ids(Seed), Generator(Seed ^ Settings.Seed) {
  this->Cursor.Stream = this->Name;
  this->SnapshotDueAt = Time.monotonic() + Settings.SnapshotEvery;
}

BeginAnswer KeyStream::begin(const KeyBegin &Asked, bool Drive) {
  const auto Entered = std::make_shared<Ticket>();
  Entered->Asked = Asked;
  Entered->Key = hashKey(Asked.Workspace, Asked.Key);
  std::unique_lock Guard(this->Lock);
  this->enter(Entered);
  while (Entered->At != Phase::Decided) {
    const Duration Left = Entered->GiveUpAt - this->Time.monotonic();
    if (Left.Ms <= 0) {
      this->giveUp(Entered);
      break;
    }
    if (!Drive) {
      this->DecidedSignal.wait_for(Guard,
                                   toChrono(std::min(Left, LongestWait)));
      continue;
    }
    Guard.unlock();
    this->step();
    Guard.lock();
  }
  Guard.unlock();
  return this->answerOf(Entered);
}

void KeyStream::end(const KeyBegin &Asked, std::uint64_t Claim,
                    RequestOutcome Outcome) {
  if (Outcome.Body.size() > this->Settings.MaxKeptBody) {
    const std::uint64_t Digest = digestBody(Outcome.Body);
    Outcome.Why.PassedOver =
        "answer of " + std::to_string(Outcome.Body.size()) +
        " bytes not kept, digest " + std::to_string(Digest);
    Outcome.State = RequestState::Unknown;
    Outcome.Body.clear();
  }
  const std::lock_guard Guard(this->Lock);
  if (Outcome.State == RequestState::NotRun)
    this->rememberGivenUp(Asked, Claim);
  this->EndQueue.push_back(
      {Asked.Workspace, Asked.Key, Asked.Request, std::move(Outcome), Claim});
  this->Woken = true;
  this->WorkSignal.notify_one();
}

void KeyStream::waitForWork() {
  std::unique_lock Guard(this->Lock);
  const bool Waiting = !this->Followers.empty() || this->InAppend ||
                       !this->EndQueue.empty() || !this->Appending.empty();
  const Duration Longest =
      Waiting ? this->Settings.PollWaiting : this->Settings.PollIdle;
  this->WorkSignal.wait_for(Guard, toChrono(Longest),
                            [this] { return this->Woken; });
  this->Woken = false;
}

void KeyStream::wake() {
  const std::lock_guard Guard(this->Lock);
  this->Woken = true;
  this->WorkSignal.notify_one();
}

bool KeyStream::idle() {
  const std::lock_guard Guard(this->Lock);
  return this->EndQueue.empty() && !this->InAppend;
}

KeyStream::Counts KeyStream::counts() {
  const std::lock_guard Guard(this->Lock);
  Counts Now = this->Counted;
  Now.Entries = this->Table.Entries.size();
  for (const auto &Generation : this->Table.Retired.Generations)
    Now.Retired += Generation.size();
  return Now;
}

void KeyStream::enter(const TicketPtr &Asked) {
  if (const KeyEntry *Entry = findKey(this->Table, Asked->Key)) {
    this->judgeByEntry(Asked, *Entry);
    return;
  }
  if (isRetired(this->Table, Asked->Key)) {
    const char *Detail = "used before; its outcome is no longer kept";
    this->decide(*Asked, {BeginState::Repeat, 0, unknownRepeat(Detail)});
    return;
  }
  this->enqueue(Asked);
}

void KeyStream::enqueue(const TicketPtr &Asked) {
  const Instant PatienceEnds =
      this->Time.monotonic() + this->Settings.BeginPatience;
  Asked->At = Phase::Queued;
  Asked->GiveUpAt = std::min(Asked->Asked.Deadline, PatienceEnds);
  Asked->Claim = this->Generator();
  this->Queue.push_back(Asked);
  this->Woken = true;
  this->WorkSignal.notify_one();
}

void KeyStream::judgeByEntry(const TicketPtr &Asked, const KeyEntry &Entry) {
  if (Entry.BodyDigest != Asked->Asked.BodyDigest) {
    this->decide(*Asked, {BeginState::OtherRequest, 0, {}});
    return;
  }
  if (Entry.Phase == KeyPhase::Begun) {
    const Instant Since = this->BegunSeen[Entry.Key];
    Asked->At = Phase::Following;
    Asked->GiveUpAt =
        std::min(Asked->Asked.Deadline, Since + this->Settings.UnknownAfter);
    this->Followers[Entry.Key].push_back(Asked);
    return;
  }
  Asked->Ended = Entry;
  this->decide(*Asked, {BeginState::Repeat, 0, {}});
}

void KeyStream::decide(Ticket &Asked, BeginAnswer Answer) {
  Asked.At = Phase::Decided;
  Asked.Answer = std::move(Answer);
  this->DecidedSignal.notify_all();
}

void KeyStream::giveUp(const TicketPtr &Asked) {
  if (Asked->At == Phase::Following) {
    const auto Found = this->Followers.find(Asked->Key);
    std::erase(Found->second, Asked);
    if (Found->second.empty())
      this->Followers.erase(Found);
    const char *Detail = "began before; its end is not in the log";
    this->decide(*Asked, {BeginState::Repeat, 0, unknownRepeat(Detail)});
    return;
  }
  if (Asked->At == Phase::Queued)
    std::erase(this->Queue, Asked);
  else
    this->rememberGivenUp(Asked->Asked, Asked->Claim);
  this->Appending.erase(Asked->Claim);
  this->decide(*Asked, {BeginState::LogDown, 0, {}});
}

BeginAnswer KeyStream::answerOf(const TicketPtr &Asked) {
  BeginAnswer Answer;
  std::optional<KeyEntry> Ended;
  {
    const std::lock_guard Guard(this->Lock);
    Answer = Asked->Answer;
    Ended = Asked->Ended;
  }
  if (Ended)
    Answer.Outcome = this->readOutcome(*Ended);
  return Answer;
}

RequestOutcome KeyStream::readOutcome(const KeyEntry &Entry) {
  const auto Page = this->Log.read(this->Name, Entry.EndAt, 1);
  if (Page.has_error() || Page.value().Entries.empty())
    return unknownRepeat("ran before; its outcome cannot be read now");
  const auto Value = decodeRecord(Page.value().Entries.front().Bytes);
  const RequestEnded *Ended =
      Value.has_value() ? findEnd(Value.value(), Entry.Claim) : nullptr;
  if (Ended == nullptr)
    return unknownRepeat("ran before; its outcome cannot be read");
  RequestOutcome Outcome = Ended->Outcome;
  Outcome.Why.Code = ReasonCode::RequestDuplicateKey;
  return Outcome;
}

} // namespace pistachioflow
