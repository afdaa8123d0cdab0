#include "pistachioflow/entry/ownership.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/tasks.hpp"

namespace pistachioflow {

namespace {

/// One producer for all owners, so that a newer epoch fences an older one.
constexpr std::string_view OwnerProducer = "owner";
/// How often the state is looked at; small against the silence limit.
constexpr Duration Tick{50};
constexpr Duration ClaimTimeout{700};
/// The owner's records must be stored, however long that takes.
constexpr WritePatience OwnerPatience{{3'600'000}, {3'600'000}};
/// Successors notice silence after about as long anyway.
constexpr WritePatience ResignPatience{{500}, {1'000}};
/// Leaves room for the appends of one epoch in a sequence number.
constexpr std::int64_t SequenceRange = std::int64_t{1} << 30U;

} // namespace

Duration claimDelay(const OwnershipTimes &Times, std::int64_t MilliCores) {
  constexpr std::int64_t MilliPerCore = 1'000;
  return {Times.ClaimDelayOfACore.Ms * MilliPerCore /
          std::max<std::int64_t>(MilliCores, 1)};
}

bool shouldClaim(const OwnershipView &View, const OwnershipTimes &Times,
                 Duration Spread, Instant Now) {
  if (View.Leaving || !View.Readable)
    return false;
  const bool Vacant = View.Newest.Epoch == 0 || View.Newest.Resigned;
  const Instant QuietSince = std::max(View.HeardAt, View.HealthySince);
  const Duration Delay = claimDelay(Times, View.MilliCores) + Spread;
  const Duration Limit = Vacant ? Delay : Times.Silence + Delay;
  if (Now - QuietSince >= Limit)
    return true;
  const bool OwnerIsWeak = View.Newest.MilliCores > 0 &&
                           View.Newest.MilliCores * 2 < View.MilliCores;
  return OwnerIsWeak &&
         Now - View.HealthySince >= Times.SteadyBeforeRelief + Delay;
}

Ownership::Ownership(asio::io_context &Io, StoreClient &Store,
                     const Clock &Time, std::string Instance,
                     std::int64_t MilliCores, std::size_t CallBytes,
                     Observer Watcher)
    : Io(Io), Store(Store), Time(Time), Instance(std::move(Instance)),
      CallBytes(CallBytes), Watcher(std::move(Watcher)),
      Random(std::hash<std::string>{}(this->Instance)) {
  this->View.MilliCores = MilliCores;
}

asio::awaitable<void> Ownership::run() {
  const auto Range = static_cast<std::uint64_t>(this->Times.ClaimSpread.Ms);
  Duration Spread{static_cast<std::int64_t>(this->Random() % Range)};
  while (true) {
    co_await pauseFor(this->Io, Tick);
    const Instant Now = this->Time.monotonic();
    this->View.Readable = this->Watcher.Readable();
    if (!this->View.Readable)
      this->View.HealthySince = Now;
    if (this->owner()) {
      if (!this->Beating)
        spawnTask(this->Io, "beat", this->beat());
      continue;
    }
    if (!shouldClaim(this->View, this->Times, Spread, Now))
      continue;
    co_await this->claim();
    Spread = {static_cast<std::int64_t>(this->Random() % Range)};
  }
}

asio::awaitable<void> Ownership::beat() {
  this->Beating = true;
  const std::shared_ptr<JournalWriter> Held = this->Writer;
  const OwnershipRecord Record{this->View.Newest.Epoch, this->Instance,
                               ++this->Beats, false, this->View.MilliCores};
  std::vector<JournalRecord> Records;
  Records.push_back({ownershipKey(), encodeRecord(Record)});
  const WriteOutcome Outcome =
      co_await Held->write(std::move(Records), OwnerPatience);
  if (Outcome == WriteOutcome::Fenced && this->Writer == Held)
    this->lose("fenced");
  co_await pauseFor(this->Io, this->Times.Heartbeat);
  this->Beating = false;
}

asio::awaitable<void> Ownership::claim() {
  this->ClaimedEpoch = this->View.Newest.Epoch + 1;
  this->ClaimSequence = static_cast<std::int64_t>(
      this->Random() % static_cast<std::uint64_t>(SequenceRange));
  const OwnershipRecord Record{this->ClaimedEpoch, this->Instance, 0, false,
                               this->View.MilliCores};
  std::vector<JournalRecord> Records;
  Records.push_back({ownershipKey(), encodeRecord(Record)});
  std::string Topic(JournalTopic);
  Producer Claimer{std::string(OwnerProducer), this->ClaimedEpoch,
                   this->ClaimSequence};
  const std::optional<std::int64_t> End = this->Watcher.Position();
  const AppendAnswer Answer = co_await this->Store.append(
      std::move(Topic), Records, std::move(Claimer), End, ClaimTimeout);
  logEvent(LogLevel::Info, "ownership_claimed",
           {{"epoch", this->ClaimedEpoch},
            {"previous", this->View.Newest.Instance},
            {"outcome", toString(Answer.Outcome)}});
}

void Ownership::apply(const OwnershipRecord &Record) {
  const Instant Now = this->Time.monotonic();
  if (Record.Epoch < this->View.Newest.Epoch)
    return;
  const bool Newer = Record.Epoch > this->View.Newest.Epoch;
  this->View.Newest = Record;
  this->View.HeardAt = Now;
  if (!Newer)
    return;
  if (this->owner())
    this->lose("newer_epoch");
  const bool Ours = Record.Instance == this->Instance &&
                    Record.Epoch == this->ClaimedEpoch && !Record.Resigned;
  logEvent(LogLevel::Info, "owner_changed",
           {{"epoch", Record.Epoch}, {"owner", Record.Instance}});
  if (!Ours || this->View.Leaving)
    return;
  this->Writer = std::make_shared<JournalWriter>(
      this->Io, this->Store, this->Time, std::string(OwnerProducer),
      Record.Epoch, this->ClaimSequence + 1, this->CallBytes);
  this->Watcher.Gained(Record.Epoch);
}

void Ownership::lose(std::string_view Reason) {
  if (!this->owner())
    return;
  logEvent(LogLevel::Warning, "ownership_lost",
           {{"epoch", this->View.Newest.Epoch}, {"reason", Reason}});
  this->Writer.reset();
  this->View.HeardAt = this->Time.monotonic();
  this->Watcher.Lost(Reason);
}

asio::awaitable<void> Ownership::leave() {
  this->View.Leaving = true;
  if (!this->owner())
    co_return;
  const std::shared_ptr<JournalWriter> Held = this->Writer;
  const OwnershipRecord Record{this->View.Newest.Epoch, this->Instance,
                               ++this->Beats, true, this->View.MilliCores};
  this->lose("leaving");
  std::vector<JournalRecord> Records;
  Records.push_back({ownershipKey(), encodeRecord(Record)});
  co_await Held->write(std::move(Records), ResignPatience);
}

} // namespace pistachioflow
