#include "pistachioflow/controller/keys.hpp"

#include <string>
#include <utility>

namespace pistachioflow {

namespace {

/// Spreads the seeds of the streams of one process.
constexpr std::uint64_t SeedStep = 0x9e3779b97f4a7c15ULL;

} // namespace

KeyController::KeyController(LogService &Log, const Clock &Time,
                             const KeySettings &Settings) {
  for (std::uint32_t Index = 0; Index < Settings.Streams; ++Index) {
    StreamName Name{"keys/" + std::to_string(Index)};
    const std::uint64_t Seed = Settings.Seed + SeedStep * (Index + 1);
    this->Streams.push_back(std::make_unique<KeyStream>(
        Log, Time, std::move(Name), Settings, Seed));
  }
}

KeyController::~KeyController() { this->stop(); }

void KeyController::start() {
  this->Started = true;
  for (const auto &Stream : this->Streams)
    this->Threads.emplace_back(
        [this, Each = Stream.get()](const std::stop_token &Stop) {
          this->run(Stop, *Each);
        });
}

void KeyController::stop() {
  if (this->Threads.empty())
    return;
  for (std::jthread &Each : this->Threads)
    Each.request_stop();
  for (const auto &Stream : this->Streams)
    Stream->wake();
  this->Threads.clear();
  this->Started = false;
  this->step();
}

BeginAnswer KeyController::begin(const KeyBegin &Asked) {
  return this->streamOf(Asked).begin(Asked, !this->Started);
}

void KeyController::end(const KeyBegin &Asked, std::uint64_t Claim,
                        RequestOutcome Outcome) {
  this->streamOf(Asked).end(Asked, Claim, std::move(Outcome));
}

bool KeyController::step() {
  bool Reached = true;
  for (const auto &Stream : this->Streams)
    Reached = Stream->step() && Reached;
  return Reached;
}

bool KeyController::idle() {
  for (const auto &Stream : this->Streams)
    if (!Stream->idle())
      return false;
  return true;
}

KeyStream::Counts KeyController::counts() {
  KeyStream::Counts Sum;
  Sum.LogReachable = true;
  for (const auto &Stream : this->Streams) {
    const KeyStream::Counts Each = Stream->counts();
    Sum.Appends += Each.Appends;
    Sum.RecordsAppended += Each.RecordsAppended;
    Sum.Abandoned += Each.Abandoned;
    Sum.Snapshots += Each.Snapshots;
    Sum.Entries += Each.Entries;
    Sum.Retired += Each.Retired;
    Sum.LogReachable = Sum.LogReachable && Each.LogReachable;
  }
  return Sum;
}

KeyStream &KeyController::streamOf(const KeyBegin &Asked) {
  const KeyHash Hash = hashKey(Asked.Workspace, Asked.Key);
  return *this->Streams[Hash.High % this->Streams.size()];
}

void KeyController::run(const std::stop_token &Stop, KeyStream &Stream) {
  while (!Stop.stop_requested()) {
    Stream.step();
    Stream.waitForWork();
  }
}

} // namespace pistachioflow
