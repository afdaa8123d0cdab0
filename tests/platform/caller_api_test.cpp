// Requests that wait while the desired state changes.

#include <memory>
#include <string>
#include <utility>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "pistachioflow/entry/caller_api.hpp"
#include "pistachioflow/platform_standin/platform_server.hpp"

namespace pistachioflow {

namespace {

const std::string Id = "0000000000000001";
/// Shorter than a request about an unknown job waits for the journal.
constexpr Duration ChangeTime{100};
constexpr Duration PollInterval{10};

DesiredState stateWithQueue(std::int64_t Version, std::string Name) {
  DesiredState State;
  State.Version = Version;
  QueueConfig Queue;
  Queue.Name = std::move(Name);
  Queue.Host = "jobs.test";
  Queue.PathPrefix = "/open/";
  Queue.Public = true;
  State.Queues = {std::move(Queue)};
  return State;
}

HttpRequest request(std::string Method) {
  HttpRequest Request;
  Request.Method = std::move(Method);
  Request.Target = "/open/" + Id;
  Request.Headers = {{"Host", "jobs.test"}};
  return Request;
}

/// An instance's caller API with a store of its own.
struct ApiFixture {
  asio::io_context Io;
  SystemClock Time;
  PlatformServer Platform{this->Io, this->Time, SimulatorLimits{}, 1};
  DesiredState Desired = stateWithQueue(1, "a-queue-with-a-long-name-1");
  JobStatusTable JobStatuses;
  std::unique_ptr<StoreClient> Store;
  std::shared_ptr<JournalWriter> Writer;
  std::unique_ptr<TopicFollower> Journal;
  std::unique_ptr<CallerApi> Api;

  ApiFixture() {
    REQUIRE(this->Platform.start(0, 1, Resources{}));
    this->Store = std::make_unique<StoreClient>(
        this->Io, "127.0.0.1:" + std::to_string(this->Platform.storePort()));
    this->Writer = std::make_shared<JournalWriter>(this->Io, *this->Store,
                                                   this->Time, "writer", 1, 0,
                                                   65'536, MaxCallerRecordAge);
    this->Journal = std::make_unique<TopicFollower>(
        this->Io, *this->Store, this->Time, std::string(JournalTopic),
        TopicObserver{[](const TopicRecords &) {},
                      [this](const JournalRecord &Record) {
                        this->JobStatuses.apply(Record);
                      },
                      [] {}, [] {}},
        Duration{0});
    this->Api = std::make_unique<CallerApi>(this->Time, this->Desired,
                                            this->JobStatuses, *this->Journal,
                                            *this->Writer, std::size_t{65'536});
  }

  /// A job of another workspace, in a queue that is not public.
  void addJob() {
    SubmissionRecord Record;
    Record.Queue = "private";
    Record.Workspace = "team";
    Record.Job.Steps.resize(1);
    this->JobStatuses.apply({submissionKey(Id), encodeRecord(Record)});
  }
};

/// Reads the journal, and then lets no more calls reach the store.
asio::awaitable<void> loadAndCutOff(ApiFixture &Fixture) {
  spawnCoroutine(Fixture.Io, "follow", Fixture.Journal->run());
  while (!Fixture.Journal->caughtUp())
    co_await pauseFor(Fixture.Io, PollInterval);
  Fixture.Platform.StoreBehaviour.Unresponsive = true;
}

asio::awaitable<void> replaceState(ApiFixture &Fixture) {
  co_await pauseFor(Fixture.Io, ChangeTime);
  Fixture.Desired = stateWithQueue(2, "a-queue-with-a-long-name-2");
  Fixture.addJob();
}

asio::awaitable<void> callAndStop(ApiFixture &Fixture, std::string Method,
                                  int &Status) {
  co_await loadAndCutOff(Fixture);
  spawnCoroutine(Fixture.Io, "replace", replaceState(Fixture));
  const HttpResponse Answer =
      co_await Fixture.Api->handle(request(std::move(Method)));
  Status = Answer.Status;
  Fixture.Io.stop();
}

} // namespace

// Guards against a request that reads the queue of a desired state that was
// replaced, and freed, while it waited.
TEST_CASE("a request is judged by the queue that it was sent to") {
  const std::string Method = GENERATE("GET", "DELETE");
  CAPTURE(Method);
  ApiFixture Fixture;
  int Status = 0;
  spawnCoroutine(Fixture.Io, "call", callAndStop(Fixture, Method, Status));
  Fixture.Io.run();
  REQUIRE(Status == 403);
}

} // namespace pistachioflow
