#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "pistachioflow/filter/request_service.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

/// Thrown through an instance that dies in the middle of a call.
struct InstanceDied {};

struct Run {
  std::string Attempt; ///< The caller's request id.
  std::string Key;     ///< Empty for idempotent requests.
};

struct Told {
  std::string Attempt;
  std::string Key;
  std::string Body; ///< Of the request.
  RequestOutcome Outcome;
};

std::string answerTo(const std::string &Body) { return "answer to " + Body; }

class World;

/// The log as one instance sees it: faults, deaths and other instances' steps
/// between its calls.
class SimulatedLog final : public LogService {
public:
  SimulatedLog(World &Around, std::size_t Self) : Around(Around), Self(Self) {}
  Result<Offset> append(const StreamName &Stream,
                        std::string_view Bytes) override;
  Result<LogPage> read(const StreamName &Stream, Offset From,
                       std::size_t Limit) override;

private:
  World &Around;
  const std::size_t Self;
};

class SimulatedRunners final : public RunnerGateway {
public:
  SimulatedRunners(World &Around, std::size_t Self)
      : Around(Around), Self(Self) {}
  Result<std::vector<RunnerInfo>> runners() override;
  RunnerAnswer send(const RunnerId &Runner, const CallerRequest &Request,
                    Duration Timeout) override;
  void cancel(const RunnerId &, const RequestId &) override {}

private:
  RunnerAnswer exchange(const CallerRequest &Request, Duration Timeout);

  World &Around;
  const std::size_t Self;
};

struct Instance {
  Instance(World &Around, std::size_t Self, std::uint64_t Seed);

  SimulatedLog Log;
  SimulatedRunners Runners;
  EventJournal Journal{64};
  MetricRegistry Metrics;
  KeyController Keys;
  RequestService Service;
  bool Alive = true;
  bool Busy = false;
};

/// A few instances over one log, in one thread. Concurrency is nesting: while
/// one instance is in a call, others take whole requests.
class World {
public:
  explicit World(std::uint64_t Seed) : Random(Seed), MayDie(Seed % 2 == 0) {
    for (std::size_t Index = 0; Index < Instances; ++Index)
      this->replace(Index);
    this->Log.setFaults([this] { return this->nextFault(); });
  }

  bool chance(int Percent) {
    return this->Faults &&
           std::uniform_int_distribution<int>(0, 99)(this->Random) < Percent;
  }

  std::size_t any(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Count - 1)(this->Random);
  }

  void replace(std::size_t Index) {
    this->All[Index] = std::make_unique<Instance>(*this, Index, this->Random());
    this->All[Index]->Service.refresh();
  }

  void interleave() {
    if (this->Depth >= MostNested || !this->chance(6))
      return;
    this->attemptAnywhere();
  }

  void maybeDie(std::size_t Self) {
    if (!this->MayDie || !this->chance(1))
      return;
    this->All[Self]->Alive = false;
    ++this->Deaths;
    throw InstanceDied{};
  }

  void attemptAnywhere() {
    const std::size_t Index = this->any(Instances);
    const bool Idempotent = this->any(4) == 0;
    const std::string Key =
        Idempotent ? "" : "round-" + std::to_string(this->any(Keys));
    this->attempt(Index, Key);
  }

  std::optional<RequestOutcome> attempt(std::size_t Index,
                                        const std::string &Key) {
    if (this->All[Index]->Busy)
      return std::nullopt;
    if (!this->All[Index]->Alive)
      this->replace(Index);
    Instance &Via = *this->All[Index];
    CallerRequest Request;
    Request.Request.Value = "attempt-" + std::to_string(++this->LastAttempt);
    Request.Workspace = {"chess"};
    Request.Key = Key;
    Request.NonIdempotent = !Key.empty();
    Request.Body = Key.empty() ? Request.Request.Value : "draw " + Key;
    Request.Deadline = this->Time.monotonic() + Duration{400};
    Via.Busy = true;
    ++this->Depth;
    std::optional<RequestOutcome> Outcome;
    try {
      Outcome = Via.Service.handle(Request);
      this->Answers.push_back(
          {Request.Request.Value, Key, Request.Body, *Outcome});
    } catch (const InstanceDied &) {
    }
    --this->Depth;
    Via.Busy = false;
    return Outcome;
  }

  void settle() {
    this->Faults = false;
    for (int Round = 0; Round < 4; ++Round)
      for (auto &Each : this->All)
        if (Each->Alive)
          Each->Keys.step();
  }

  static constexpr std::size_t Instances = 4;
  static constexpr std::size_t Keys = 5;
  static constexpr int MostNested = 3;

  ManualClock Time{{1'000}};
  MemoryLog Log;
  std::mt19937_64 Random;
  std::array<std::unique_ptr<Instance>, Instances> All;
  std::vector<Run> Runs;
  std::vector<Told> Answers;
  std::vector<std::pair<RequestId, std::string>> EarlierAnswers;
  std::set<std::string> LostUnrun; ///< Keys sent, lost and not run.
  bool Faults = true;
  const bool MayDie;
  int Depth = 0;
  int Deaths = 0;
  int LastAttempt = 0;
  int FaultsLeft = 0;

private:
  LogFault nextFault() {
    if (this->FaultsLeft > 0) {
      --this->FaultsLeft;
      return this->Faults ? LogFault::Down : LogFault::None;
    }
    if (this->chance(2))
      this->FaultsLeft = static_cast<int>(this->any(60));
    return this->chance(8) ? LogFault::LostAnswer : LogFault::None;
  }
};

Result<Offset> SimulatedLog::append(const StreamName &Stream,
                                    std::string_view Bytes) {
  this->Around.Time.advance({1});
  this->Around.maybeDie(this->Self);
  this->Around.interleave();
  auto Appended = this->Around.Log.append(Stream, Bytes);
  this->Around.maybeDie(this->Self);
  this->Around.interleave();
  return Appended;
}

Result<LogPage> SimulatedLog::read(const StreamName &Stream, Offset From,
                                   std::size_t Limit) {
  this->Around.Time.advance({1});
  this->Around.maybeDie(this->Self);
  auto Page = this->Around.Log.read(Stream, From, Limit);
  this->Around.interleave();
  return Page;
}

Result<std::vector<RunnerInfo>> SimulatedRunners::runners() {
  return std::vector<RunnerInfo>{{{"runner-1"}, {"a"}, 8, false},
                                 {{"runner-2"}, {"a"}, 8, false},
                                 {{"runner-3"}, {"b"}, 8, false}};
}

RunnerAnswer SimulatedRunners::send(const RunnerId &,
                                    const CallerRequest &Request,
                                    Duration Timeout) {
  this->Around.Time.advance({2});
  this->Around.maybeDie(this->Self);
  this->Around.interleave();
  RunnerAnswer Answer = this->exchange(Request, Timeout);
  this->Around.interleave();
  this->Around.maybeDie(this->Self);
  return Answer;
}

RunnerAnswer SimulatedRunners::exchange(const CallerRequest &Request,
                                        Duration Timeout) {
  if (this->Around.chance(8))
    return {SendState::NotSent, {}, {}};
  if (this->Around.chance(8))
    return {SendState::RefusedBusy, {}, {}};
  if (this->Around.chance(6)) {
    this->Around.LostUnrun.insert(Request.Key);
    return {SendState::Lost, {}, {}};
  }
  const std::string &Wire = Request.Request.Value;
  this->Around.Runs.push_back({Wire.substr(0, Wire.find('#')), Request.Key});
  const std::string Body = answerTo(Request.Body);
  this->Around.EarlierAnswers.emplace_back(Request.Request, Body);
  if (this->Around.chance(6))
    return {SendState::Lost, {}, {}};
  if (this->Around.chance(4)) {
    this->Around.Time.advance(Timeout);
    return {SendState::Lost, {}, {}};
  }
  if (this->Around.chance(6)) {
    const auto &[Other, OtherBody] =
        this->Around.EarlierAnswers[this->Around.any(
            this->Around.EarlierAnswers.size())];
    return {SendState::Answered, Other, OtherBody};
  }
  return {SendState::Answered, Request.Request, Body};
}

KeySettings keySettings(std::size_t Self, std::uint64_t Seed) {
  KeySettings Settings;
  Settings.Self = {"instance-" + std::to_string(Self)};
  Settings.Seed = Seed;
  Settings.Streams = 2;
  Settings.BeginPatience = {60};
  Settings.SnapshotAfterRecords = 6;
  return Settings;
}

std::shared_ptr<const Lists> listsInForce() {
  auto InForce = std::make_shared<Lists>();
  InForce->Plans = {1, {{{"chess"}, {"gold"}}}};
  LimitsEntry Gold;
  Gold.Plan = {"gold"};
  Gold.RequestsPerSecond = 1'000'000;
  Gold.ConcurrentRequests = 1'000;
  InForce->Limits = {1, {Gold}};
  return InForce;
}

RequestSettings serviceSettings(std::size_t Self, std::uint64_t Seed) {
  RequestSettings Settings;
  Settings.Self = {"instance-" + std::to_string(Self)};
  Settings.Seed = Seed;
  Settings.Dispatch.Domain = {"a"};
  return Settings;
}

Instance::Instance(World &Around, std::size_t Self, std::uint64_t Seed)
    : Log(Around, Self), Runners(Around, Self),
      Keys(this->Log, Around.Time, keySettings(Self, Seed)),
      Service(serviceSettings(Self, Seed),
              {Around.Time, this->Runners, this->Keys, this->Journal,
               this->Metrics, [Held = listsInForce()] { return Held; },
               [] {
                 return FleetShare{0, World::Instances};
               },
               nullptr,
               [&Around](Duration Span) { Around.Time.advance(Span); }}) {}

/// Knows only what the runners ran and what the callers were told.
void checkWorld(const World &After) {
  std::map<std::string, int> RunsOfKey;
  std::set<std::string> Ran;
  for (const Run &Each : After.Runs) {
    Ran.insert(Each.Attempt);
    if (!Each.Key.empty())
      ++RunsOfKey[Each.Key];
  }
  for (const auto &[Key, Count] : RunsOfKey) {
    INFO(Key);
    CHECK(Count <= 1);
  }
  for (const Told &Each : After.Answers) {
    INFO(Each.Attempt << " " << Each.Key << " "
                      << toString(Each.Outcome.State));
    if (Each.Outcome.State == RequestState::NotRun)
      CHECK(Ran.count(Each.Attempt) == 0);
    if (Each.Outcome.State == RequestState::Done) {
      CHECK(Each.Outcome.Body == answerTo(Each.Body));
      CHECK((!Each.Key.empty() || Ran.count(Each.Attempt) == 1));
    }
  }
}

/// Tells whether anything of \p Key ran.
bool keyRan(const World &After, const std::string &Key) {
  return std::any_of(After.Runs.begin(), After.Runs.end(),
                     [&Key](const Run &Each) { return Each.Key == Key; });
}

/// Once the faults are over, no key is held by a request that did not run,
/// unless its instance died or its answer was lost.
void checkProgress(World &After) {
  for (std::size_t Index = 0; Index < World::Keys; ++Index) {
    const std::string Key = "round-" + std::to_string(Index);
    const bool RanBefore = keyRan(After, Key);
    std::optional<RequestOutcome> Last;
    for (std::size_t Via = 0; Via < World::Instances; ++Via) {
      Last = After.attempt(Via, Key);
      After.settle(); // Its end reaches the log.
    }
    INFO(Key);
    REQUIRE(Last.has_value());
    INFO("reason " << static_cast<int>(Last->Why.Code) << " "
                   << Last->Why.PassedOver);
    CHECK(Last->State != RequestState::NotRun);
    if (!RanBefore && !After.LostUnrun.contains(Key) && After.Deaths == 0)
      CHECK(Last->State == RequestState::Done);
  }
}

} // namespace

TEST_CASE(
    "seeded schedules: at most once, exact answers, no key held in vain") {
  constexpr std::uint64_t Schedules = 1'500;
  constexpr int Attempts = 25;
  int Done = 0;
  int Unknown = 0;
  int NotRun = 0;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    INFO("seed " << Seed);
    World Simulated(Seed);
    for (int Attempt = 0; Attempt < Attempts; ++Attempt)
      Simulated.attemptAnywhere();
    Simulated.settle();
    checkProgress(Simulated);
    checkWorld(Simulated);
    for (const Told &Each : Simulated.Answers) {
      Done += Each.Outcome.State == RequestState::Done ? 1 : 0;
      Unknown += Each.Outcome.State == RequestState::Unknown ? 1 : 0;
      NotRun += Each.Outcome.State == RequestState::NotRun ? 1 : 0;
    }
  }
  // The schedules reach every answer often.
  constexpr int Often = 1'000;
  CHECK(Done > Often);
  CHECK(Unknown > Often);
  CHECK(NotRun > Often);
}
