#include <catch2/catch.hpp>

#include <functional>
#include <thread>

#include "pistachioflow/controller/keys.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

/// Moves the clock with every call, so that waits end.
class TickingLog final : public LogService {
public:
  TickingLog(MemoryLog &Inner, ManualClock &Time) : Inner(Inner), Time(Time) {}

  Result<Offset> append(const StreamName &Stream,
                        std::string_view Bytes) override {
    this->Time.advance({1});
    if (this->BeforeAppend)
      std::exchange(this->BeforeAppend, nullptr)();
    ++this->Appends;
    return this->Inner.append(Stream, Bytes);
  }
  Result<LogPage> read(const StreamName &Stream, Offset From,
                       std::size_t Limit) override {
    this->Time.advance({1});
    return this->Inner.read(Stream, From, Limit);
  }

  std::function<void()> BeforeAppend;
  int Appends = 0;

private:
  MemoryLog &Inner;
  ManualClock &Time;
};

struct Fixture {
  ManualClock Time{{1'000}};
  MemoryLog Log;
  TickingLog Ticking{Log, Time};

  KeySettings settings(const std::string &Name, std::uint64_t Seed) {
    KeySettings Settings;
    Settings.Self = {Name};
    Settings.Seed = Seed;
    Settings.Streams = 1;
    Settings.BeginPatience = {50};
    return Settings;
  }
  KeyBegin ask(const std::string &Request, std::uint64_t Digest = 1) {
    return {{"chess"},
            "round-1",
            {Request},
            Digest,
            this->Time.monotonic() + Duration{200}};
  }
  RequestOutcome outcome(RequestState State, std::string Body = "") {
    RequestOutcome Outcome;
    Outcome.State = State;
    Outcome.Body = std::move(Body);
    return Outcome;
  }
};

const StreamName Stream{"keys/0"};

} // namespace

TEST_CASE("a repeat through another instance gets the first one's outcome") {
  const auto [Ended, Begins, Told] =
      GENERATE(table<RequestState, BeginState, RequestState>({
          {RequestState::Done, BeginState::Repeat, RequestState::Done},
          {RequestState::Unknown, BeginState::Repeat, RequestState::Unknown},
          {RequestState::NotRun, BeginState::First, RequestState::NotRun},
      }));
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  const KeyBegin First = F.ask("r1");
  const BeginAnswer Won = A.begin(First);
  REQUIRE(Won.State == BeginState::First);
  A.end(First, Won.Claim, F.outcome(Ended, "the draw"));
  REQUIRE(A.step());
  REQUIRE(A.idle());
  const BeginAnswer Again = B.begin(F.ask("r2"));
  CHECK(Again.State == Begins);
  CHECK(Again.Outcome.State == Told);
  if (Ended == RequestState::Done) {
    CHECK(Again.Outcome.Body == "the draw");
    CHECK(Again.Outcome.Why.Code == ReasonCode::RequestDuplicateKey);
  }
}

TEST_CASE("a repeat of a begin without an end is unknown") {
  Fixture F;
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  {
    KeyController A(F.Ticking, F.Time, F.settings("a", 1));
    REQUIRE(A.begin(F.ask("r1")).State == BeginState::First);
  }
  const BeginAnswer Again = B.begin(F.ask("r2"));
  CHECK(Again.State == BeginState::Repeat);
  CHECK(Again.Outcome.State == RequestState::Unknown);
}

TEST_CASE("a key with another body is refused and not answered") {
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  REQUIRE(A.begin(F.ask("r1", 1)).State == BeginState::First);
  CHECK(A.begin(F.ask("r2", 2)).State == BeginState::OtherRequest);
}

TEST_CASE("one of two instances that begin at the same moment wins") {
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  BeginAnswer OfB;
  F.Ticking.BeforeAppend = [&] { OfB = B.begin(F.ask("r2")); };
  const BeginAnswer OfA = A.begin(F.ask("r1"));
  CHECK(OfB.State == BeginState::First);
  CHECK(OfA.State == BeginState::Repeat);
  CHECK(OfA.Outcome.State == RequestState::Unknown);
}

TEST_CASE("an unreachable log refuses a begin and leaves nothing behind") {
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  F.Log.setFaults([] { return LogFault::Down; });
  CHECK(A.begin(F.ask("r1")).State == BeginState::LogDown);
  F.Log.setFaults(nullptr);
  CHECK(A.begin(F.ask("r2")).State == BeginState::First);
}

TEST_CASE("a begin in doubt is ended as not run once the log is back") {
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  F.Log.setFaults([First = true]() mutable {
    return std::exchange(First, false) ? LogFault::LostAnswer : LogFault::Down;
  });
  CHECK(A.begin(F.ask("r1")).State == BeginState::LogDown);
  F.Log.setFaults(nullptr);
  REQUIRE(F.Log.read(Stream, 0, 10).value().Entries.size() == 1);
  REQUIRE(A.step());
  REQUIRE(A.step());
  CHECK(A.counts().Abandoned >= 1);
  CHECK(B.begin(F.ask("r2")).State == BeginState::First);
}

TEST_CASE("a lost answer alone does not refuse a begin") {
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  F.Log.setFaults([First = true]() mutable {
    return std::exchange(First, false) ? LogFault::LostAnswer : LogFault::None;
  });
  CHECK(A.begin(F.ask("r1")).State == BeginState::First);
  CHECK(F.Log.read(Stream, 0, 10).value().Entries.size() == 1);
}

TEST_CASE("an answer above the bound is not kept and said to be so") {
  Fixture F;
  KeySettings Settings = F.settings("a", 1);
  Settings.MaxKeptBody = 8;
  KeyController A(F.Ticking, F.Time, Settings);
  const KeyBegin First = F.ask("r1");
  A.end(First, A.begin(First).Claim,
        F.outcome(RequestState::Done, "123456789"));
  REQUIRE(A.step());
  const BeginAnswer Again = A.begin(F.ask("r2"));
  REQUIRE(Again.State == BeginState::Repeat);
  CHECK(Again.Outcome.State == RequestState::Unknown);
  CHECK(Again.Outcome.Body.empty());
  CHECK_THAT(Again.Outcome.Why.PassedOver, Catch::Contains("not kept"));
}

TEST_CASE("keys outlive the records of the log by snapshots") {
  Fixture F;
  KeySettings Settings = F.settings("a", 1);
  Settings.SnapshotAfterRecords = 4;
  F.Log.setRetention(12);
  KeyController A(F.Ticking, F.Time, Settings);
  for (int Round = 0; Round < 40; ++Round) {
    KeyBegin Asked = F.ask("r" + std::to_string(Round));
    Asked.Key = "round-" + std::to_string(Round);
    const BeginAnswer Won = A.begin(Asked);
    REQUIRE(Won.State == BeginState::First);
    A.end(Asked, Won.Claim, F.outcome(RequestState::Done, "x"));
  }
  REQUIRE(A.step());
  CHECK(A.counts().Snapshots > 0);
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  for (int Round = 0; Round < 40; ++Round) {
    KeyBegin Asked = F.ask("again");
    Asked.Key = "round-" + std::to_string(Round);
    CHECK(B.begin(Asked).State == BeginState::Repeat);
  }
}

TEST_CASE("records that expired before any snapshot refuse every begin") {
  Fixture F;
  {
    KeyController A(F.Ticking, F.Time, F.settings("a", 1));
    REQUIRE(A.begin(F.ask("r1")).State == BeginState::First);
    REQUIRE(A.begin(F.ask("r2", 2)).State == BeginState::OtherRequest);
  }
  REQUIRE(F.Log.append(Stream, "x").has_value());
  F.Log.expireBelow(Stream, 1);
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  CHECK(B.begin(F.ask("r3")).State == BeginState::LogDown);
}

TEST_CASE("a given-up begin that turns up late does not hold the key") {
  Fixture F;
  KeyController A(F.Ticking, F.Time, F.settings("a", 1));
  F.Log.setFaults([] { return LogFault::Down; });
  CHECK(A.begin(F.ask("r1")).State == BeginState::LogDown);
  F.Log.setFaults(nullptr);
  // Whatever A ended up with, another instance can begin in the end.
  REQUIRE(A.step());
  KeyController B(F.Ticking, F.Time, F.settings("b", 2));
  CHECK(B.begin(F.ask("r2")).State == BeginState::First);
}

TEST_CASE("begins of many threads share appends") {
  MemoryLog Log;
  SystemClock Time;
  KeySettings Settings;
  Settings.Self = {"a"};
  Settings.Streams = 2;
  KeyController A(Log, Time, Settings);
  A.start();
  constexpr int Threads = 16;
  constexpr int Each = 20;
  std::atomic<int> First = 0;
  std::vector<std::jthread> Callers;
  for (int Thread = 0; Thread < Threads; ++Thread)
    Callers.emplace_back([&, Thread] {
      for (int Round = 0; Round < Each; ++Round) {
        KeyBegin Asked{{"w"},
                       std::to_string(Round),
                       {std::to_string(Thread)},
                       1,
                       Time.monotonic() + Duration{30'000}};
        BeginAnswer Answer = A.begin(Asked);
        if (Answer.State != BeginState::First)
          continue;
        ++First;
        RequestOutcome Done;
        Done.State = RequestState::Done;
        A.end(Asked, Answer.Claim, Done);
      }
    });
  Callers.clear();
  A.stop();
  CHECK(First == Each);
  CHECK(A.idle());
  CHECK(A.counts().Entries == Each);
}
