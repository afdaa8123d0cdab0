#include "pistachioflow/sched/configuration_check.hpp"

#include <functional>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr std::int64_t Fleet = 16;

QueueConfig makeQueue(std::string Name, std::string Prefix) {
  QueueConfig Queue;
  Queue.Name = std::move(Name);
  Queue.Host = "h";
  Queue.PathPrefix = std::move(Prefix);
  Queue.Terms.Service = "svc";
  return Queue;
}

void addWorkspace(DesiredState &State, std::string Name, std::string Key,
                  std::int64_t Guaranteed) {
  State.WorkspaceByKey[Key] = Name;
  State.Workspaces.push_back({std::move(Name), {std::move(Key)}, Guaranteed});
}

/// Returns a configuration without findings.
DesiredState makeState() {
  DesiredState State;
  State.Version = 7;
  State.Queues = {makeQueue("a", "/q/"), makeQueue("b", "/q/deep/")};
  addWorkspace(State, "team", "key", 8);
  addWorkspace(State, "other", "other-key", 8);
  return State;
}

std::string format(const CheckFindings &List) {
  std::string Text;
  for (const CheckFinding &Item : List)
    Text += std::string(toString(Item.Severity)) + " " +
            std::string(toString(Item.Kind)) + " " + Item.Place + "\n";
  return Text;
}

using Change = std::function<void(DesiredState &)>;

struct Row {
  std::string Name;
  Change Apply;
  std::string Found;
};

constexpr auto Unchanged = [](DesiredState &) {};

/// Returns the bytes that the server counts of the shortest submission to
/// makeState().
std::int64_t smallestHead() {
  const std::string_view Head = "/q/0123456789abcdef"
                                "Host"
                                "h"
                                "Content-Length"
                                "14"
                                "Authorization"
                                "Bearer key";
  // Three bytes for each header: the colon and the end of the line.
  constexpr std::size_t SeparatorBytes = 3 * 3;
  return static_cast<std::int64_t>(Head.size() + SeparatorBytes);
}

} // namespace

TEST_CASE("entries that calls cannot reach as intended are found") {
  // Guards against configurations that are accepted and ignored in part.
  const auto Case = GENERATE(values<Row>({
      {"a longer prefix beside a shorter one", Unchanged, ""},
      {"the same prefix on another host",
       [](DesiredState &State) {
         State.Queues[1].PathPrefix = "/q/";
         State.Queues[1].Host = "i";
       },
       ""},
      {"the same host and prefix",
       [](DesiredState &State) { State.Queues[1].PathPrefix = "/q/"; },
       "warning never_matches $.routes[1]\n"},
      {"a host with a port",
       [](DesiredState &State) { State.Queues[0].Host = "h:80"; },
       "warning never_matches $.routes[0].host\n"},
      {"a prefix without a slash",
       [](DesiredState &State) { State.Queues[0].PathPrefix = "q/"; },
       "warning never_matches $.routes[0].path_prefix\n"},
      {"a prefix with a query",
       [](DesiredState &State) { State.Queues[0].PathPrefix = "/q?"; },
       "warning never_matches $.routes[0].path_prefix\n"},
      {"one name for two routes",
       [](DesiredState &State) { State.Queues[1].Name = "a"; },
       "warning never_matches $.routes[1]\n"},
      {"a service that is not defined, and one without a route",
       [](DesiredState &State) {
         for (QueueConfig &Queue : State.Queues)
           Queue.Terms.Service = "unknown";
       },
       "warning never_matches $.routes[0].service\n"
       "warning never_matches $.routes[1].service\n"
       "warning never_matches $.services\n"},
      {"one name for two workspaces",
       [](DesiredState &State) { State.Workspaces[1].Name = "team"; },
       "warning never_matches $.tenants[1]\n"},
      {"one key of two workspaces",
       [](DesiredState &State) {
         State.Workspaces[1].Keys = {"k", "key"};
       },
       "error never_matches $.tenants[1].api_keys\n"},
      {"one key twice in a workspace",
       [](DesiredState &State) {
         State.Workspaces[0].Keys = {"key", "key"};
       },
       ""},
      {"an empty key",
       [](DesiredState &State) { State.Workspaces[0].Keys = {""}; },
       "error never_matches $.tenants[0].api_keys\n"},
  }));
  CAPTURE(Case.Name);
  DesiredState State = makeState();
  Case.Apply(State);
  REQUIRE(format(findUnmatchedEntries(
              State, std::vector<std::string>{"svc"})) == Case.Found);
}

TEST_CASE("services are not judged without a list of them") {
  REQUIRE(findUnmatchedEntries(makeState(), std::nullopt).empty());
}

TEST_CASE("limits with which nothing works are found") {
  // Guards against configurations with which every call or job fails.
  const auto Case = GENERATE(values<Row>({
      {"guarantees of the whole fleet", Unchanged, ""},
      {"guarantees beyond the fleet",
       [](DesiredState &State) {
         ++State.Workspaces[0].GuaranteedAccelerators;
       },
       "error limit $.tenants\n"},
      {"guarantees whose sum overflows",
       [](DesiredState &State) {
         State.Workspaces.resize(2'000, {"many", {}, std::int64_t{1} << 53U});
       },
       "error limit $.tenants\n"},
      {"version 0", [](DesiredState &State) { State.Version = 0; },
       "error limit $.version\n"},
      {"no stretch",
       [](DesiredState &State) { State.Queues[0].Terms.Stretch = 0; },
       "error limit $.routes[0].stretch\n"},
      {"no attempts",
       [](DesiredState &State) { State.Queues[1].Terms.MaxAttempts = 0; },
       "error limit $.routes[1].max_attempts\n"},
      {"the smallest head",
       [](DesiredState &State) { State.MaxHeaderBytes = smallestHead(); }, ""},
      {"less than the smallest head",
       [](DesiredState &State) { State.MaxHeaderBytes = smallestHead() - 1; },
       "error limit $.limits.max_header_bytes\n"},
      {"a public route needs no key",
       [](DesiredState &State) {
         State.MaxHeaderBytes = smallestHead() - 1;
         State.Queues[0].Public = true;
       },
       ""},
      {"the smallest body",
       [](DesiredState &State) {
         State.MaxBodyBytes = std::ssize(SmallestJobBody);
       },
       ""},
      {"less than the smallest body",
       [](DesiredState &State) {
         State.MaxBodyBytes = std::ssize(SmallestJobBody) - 1;
       },
       "error limit $.limits.max_body_bytes\n"},
      {"no time for a request",
       [](DesiredState &State) { State.HeaderTimeoutMs = 0; },
       "error limit $.limits.header_timeout_ms\n"},
      {"no time between requests",
       [](DesiredState &State) { State.IdleTimeoutMs = 0; },
       "error limit $.limits.idle_timeout_ms\n"},
  }));
  CAPTURE(Case.Name);
  DesiredState State = makeState();
  Case.Apply(State);
  REQUIRE(format(findContradictingLimits(State, Fleet)) == Case.Found);
}

TEST_CASE("guarantees are not judged without a list of workers") {
  DesiredState State = makeState();
  State.Workspaces[0].GuaranteedAccelerators = Fleet + 1;
  REQUIRE(findContradictingLimits(State, std::nullopt).empty());
}

TEST_CASE("differences from the version in force are listed") {
  // Guards against a change that its author did not intend or does not see.
  const auto Case = GENERATE(values<Row>({
      {"the same with a higher version", Unchanged, ""},
      {"the same version", [](DesiredState &State) { State.Version = 7; },
       "error difference $.version\n"},
      {"an older version", [](DesiredState &State) { State.Version = 6; },
       "error difference $.version\n"},
      {"another order of routes",
       [](DesiredState &State) { std::swap(State.Queues[0], State.Queues[1]); },
       ""},
      {"a route more",
       [](DesiredState &State) {
         State.Queues.push_back(makeQueue("c", "/c/"));
       },
       "warning difference $.routes[2]\n"},
      {"a route less", [](DesiredState &State) { State.Queues.pop_back(); },
       "warning difference $.routes\n"},
      {"each field of a route",
       [](DesiredState &State) {
         State.Queues[1].Host = "i";
         State.Queues[1].PathPrefix = "/i/";
         State.Queues[1].Public = true;
         State.Queues[1].NeedsAdvice = true;
         State.Queues[1].Terms = {"other", 1, 2, 2.5, 1'000};
       },
       "warning difference $.routes[1].host\n"
       "warning difference $.routes[1].path_prefix\n"
       "warning difference $.routes[1].public\n"
       "warning difference $.routes[1].service\n"
       "warning difference $.routes[1].priority\n"
       "warning difference $.routes[1].max_attempts\n"
       "warning difference $.routes[1].stretch\n"
       "warning difference $.routes[1].target_duration_ms\n"
       "warning difference $.routes[1].advice\n"},
      {"a workspace more",
       [](DesiredState &State) { addWorkspace(State, "new", "k", 0); },
       "warning difference $.tenants[2]\n"},
      {"a workspace less",
       [](DesiredState &State) { State.Workspaces.pop_back(); },
       "warning difference $.tenants\n"},
      {"another guarantee",
       [](DesiredState &State) {
         State.Workspaces[1].GuaranteedAccelerators = 0;
       },
       "warning difference $.tenants[1].guaranteed.gpus\n"},
      {"a key replaced",
       [](DesiredState &State) { State.Workspaces[0].Keys = {"new"}; },
       "warning difference $.tenants[0].api_keys\n"
       "warning difference $.tenants[0].api_keys\n"},
      {"each limit",
       [](DesiredState &State) {
         ++State.MaxHeaderBytes;
         ++State.MaxBodyBytes;
         ++State.HeaderTimeoutMs;
         ++State.IdleTimeoutMs;
       },
       "warning difference $.limits.max_header_bytes\n"
       "warning difference $.limits.max_body_bytes\n"
       "warning difference $.limits.header_timeout_ms\n"
       "warning difference $.limits.idle_timeout_ms\n"},
  }));
  CAPTURE(Case.Name);
  DesiredState State = makeState();
  ++State.Version;
  Case.Apply(State);
  REQUIRE(format(compareConfigurations(State, makeState())) == Case.Found);
}

TEST_CASE("lists with repeated names do not differ from themselves") {
  DesiredState InForce = makeState();
  InForce.Queues[1].Name = InForce.Queues[0].Name;
  DesiredState State = InForce;
  ++State.Version;
  REQUIRE(compareConfigurations(State, InForce).empty());
}

TEST_CASE("a difference names both values and no key") {
  DesiredState State = makeState();
  ++State.Version;
  State.Queues[0].Terms.Stretch = 2.5;
  State.Workspaces[0].Keys = {"secret"};
  State.Workspaces[1].Keys = {"secret"};
  CheckFindings List = compareConfigurations(State, makeState());
  REQUIRE(List.front().Message == "changed from 1 to 2.5");
  const CheckFindings Unmatched = findUnmatchedEntries(State, std::nullopt);
  List.insert(List.end(), Unmatched.begin(), Unmatched.end());
  for (const CheckFinding &Item : List)
    REQUIRE(Item.Message.find("secret") == std::string::npos);
}

} // namespace pistachioflow
