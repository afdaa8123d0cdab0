#include "pistachioflow/policy/replay.hpp"

#include <algorithm>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

#include "pistachioflow/policy/checker.hpp"
#include "pistachioflow/policy/replay_measures.hpp"

namespace pistachioflow::policy {

namespace {

constexpr Duration StartDelay{200};
constexpr Duration StopDelay{300};
constexpr Duration CheckpointDelay{1'000};
constexpr Duration FailureDelay{3'000};
constexpr Duration RepeatDelay{5'000};
constexpr Duration TickEvery{1'000};
constexpr Duration MeasureEvery{60'000};

/// One gang on its simulated workers.
struct Run {
  std::size_t Job = 0;
  Attempt Try = 0;
  bool Running = false;
  bool Stopping = false;
  Instant Since; ///< Start of the run time that is not saved.
  Duration Saved;
  std::vector<Placement> At;
};

enum class Due : std::uint8_t { Fact, Start, End, Checkpoint, Stop };

struct Entry {
  Instant At;
  std::uint64_t Sequence = 0;
  Due Kind = Due::Fact;
  JobId Job;
  Attempt Try = 0;
  Event Fact;

  bool operator>(const Entry &Other) const {
    return At != Other.At ? At > Other.At : Sequence > Other.Sequence;
  }
};

/// Simulates the workers and callers of one replay.
class Player {
public:
  Player(const Workload &Load, const Scheduler &Decide,
         const ReplayOptions &Options)
      : Load(Load), Decide(Decide), Options(Options), Random(Options.Seed),
        Check(Options.Prefer) {
    for (std::size_t At = 0; At < Load.Jobs.size(); ++At) {
      this->Runs[Load.Jobs[At].Spec.Job].Job = At;
      this->Result.Jobs.push_back({&Load.Jobs[At]});
    }
  }

  ReplayResult run();

private:
  bool chance(std::uint32_t Percent) { return this->Random() % 100 < Percent; }

  void push(Instant At, Due Kind, const JobId &Job, Attempt Try,
            Event Fact = TimePassed{}) {
    this->Queue.push({At, this->Sequence++, Kind, Job, Try, std::move(Fact)});
  }

  void pushWorkload();
  void handle(const Entry &Next);
  void deliver(const Event &Fact);
  void execute(const Decision &Made);
  void startRun(const Entry &Next, Run &Gang);
  void endRun(Run &Gang, const JobId &Name, Attempt Try);
  void leave(Run &Gang);
  bool failsOn(const Run &Gang, WorkerId &Worker) const;
  void compareWithSnapshot();

  const Workload &Load;
  const Scheduler &Decide;
  const ReplayOptions &Options;
  std::mt19937_64 Random;
  CellState State;
  Checker Check;
  Instant Now;
  std::uint64_t Sequence = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> Queue;
  std::unordered_map<JobId, Run> Runs;
  std::set<WorkerId> Lost;
  FragmentationMeasures Free;
  std::int64_t InUse = 0;
  Instant NextMeasure;
  ReplayResult Result;
};

void Player::pushWorkload() {
  for (const WorkerInfo &Worker : this->Load.Workers)
    this->push({0}, Due::Fact, {}, 0, WorkerJoined{Worker});
  this->push({0}, Due::Fact, {}, 0, ListsChanged{this->Load.Configuration});
  for (const TimedEvent &Fact : this->Load.Facts)
    this->push(Fact.At, Due::Fact, {}, 0, Fact.Fact);
  for (const ReplayJob &Job : this->Load.Jobs) {
    this->push(Job.Arrival, Due::Fact, {}, 0, JobSubmitted{Job.Spec});
    if (Job.CancelAt > Job.Arrival)
      this->push(Job.CancelAt, Due::Fact, {}, 0, JobCancelled{Job.Spec.Job});
  }
  for (Instant At{0}; At <= this->Load.End; At = At + TickEvery)
    this->push(At, Due::Fact, {}, 0, TimePassed{});
}

ReplayResult Player::run() {
  this->pushWorkload();
  while (!this->Queue.empty() && this->Queue.top().At <= this->Load.End) {
    const Entry Next = this->Queue.top();
    this->Queue.pop();
    this->Result.UsedAcceleratorMs += this->InUse * (Next.At - this->Now).Ms;
    this->Now = Next.At;
    if (this->Now >= this->NextMeasure) {
      this->NextMeasure = this->Now + MeasureEvery;
      this->Free.add(this->State);
    }
    this->handle(Next);
  }
  this->Result.LargestFreeShare = this->Free.largestFreeShare();
  this->Result.Fragmented = this->Free.fragmented();
  this->Result.Violations = this->Check.violations();
  this->Result.LongestReclaim = this->Check.longestReclaim();
  return std::move(this->Result);
}

void Player::handle(const Entry &Next) {
  if (Next.Kind == Due::Fact) {
    if (const auto *Gone = std::get_if<WorkerLost>(&Next.Fact))
      this->Lost.insert(Gone->Worker);
    if (const auto *Back = std::get_if<WorkerJoined>(&Next.Fact))
      this->Lost.erase(Back->Worker.Worker);
    return this->deliver(Next.Fact);
  }
  Run &Gang = this->Runs.at(Next.Job);
  if (Gang.Try != Next.Try)
    return;
  if (Next.Kind == Due::Start)
    return this->startRun(Next, Gang);
  if (Next.Kind == Due::End && Gang.Running)
    return this->endRun(Gang, Next.Job, Next.Try);
  if (Next.Kind == Due::Checkpoint && Gang.Running) {
    Gang.Saved = Gang.Saved + (this->Now - Gang.Since);
    Gang.Since = this->Now;
    return this->deliver(CheckpointTaken{Next.Job, Next.Try});
  }
  if (Next.Kind == Due::Stop && Gang.Stopping) {
    this->leave(Gang);
    this->deliver(GangStopped{Next.Job, Next.Try});
  }
}

bool Player::failsOn(const Run &Gang, WorkerId &Worker) const {
  for (const Placement &Place : Gang.At) {
    const auto Found = this->Load.Faulty.find(Place.Worker);
    if (Found == this->Load.Faulty.end() || this->Now < Found->second.From ||
        this->Now >= Found->second.Until)
      continue;
    Worker = Place.Worker;
    return true;
  }
  Worker = Gang.At.front().Worker;
  return this->Load.Jobs[Gang.Job].Broken;
}

void Player::startRun(const Entry &Next, Run &Gang) {
  if (Gang.Stopping || Gang.Running)
    return;
  for (const Placement &Place : Gang.At)
    if (this->Lost.contains(Place.Worker))
      return;
  if (this->chance(this->Options.RefusedPercent)) {
    const WorkerId Worker = Gang.At.front().Worker;
    this->leave(Gang);
    return this->deliver(GangRefused{Next.Job, Next.Try, Worker});
  }
  Gang.Running = true;
  Gang.Since = this->Now;
  ReplayedJob &Job = this->Result.Jobs[Gang.Job];
  if (!Job.Started)
    Job.FirstStart = this->Now;
  Job.Started = true;
  WorkerId Worker;
  const Duration Left{
      std::max<std::int64_t>(Job.Job->Runtime.Ms - Gang.Saved.Ms, 1)};
  this->push(this->Now + (this->failsOn(Gang, Worker) ? FailureDelay : Left),
             Due::End, Next.Job, Next.Try);
  this->deliver(GangStarted{Next.Job, Next.Try});
}

void Player::endRun(Run &Gang, const JobId &Name, Attempt Try) {
  for (const Placement &Place : Gang.At)
    if (this->Lost.contains(Place.Worker))
      return;
  WorkerId Worker;
  ReplayedJob &Job = this->Result.Jobs[Gang.Job];
  const Duration Run = Gang.Saved + (this->Now - Gang.Since);
  const bool Failed = Run < Job.Job->Runtime && this->failsOn(Gang, Worker);
  this->leave(Gang);
  if (Failed)
    return this->deliver(GangFailed{Name, Try, Worker});
  Job.Finished = true;
  Job.End = this->Now;
  this->deliver(GangFinished{Name, Try});
}

void Player::leave(Run &Gang) {
  this->InUse -= this->Load.Jobs[Gang.Job].Spec.Shape.accelerators();
  Gang.Running = false;
  Gang.Stopping = false;
  Gang.At.clear();
}

void Player::deliver(const Event &Fact) {
  if (this->Options.Check)
    this->Check.observeEvent(Fact, this->Now);
  const std::vector<Decision> All =
      this->Decide(this->State, Fact, this->Options.Prefer, this->Now);
  ++this->Result.Steps;
  for (const Decision &Made : All) {
    if (this->Options.Check)
      this->Check.checkDecision(Made, this->Now);
    this->execute(Made);
  }
  if (this->Options.Check)
    this->Check.checkState(this->State, this->Now);
  if (this->Options.SnapshotCheckInterval > 0 &&
      this->Result.Steps % this->Options.SnapshotCheckInterval == 0)
    this->compareWithSnapshot();
  if (this->chance(this->Options.DuplicatedPercent) &&
      !std::holds_alternative<WorkerJoined>(Fact) &&
      !std::holds_alternative<WorkerLost>(Fact) &&
      !std::holds_alternative<ListsChanged>(Fact))
    this->push(this->Now + RepeatDelay, Due::Fact, {}, 0, Fact);
}

void Player::execute(const Decision &Made) {
  if (const auto *Start = std::get_if<StartGang>(&Made.What)) {
    Run &Gang = this->Runs.at(Start->Job);
    Gang.Try = Start->Try;
    Gang.At = Start->Placements;
    this->InUse += this->Load.Jobs[Gang.Job].Spec.Shape.accelerators();
    this->push(this->Now + StartDelay, Due::Start, Start->Job, Start->Try);
  } else if (const auto *Ask = std::get_if<CheckpointGang>(&Made.What)) {
    this->push(this->Now + CheckpointDelay, Due::Checkpoint, Ask->Job,
               Ask->Try);
  } else if (const auto *Stop = std::get_if<StopGang>(&Made.What)) {
    Run &Gang = this->Runs.at(Stop->Job);
    Gang.Stopping = true;
    const std::int64_t Size =
        this->Load.Jobs[Gang.Job].Spec.Shape.accelerators();
    if (!Stop->Beneficiary.empty())
      ++this->Result.Preemptions;
    if (Gang.Running && Stop->FollowUp == AfterStop::Requeue)
      this->Result.LostWorkMs += Size * (this->Now - Gang.Since).Ms;
    this->push(this->Now + StopDelay, Due::Stop, Stop->Job, Stop->Try);
  }
}

std::string packed(const auto &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Checks that a snapshot yields the same decisions as the state.
void Player::compareWithSnapshot() {
  const std::string Bytes = packed(this->State);
  CellState Copy =
      msgpack::unpack(Bytes.data(), Bytes.size()).get().as<CellState>();
  CellState Again = this->State;
  const Instant Later = this->Now + TickEvery;
  const auto First = step(Copy, TimePassed{}, this->Options.Prefer, Later);
  const auto Second = step(Again, TimePassed{}, this->Options.Prefer, Later);
  const auto Third = decide(this->State, this->Options.Prefer, this->Now);
  const auto Fourth = decide(Copy, this->Options.Prefer, Later);
  if (packed(First) != packed(Second) || packed(Copy) != packed(Again) ||
      !Third.empty() || !Fourth.empty())
    this->Result.Violations.push_back(
        {"at " + std::to_string(this->Now.Ms) + " ms",
         "the same input gives the same decisions, and none are left over",
         std::to_string(First.size()) + " and " +
             std::to_string(Second.size()) + ", left over " +
             std::to_string(Third.size()) + " and " +
             std::to_string(Fourth.size())});
}

} // namespace

ReplayResult replay(const Workload &Load, const Scheduler &Decide,
                    const ReplayOptions &Options) {
  return Player(Load, Decide, Options).run();
}

} // namespace pistachioflow::policy
