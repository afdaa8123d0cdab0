// The journal's writer and follower after an outage of the store that nothing
// but their own calls can notice the end of.

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "pistachioflow/entry/journal_writer.hpp"
#include "pistachioflow/entry/topic_follower.hpp"
#include "pistachioflow/platform_standin/platform_server.hpp"

namespace pistachioflow {

namespace {

/// Ends a test that waits for something that does not happen.
constexpr Duration WaitLimit{20'000};
constexpr Duration PollInterval{10};
constexpr WriteTimeouts ShortTimeouts{{50}, {200}};
constexpr Duration ShortRecordAge{2'500};

JournalRecord makeRecord(const std::string &Key) { return {Key, "value"}; }

/// A writer and a follower of the journal at a store of their own.
struct JournalFixture {
  asio::io_context Io;
  SystemClock Time;
  PlatformServer Platform{this->Io, this->Time, SimulatorLimits{}, 1};
  std::unique_ptr<StoreClient> Store;
  std::shared_ptr<JournalWriter> Writer;
  std::unique_ptr<TopicFollower> Follower;

  explicit JournalFixture(Duration MaxRecordAge = UnlimitedRecordAge) {
    REQUIRE(this->Platform.start(0, 1, Resources{}));
    this->Store = std::make_unique<StoreClient>(
        this->Io, "127.0.0.1:" + std::to_string(this->Platform.storePort()));
    this->Writer =
        std::make_shared<JournalWriter>(this->Io, *this->Store, this->Time,
                                        "writer", 1, 0, 65'536, MaxRecordAge);
    this->Follower = std::make_unique<TopicFollower>(
        this->Io, *this->Store, this->Time, std::string(JournalTopic),
        TopicObserver{[](const TopicRecords &) {}, [](const JournalRecord &) {},
                      [] {}, [this] { this->Writer->checkStore(); }},
        Duration{0});
  }

  asio::awaitable<WriteOutcome> write(const std::string &Key,
                                      WriteTimeouts Timeouts = ShortTimeouts) {
    std::vector<JournalRecord> Records{makeRecord(Key)};
    co_return co_await this->Writer->write(std::move(Records), Timeouts);
  }

  asio::awaitable<bool> waitUntil(std::function<bool()> Done) {
    const Instant StartedAt = this->Time.monotonic();
    while (!Done() && this->Time.monotonic() - StartedAt < WaitLimit)
      co_await pauseFor(this->Io, PollInterval);
    co_return Done();
  }

  /// Runs \p Test as the only coroutine besides the fixture's own.
  void run(std::function<asio::awaitable<void>()> Test) {
    spawnCoroutine(
        this->Io, "test",
        [](JournalFixture &Fixture, std::function<asio::awaitable<void>()> Body)
            -> asio::awaitable<void> {
          co_await Body();
          Fixture.Io.stop();
        }(*this, std::move(Test)));
    this->Io.run();
  }
};

} // namespace

TEST_CASE("the end of a store outage is noticed without traffic of callers") {
  // An instance that refuses submissions while appends fail sends no append
  // that could succeed.
  struct Row {
    const char *Name;
    bool Unresponsive;
    bool Writes;
    bool Follows;
  };
  const auto Case = GENERATE(Row{"writer, refused", false, true, false},
                             Row{"writer, unanswered", true, true, false},
                             Row{"follower, refused", false, false, true},
                             Row{"follower, unanswered", true, false, true},
                             Row{"both, refused", false, true, true},
                             Row{"both, unanswered", true, true, true});
  CAPTURE(Case.Name);
  JournalFixture Fixture;
  bool Failed = false;
  bool Recovered = false;
  WriteOutcome Later = WriteOutcome::NotStored;
  Fixture.run([&]() -> asio::awaitable<void> {
    co_await Fixture.write("a/1");
    if (Case.Follows)
      spawnCoroutine(Fixture.Io, "follow", Fixture.Follower->run());
    StoreFaults &Faults = Fixture.Platform.StoreBehaviour;
    (Case.Unresponsive ? Faults.Unresponsive : Faults.Refusing) = true;
    if (Case.Writes)
      co_await Fixture.write("a/2");
    Failed = co_await Fixture.waitUntil(
        [&] { return Fixture.Writer->failingSince().Ms != 0; });
    Faults = {};
    Recovered = co_await Fixture.waitUntil(
        [&] { return Fixture.Writer->failingSince().Ms == 0; });
    Later = co_await Fixture.write("a/3");
  });
  REQUIRE(Failed);
  REQUIRE(Recovered);
  REQUIRE(Later == WriteOutcome::Stored);
}

TEST_CASE("a rejected append of an older epoch is no failure of the store") {
  JournalFixture Fixture;
  WriteOutcome Outcome = WriteOutcome::Unknown;
  Fixture.run([&]() -> asio::awaitable<void> {
    const JournalRecord Newer = makeRecord("a/1");
    std::string Topic(JournalTopic);
    Producer Successor{"writer", 2, 0};
    const std::optional<std::int64_t> NoExpectedEnd;
    co_await Fixture.Store->append(std::move(Topic), {&Newer, 1},
                                   std::move(Successor), NoExpectedEnd,
                                   Duration{5'000});
    Outcome = co_await Fixture.write("a/2");
  });
  REQUIRE(Outcome == WriteOutcome::Fenced);
  REQUIRE(Fixture.Writer->failingSince().Ms == 0);
}

TEST_CASE("a slow store is no reason to refuse a write") {
  // Each write waits for the append before it.
  constexpr std::size_t Writes = 6;
  constexpr WriteTimeouts CallerTimeouts{{300}, {900}};
  constexpr Duration BetweenWrites{60};
  JournalFixture Fixture;
  std::vector<WriteOutcome> Outcomes;
  Fixture.run([&]() -> asio::awaitable<void> {
    Fixture.Platform.StoreBehaviour.Delay = {300};
    co_await Fixture.write("a/0", {{60'000}, {60'000}});
    for (std::size_t Index = 0; Index < Writes; ++Index) {
      spawnCoroutine(Fixture.Io, "write",
                     [](JournalFixture &Owner, std::size_t Number,
                        std::vector<WriteOutcome> &Results,
                        WriteTimeouts Timeouts) -> asio::awaitable<void> {
                       const std::string Key = "a/" + std::to_string(Number);
                       Results.push_back(co_await Owner.write(Key, Timeouts));
                     }(Fixture, Index, Outcomes, CallerTimeouts));
      co_await pauseFor(Fixture.Io, BetweenWrites);
    }
    co_await Fixture.waitUntil([&] { return Outcomes.size() == Writes; });
  });
  REQUIRE(Outcomes == std::vector<WriteOutcome>(Writes, WriteOutcome::Stored));
}

TEST_CASE("timeouts are extended only as long as callers wait") {
  const auto [AppendMs, ExtensionMs] =
      GENERATE(table<std::int64_t, std::int64_t>(
          {{0, 0}, {4, 0}, {99, 0}, {100, 400}, {250, 1'000}, {900, 1'200}}));
  const WriteTimeouts Extended = extendTimeouts({{300}, {900}}, {AppendMs});
  REQUIRE(Extended.Refused.Ms == 300 + ExtensionMs);
  REQUIRE(Extended.Unanswered.Ms == 900 + ExtensionMs);
}

// Guards against a job that runs again after it was completed and forgotten:
// its submission was repeated without end and stored minutes later.
TEST_CASE("a record above the age limit is never stored") {
  struct Row {
    const char *Name;
    Duration MaxAge;
    Duration Outage;
    bool Stored;
  };
  const auto Case =
      GENERATE(Row{"short outage", ShortRecordAge, {700}, true},
               Row{"long outage", ShortRecordAge, {4'000}, false},
               Row{"no limit", UnlimitedRecordAge, {3'000}, true});
  CAPTURE(Case.Name);
  JournalFixture Fixture(Case.MaxAge);
  WriteOutcome First = WriteOutcome::Stored;
  WriteOutcome Later = WriteOutcome::NotStored;
  Fixture.run([&]() -> asio::awaitable<void> {
    Fixture.Platform.StoreBehaviour.Unresponsive = true;
    First = co_await Fixture.write("a/1");
    co_await pauseFor(Fixture.Io, Case.Outage);
    Fixture.Platform.StoreBehaviour.Unresponsive = false;
    co_await Fixture.waitUntil(
        [&] { return Fixture.Writer->failingSince().Ms == 0; });
    Later = co_await Fixture.write("a/2");
  });
  REQUIRE(First == WriteOutcome::Unknown);
  REQUIRE(Later == WriteOutcome::Stored);
  const auto Records =
      Fixture.Platform.Store.newest(std::string(JournalTopic), "", 10);
  REQUIRE(Records.size() == (Case.Stored ? 2 : 1));
}

// Guards against the same by an append that the store carries out late.
TEST_CASE("an append that was given up is not carried out later") {
  JournalFixture Fixture(ShortRecordAge);
  Fixture.run([&]() -> asio::awaitable<void> {
    Fixture.Platform.StoreBehaviour.Unresponsive = true;
    co_await Fixture.write("a/1");
    co_await pauseFor(Fixture.Io, ShortRecordAge * 2);
    Fixture.Platform.StoreBehaviour.Unresponsive = false;
    co_await Fixture.waitUntil(
        [&] { return Fixture.Writer->failingSince().Ms == 0; });
    const JournalRecord Late = makeRecord("a/1");
    std::string Topic(JournalTopic);
    Producer Original{"writer", 1, 0};
    const std::optional<std::int64_t> NoExpectedEnd;
    const AppendAnswer Answer = co_await Fixture.Store->append(
        std::move(Topic), {&Late, 1}, std::move(Original), NoExpectedEnd,
        Duration{5'000});
    REQUIRE(Answer.Outcome == AppendOutcome::Fenced);
  });
}

} // namespace pistachioflow
