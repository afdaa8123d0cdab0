#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "pistachioflow/api/server.hpp"

using namespace pistachioflow;
using trompeloeil::_;

namespace {

class MockBackend final : public Backend {
public:
  MAKE_MOCK0(lists, Lists(), override);
  MAKE_MOCK2(editPlans, Result<Revision>(const PlansEdited &, const RecordId &),
             override);
  MAKE_MOCK2(editLimits,
             Result<Revision>(const LimitsEdited &, const RecordId &),
             override);
  MAKE_MOCK1(whatIfPlans, Result<std::string>(const PlansEdited &), override);
  MAKE_MOCK1(whatIfLimits, Result<std::string>(const LimitsEdited &), override);
  MAKE_MOCK1(submit, Result<void>(const JobSpec &), override);
  MAKE_MOCK1(cancel, Result<void>(const JobId &), override);
  MAKE_MOCK1(job, Result<JobView>(const JobId &), override);
  MAKE_MOCK0(jobs, std::vector<JobView>(), override);
  MAKE_MOCK1(request, RequestOutcome(const CallerRequest &), override);
  MAKE_MOCK1(cancelRequest, void(const RequestId &), override);
  MAKE_MOCK0(nodes, NodesView(), override);
  MAKE_MOCK1(timeline, TimelineView(const TimelineQuery &), override);
  MAKE_MOCK2(explain, Result<std::string>(SubjectKind, const std::string &),
             override);
  MAKE_MOCK0(ready, bool(), override);
  MAKE_MOCK0(metrics, std::string(), override);
};

/// A server on a port that the system chose, with a mocked backend.
struct Fixture {
  MockBackend Handler;
  ManualClock Time;
  MetricRegistry Metrics;
  HttpServer Server{Handler, Time, Metrics, ServerSettings{}};
  int Port = Server.start().value();

  httplib::Client client() { return httplib::Client("127.0.0.1", this->Port); }
};

nlohmann::json bodyOf(const httplib::Result &Answer) {
  return nlohmann::json::parse(Answer->body, nullptr, false);
}

constexpr auto PlansBody =
    R"({"entries":[{"workspace":"chess","plan":"gold"}]})";

} // namespace

TEST_CASE("errors of an edit map to statuses with both parts of the reason") {
  const auto [Code, Status] = GENERATE(table<ErrorCode, int>({
      {ErrorCode::InvalidInput, 400},
      {ErrorCode::StaleRevision, 412},
      {ErrorCode::Unavailable, 503},
      {ErrorCode::UnknownOutcome, 504},
      {ErrorCode::Overloaded, 429},
  }));
  Fixture Test;
  const Error Failure{Code, "why", {{"$.entries[0]", "a plan", "nothing"}}};
  REQUIRE_CALL(Test.Handler, editPlans(_, _)).RETURN(Failure);
  const auto Answer = Test.client().Put("/v1/plans", {{"If-Match", "\"4\""}},
                                        PlansBody, "application/json");
  REQUIRE(Answer);
  CHECK(Answer->status == Status);
  CHECK(bodyOf(Answer)["error"] == toString(Code));
  CHECK(bodyOf(Answer)["findings"][0]["place"] == "$.entries[0]");
}

TEST_CASE("an edit carries revision, operator and edit id to the backend") {
  Fixture Test;
  REQUIRE_CALL(Test.Handler, editPlans(_, RecordId{"edit-1"}))
      .WITH(_1.BaseRevision == 7 && _1.Operator == "night-shift" &&
            _1.Entries.size() == 1)
      .RETURN(Revision{8});
  const auto Answer = Test.client().Put("/v1/plans",
                                        {{"If-Match", "7"},
                                         {"X-Operator", "night-shift"},
                                         {"Idempotency-Key", "edit-1"}},
                                        PlansBody, "application/json");
  REQUIRE(Answer);
  CHECK(Answer->status == 200);
  CHECK(Answer->get_header_value("ETag") == "\"8\"");
}

TEST_CASE("an edit without a usable revision never reaches the backend") {
  const std::string Match =
      GENERATE("", "x", "-1", "\"", "1x", "99999999999999999999");
  Fixture Test;
  const auto Answer = Test.client().Put("/v1/plans", {{"If-Match", Match}},
                                        PlansBody, "application/json");
  REQUIRE(Answer);
  CHECK(Answer->status == 428);
  CHECK(bodyOf(Answer)["findings"][0]["place"] == "If-Match");
}

TEST_CASE("the outcome of a request decides the status") {
  const auto [State, Code, Status] =
      GENERATE(table<RequestState, ReasonCode, int>({
          {RequestState::Done, ReasonCode::RequestDone, 200},
          {RequestState::NotRun, ReasonCode::RequestRefusedLimit, 429},
          {RequestState::NotRun, ReasonCode::RequestRefusedNoPlan, 403},
          {RequestState::NotRun, ReasonCode::RequestNoRunner, 503},
          {RequestState::Unknown, ReasonCode::RequestAnswerLost, 504},
      }));
  Fixture Test;
  RequestOutcome Outcome{State, {"runner-1"}, "pairing", {Code, {}, {}, ""}};
  REQUIRE_CALL(Test.Handler, request(_)).RETURN(Outcome);
  const auto Answer = Test.client().Post(
      "/v1/requests",
      R"({"request":"r-1","workspace":"chess","class":"round_pairing",)"
      R"("deadline_ms":1000,"body":"round 3"})",
      "application/json");
  REQUIRE(Answer);
  CHECK(Answer->status == Status);
  CHECK(bodyOf(Answer)["request"] == "r-1");
  CHECK(bodyOf(Answer)["body"] == "pairing");
}

TEST_CASE("unknown paths and large bodies get a JSON error") {
  Fixture Test;
  const auto Missing = Test.client().Get("/v1/nothing");
  REQUIRE(Missing);
  CHECK(Missing->status == 404);
  CHECK(bodyOf(Missing)["error"] == "http_error");
  const std::string Large(ServerSettings{}.MaxBodyBytes + 1, ' ');
  const auto TooLarge =
      Test.client().Post("/v1/jobs", Large, "application/json");
  REQUIRE(TooLarge);
  CHECK(TooLarge->status == 413);
}

TEST_CASE("idle connections do not shut out the readiness check") {
  constexpr int IdleConnections = 60;
  Fixture Test;
  ALLOW_CALL(Test.Handler, ready()).RETURN(true);
  std::vector<std::unique_ptr<httplib::Client>> Idle;
  for (int I = 0; I < IdleConnections; ++I) {
    Idle.push_back(std::make_unique<httplib::Client>("127.0.0.1", Test.Port));
    Idle.back()->set_keep_alive(true);
    REQUIRE(Idle.back()->Get("/healthz"));
  }
  const auto Answer = Test.client().Get("/readyz");
  REQUIRE(Answer);
  CHECK(Answer->status == 200);
}

TEST_CASE("stop waits for the answer in progress") {
  Fixture Test;
  std::atomic<bool> Entered = false;
  std::atomic<bool> Leave = false;
  REQUIRE_CALL(Test.Handler, jobs())
      .LR_SIDE_EFFECT(Entered = true; Entered.notify_all())
      .LR_SIDE_EFFECT(Leave.wait(false))
      .RETURN(std::vector<JobView>{});
  int Status = 0;
  std::thread Caller([&] {
    const auto Answer = Test.client().Get("/v1/jobs");
    Status = Answer ? Answer->status : -1;
  });
  Entered.wait(false);
  std::thread Stopper([&] { Test.Server.stop(); });
  Leave = true;
  Leave.notify_all();
  Stopper.join();
  Caller.join();
  CHECK(Status == 200);
}
