// End-to-end tests of callers with keys of different workspaces.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// A call by somebody else than the caller that submitted the job.
struct LaterCall {
  const char *Method;
  CallerIdentity Caller;
  int Status;
};

/// Longer than the calls that follow.
constexpr std::int64_t WorkMs = 20'000;

asio::awaitable<void> expectStatuses(Fleet &Daemons, SubmittedJob Job,
                                     std::vector<LaterCall> Calls) {
  for (const LaterCall &Call : Calls) {
    Daemons.Caller = Call.Caller;
    const int Status = co_await Daemons.statusOf(Call.Method, Job, 1);
    if (Status != Call.Status)
      Daemons.recordViolation(std::string(Call.Method) + " with key '" +
                              Call.Caller.Key + "' at " + Call.Caller.Path +
                              " gets " + std::to_string(Status) +
                              ", expected " + std::to_string(Call.Status));
  }
}

} // namespace

// Guards against a workspace that reads or cancels the jobs of another one, or
// is told that its own job was accepted under an id that is taken.
TEST_CASE("only callers of its workspace reach a job of a private queue") {
  const CallerIdentity Own{"key", PrivatePath};
  const CallerIdentity Other{"other-key", PrivatePath};
  const CallerIdentity OtherAtPublic{"other-key", PublicPath};
  const CallerIdentity NobodyAtPublic{"", PublicPath};
  const std::vector<LaterCall> Calls{
      {"GET", Own, 200},           {"GET", Other, 403},
      {"DELETE", Other, 403},      {"POST", Other, 403},
      {"GET", OtherAtPublic, 403}, {"DELETE", NobodyAtPublic, 403},
      {"POST", Own, 200},          {"DELETE", Own, 200}};
  Fleet Fixture(Instances, WorkerCount, 1, folder("workspaces"));
  const std::vector<std::string> Violations =
      Fixture.run([=](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        TaskScript Script;
        Script.WorkMs = WorkMs;
        SubmittedJob Job = makeJob(1, 1, false, Script);
        co_await Daemons.submit(Job, 0, 50);
        co_await expectStatuses(Daemons, Job, Calls);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

TEST_CASE("anybody reaches a job of a public queue") {
  const bool WithKey = GENERATE(false, true);
  CAPTURE(WithKey);
  const CallerIdentity Submitter{WithKey ? "key" : "", PublicPath};
  const std::vector<LaterCall> Calls{{"GET", Submitter, 200},
                                     {"GET", {"", PublicPath}, 200},
                                     {"GET", {"other-key", PublicPath}, 200},
                                     {"DELETE", {"", PublicPath}, 200}};
  Fleet Fixture(Instances, WorkerCount, 1, folder("public_queue"));
  const std::vector<std::string> Violations =
      Fixture.run([=](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        Daemons.Caller = Submitter;
        TaskScript Script;
        Script.WorkMs = WorkMs;
        SubmittedJob Job = makeJob(1, 1, false, Script);
        co_await Daemons.submit(Job, 0, 50);
        co_await expectStatuses(Daemons, Job, Calls);
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
