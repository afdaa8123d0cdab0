#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>
#include <thread>

#include "pistachioflow/filter/request_service.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

constexpr Duration Generous{30'000};

/// Answers at once, or holds every request until it is released or cancelled.
class HoldingRunners final : public RunnerGateway {
public:
  Result<std::vector<RunnerInfo>> runners() override {
    return std::vector<RunnerInfo>{{{"r1"}, {"a"}, 2, false}};
  }

  RunnerAnswer send(const RunnerId &, const CallerRequest &Request,
                    Duration) override {
    std::unique_lock Guard(this->Lock);
    ++this->Sent;
    this->Signal.notify_all();
    this->Signal.wait(Guard, [&] {
      return !this->Holding || this->Cancelled == Request.Request;
    });
    if (this->Cancelled == Request.Request)
      return {SendState::Lost, {}, {}};
    return {SendState::Answered, Request.Request, "answer " + Request.Body};
  }

  void cancel(const RunnerId &, const RequestId &Request) override {
    const std::lock_guard Guard(this->Lock);
    this->Cancelled = Request;
    this->Signal.notify_all();
  }

  void awaitSent(int Count) {
    std::unique_lock Guard(this->Lock);
    REQUIRE(this->Signal.wait_for(Guard, std::chrono::seconds(30),
                                  [&] { return this->Sent >= Count; }));
  }

  void release() {
    const std::lock_guard Guard(this->Lock);
    this->Holding = false;
    this->Signal.notify_all();
  }

  std::mutex Lock;
  std::condition_variable Signal;
  bool Holding = false;
  int Sent = 0;
  RequestId Cancelled;
};

struct Fixture {
  Fixture() {
    this->Gold.Plan = {"gold"};
    this->Gold.RequestsPerSecond = 1'000;
    this->Gold.ConcurrentRequests = 100;
    this->Keys.start();
    REQUIRE(this->Service.refresh());
  }

  std::shared_ptr<const Lists> lists() {
    auto InForce = std::make_shared<Lists>();
    InForce->Plans = {3, {{{"chess"}, {"gold"}}, {{"school"}, {"tin"}}}};
    InForce->Limits = {5, {this->Gold}};
    return this->ListsKnown ? InForce : nullptr;
  }

  CallerRequest request(std::string Name, std::string Key = "") {
    CallerRequest Request;
    Request.Request = {std::move(Name)};
    Request.Workspace = {"chess"};
    Request.NonIdempotent = !Key.empty();
    Request.Key = std::move(Key);
    Request.Body = "body";
    Request.Deadline = this->Time.monotonic() + Generous;
    return Request;
  }

  std::future<RequestOutcome> start(const CallerRequest &Request) {
    return std::async(std::launch::async,
                      [=, this] { return this->Service.handle(Request); });
  }

  static KeySettings keySettings() {
    KeySettings Settings;
    Settings.Self = {"a"};
    Settings.Streams = 1;
    return Settings;
  }

  static RequestSettings serviceSettings() {
    RequestSettings Settings;
    Settings.Self = {"a"};
    Settings.Dispatch.Routing.Backlog = 0;
    Settings.DrainGrace = {0};
    return Settings;
  }

  SystemClock Time;
  MemoryLog Log;
  HoldingRunners Runners;
  KeyController Keys{Log, Time, keySettings()};
  EventJournal Journal{100};
  MetricRegistry Metrics;
  LimitsEntry Gold;
  bool ListsKnown = true;
  RequestService Service{serviceSettings(),
                         {Time,
                          Runners,
                          Keys,
                          Journal,
                          Metrics,
                          [this] { return this->lists(); },
                          [] { return FleetShare{}; },
                          [] { return std::vector<RunnerInFlight>{}; },
                          {}}};
};

} // namespace

TEST_CASE("each refusal is exact and names the entries of the lists") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &, CallerRequest &)> Change;
    ReasonCode Why;
    std::size_t Entries;
  };
  const Row Case = GENERATE(values<Row>({
      {"no plan", [](auto &, auto &R) { R.Workspace = {"nobody"}; },
       ReasonCode::RequestRefusedNoPlan, 0},
      {"no limits", [](auto &, auto &R) { R.Workspace = {"school"}; },
       ReasonCode::RequestRefusedNoPlan, 1},
      {"lists too old", [](auto &F, auto &) { F.ListsKnown = false; },
       ReasonCode::ConfigTooOld, 0},
      {"deadline passed",
       [](auto &F, auto &R) { R.Deadline = F.Time.monotonic(); },
       ReasonCode::RequestRefusedDeadline, 2},
      {"rate", [](auto &F, auto &) { F.Gold.RequestsPerSecond = 0; },
       ReasonCode::RequestRefusedLimit, 2},
      {"in flight", [](auto &F, auto &) { F.Gold.ConcurrentRequests = 0; },
       ReasonCode::RequestRefusedLimit, 2},
      {"log down",
       [](auto &F, auto &R) {
         R.NonIdempotent = true;
         R.Key = "k";
         F.Log.setFaults([] { return LogFault::Down; });
       },
       ReasonCode::RequestRefusedLogDown, 2},
      {"leaving", [](auto &F, auto &) { F.Service.beginDrain(); },
       ReasonCode::InstanceLeaving, 0},
  }));
  INFO(Case.Name);
  Fixture F;
  CallerRequest Request = F.request("q");
  Case.Change(F, Request);
  const RequestOutcome Outcome = F.Service.handle(Request);
  CHECK(Outcome.State == RequestState::NotRun);
  CHECK(Outcome.Why.Code == Case.Why);
  CHECK(Outcome.Why.Entries.size() == Case.Entries);
  CHECK(F.Runners.Sent == 0);
  REQUIRE(F.Journal.events().size() == 1);
  CHECK(F.Journal.events()[0].Why == Outcome.Why);
}

TEST_CASE("a request is answered whole, a repeat with the first one's answer") {
  Fixture F;
  const RequestOutcome First = F.Service.handle(F.request("q1", "round-1"));
  CHECK(First.State == RequestState::Done);
  CHECK(First.Body == "answer body");
  CHECK(First.Runner == RunnerId{"r1"});
  const RequestOutcome Again = F.Service.handle(F.request("q2", "round-1"));
  CHECK(Again.State == RequestState::Done);
  CHECK(Again.Body == "answer body");
  CHECK(F.Runners.Sent == 1);
}

TEST_CASE("a cancelled request frees its slot and its limit") {
  Fixture F;
  F.Gold.ConcurrentRequests = 1;
  F.Runners.Holding = true;
  auto Held = F.start(F.request("q1"));
  F.Runners.awaitSent(1);
  CHECK(F.Service.handle(F.request("q2")).Why.Code ==
        ReasonCode::RequestRefusedLimit);
  CHECK(F.Service.localLoads().size() == 1);
  CHECK(F.Service.cancel({"chess"}, {"q1"}));
  const RequestOutcome Outcome = Held.get();
  CHECK(Outcome.State == RequestState::Unknown);
  CHECK(Outcome.Why.Code == ReasonCode::RequestCancelled);
  CHECK(F.Service.localLoads().empty());
  CHECK_FALSE(F.Service.cancel({"chess"}, {"q1"}));
  F.Runners.release();
  CHECK(F.Service.handle(F.request("q3")).State == RequestState::Done);
}

TEST_CASE("a request that is cancelled while it waits was not run") {
  Fixture F;
  F.Runners.Holding = true;
  auto First = F.start(F.request("q1"));
  auto Second = F.start(F.request("q2"));
  F.Runners.awaitSent(2);
  auto Waiting = F.start(F.request("q3"));
  while (!F.Service.cancel({"chess"}, {"q3"}))
    std::this_thread::yield();
  const RequestOutcome Outcome = Waiting.get();
  CHECK(Outcome.State == RequestState::NotRun);
  CHECK(Outcome.Why.Code == ReasonCode::RequestCancelled);
  F.Runners.release();
  CHECK(First.get().State == RequestState::Done);
  CHECK(Second.get().State == RequestState::Done);
  CHECK(F.Runners.Sent == 2);
}

TEST_CASE("a drain ends what is in progress and takes nothing new") {
  Fixture F;
  F.Runners.Holding = true;
  auto Held = F.start(F.request("q1"));
  F.Runners.awaitSent(1);
  F.Service.beginDrain();
  CHECK(F.Service.handle(F.request("q2")).Why.Code ==
        ReasonCode::InstanceLeaving);
  CHECK(F.Service.inFlight() == 1);
  F.Runners.release();
  CHECK(Held.get().State == RequestState::Done);
  CHECK(F.Service.inFlight() == 0);
}

TEST_CASE("many threads with few keys draw once for each") {
  Fixture F;
  constexpr int Threads = 12;
  constexpr int Rounds = 15;
  std::atomic<int> Done = 0;
  std::vector<std::jthread> Callers;
  for (int Thread = 0; Thread < Threads; ++Thread)
    Callers.emplace_back([&, Thread] {
      for (int Round = 0; Round < Rounds; ++Round) {
        const std::string Key = "round-" + std::to_string(Round);
        const std::string Name = Key + "-" + std::to_string(Thread);
        const RequestOutcome Outcome = F.Service.handle(F.request(Name, Key));
        Done += Outcome.State == RequestState::Done ? 1 : 0;
      }
    });
  Callers.clear();
  CHECK(Done == Threads * Rounds);
  CHECK(F.Runners.Sent == Rounds);
}
