#include <catch2/catch.hpp>

#include <map>

#include "pistachioflow/filter/routing.hpp"

using namespace pistachioflow;

namespace {

RunnerState runner(std::string Name, std::uint32_t Own, std::uint32_t Peers,
                   std::string Domain = "near") {
  RunnerState State;
  State.Info = {{std::move(Name)}, {std::move(Domain)}, 8, false};
  State.Own = Own;
  State.Peers = Peers;
  return State;
}

RouteQuery query() {
  RouteQuery Query;
  Query.Near = {"near"};
  Query.Now = {10'000};
  return Query;
}

std::map<std::string, int> pickOften(const std::vector<RunnerState> &Runners,
                                     const RouteQuery &Query) {
  std::mt19937_64 Random(5);
  std::map<std::string, int> Picked;
  for (int Try = 0; Try < 1'000; ++Try) {
    const auto Index = pickRunner(Runners, Query, {}, Random);
    ++Picked[Index ? Runners[*Index].Info.Runner.Value : "none"];
  }
  return Picked;
}

std::vector<RunnerState> tenRunners() {
  std::vector<RunnerState> Runners;
  for (int Index = 0; Index < 10; ++Index)
    Runners.push_back(runner("r" + std::to_string(Index), 0, 0));
  return Runners;
}

HealthChange exchange(std::vector<RunnerState> &Runners, SendState State,
                      double TimesUsual, Instant Now, std::size_t Index = 0) {
  noteSent(Runners[Index], Now);
  return noteResult(Runners, Index, {State, TimesUsual, Now}, {});
}

} // namespace

TEST_CASE("who may get a request") {
  struct Row {
    const char *Name;
    std::function<void(RunnerState &, RouteQuery &)> Change;
    bool May;
  };
  const Row Case = GENERATE(values<Row>({
      {"idle", [](auto &, auto &) {}, true},
      {"full by peers", [](auto &R, auto &) { R.Peers = 8; }, false},
      {"full, tried all the same",
       [](auto &R, auto &Q) { R.Peers = 8, Q.EvenIfFull = true; }, true},
      {"full of own", [](auto &R, auto &Q) { R.Own = 8, Q.EvenIfFull = true; },
       false},
      {"leaving", [](auto &R, auto &) { R.Info.Leaving = true; }, false},
      {"not listed", [](auto &R, auto &) { R.Listed = false; }, false},
      {"failed it last", [](auto &R, auto &Q) { Q.Avoid = R.Info.Runner; },
       false},
      {"ejected",
       [](auto &R, auto &Q) {
         R.Health = RunnerHealth::EjectedSlow;
         R.EjectedUntil = {20'000};
         Q.MayProbe = true;
       },
       false},
      {"on probation, probe",
       [](auto &R, auto &Q) {
         R.Health = RunnerHealth::EjectedSlow;
         Q.MayProbe = true;
       },
       true},
      {"on probation, non-idempotent",
       [](auto &R, auto &) { R.Health = RunnerHealth::EjectedSlow; }, false},
      {"on probation, probe under way",
       [](auto &R, auto &Q) {
         R.Health = RunnerHealth::EjectedSlow;
         R.Own = 1;
         Q.MayProbe = true;
       },
       false},
  }));
  INFO(Case.Name);
  RunnerState Runner = runner("r", 0, 0);
  RouteQuery Query = query();
  Case.Change(Runner, Query);
  CHECK(mayRoute(Runner, Query) == Case.May);
}

TEST_CASE("the near domain is preferred until it costs waiting") {
  const auto [NearLoad, FarLoad, Near] =
      GENERATE(table<std::uint32_t, std::uint32_t, bool>({
          {0, 0, true},
          {2, 0, true},
          {3, 0, false},
          {7, 5, true},
          {8, 7, false},
      }));
  const auto Picked = pickOften(
      {runner("near", NearLoad, 0, "near"), runner("far", FarLoad, 0, "far")},
      query());
  CHECK(Picked == std::map<std::string, int>{{Near ? "near" : "far", 1'000}});
}

TEST_CASE("own and gossiped counts weigh the same") {
  const auto Picked =
      pickOften({runner("a", 3, 0), runner("b", 0, 5)}, query());
  CHECK(Picked == std::map<std::string, int>{{"a", 1'000}});
}

TEST_CASE("a runner that stopped answering is left for the others") {
  std::vector<RunnerState> Runners{runner("silent", 1, 0), runner("b", 6, 0)};
  Runners[0].ProgressAt = {9'000};
  Runners[1].ProgressAt = {9'990};
  RouteQuery Query = query();
  Query.UsualMs = 100;
  CHECK(pickOften(Runners, Query).count("silent") == 0);
  Runners[1].Peers = 2;
  CHECK(pickOften(Runners, Query).at("silent") == 1'000);
}

TEST_CASE("failing runners are ejected up to a bounded share") {
  std::vector<RunnerState> Runners = tenRunners();
  std::size_t Ejected = 0;
  for (std::size_t Index = 0; Index < Runners.size(); ++Index)
    for (int Try = 0; Try < 5; ++Try)
      if (exchange(Runners, SendState::Lost, 1, {100}, Index) ==
          HealthChange::Ejected)
        ++Ejected;
  CHECK(Ejected == 6);
}

TEST_CASE("slow runners are ejected up to a bounded share") {
  std::vector<RunnerState> Runners = tenRunners();
  std::size_t Ejected = 0;
  for (std::size_t Index = 0; Index < Runners.size(); ++Index)
    for (int Try = 0; Try < 10; ++Try)
      if (exchange(Runners, SendState::Answered, 10, {100}, Index) ==
          HealthChange::Ejected)
        ++Ejected;
  CHECK(Ejected == 2);
}

TEST_CASE("what ejects a runner") {
  struct Row {
    std::vector<std::pair<SendState, double>> Results;
    bool Ejected;
  };
  using S = SendState;
  const Row Case = GENERATE(values<Row>({
      {{{S::Lost, 1}}, false},
      {{{S::Lost, 1}, {S::NotSent, 1}}, true},
      {{{S::Lost, 1}, {S::Answered, 1}, {S::Lost, 1}}, false},
      {{{S::RefusedBusy, 1}, {S::RefusedBusy, 1}, {S::RefusedBusy, 1}}, false},
      {{{S::Answered, 9}, {S::Answered, 1}, {S::Answered, 1}}, false},
      {{{S::Answered, 9}, {S::Answered, 9}, {S::Answered, 9}, {S::Answered, 9}},
       true},
      {{{S::Answered, 2}, {S::Answered, 2}, {S::Answered, 2}, {S::Answered, 2}},
       false},
  }));
  std::vector<RunnerState> Runners = tenRunners();
  for (const auto &[State, TimesUsual] : Case.Results)
    exchange(Runners, State, TimesUsual, {100});
  CHECK((Runners[0].Health != RunnerHealth::Healthy) == Case.Ejected);
  CHECK(Runners[0].Own == 0);
}

TEST_CASE("a runner returns by probation, and later each time it fails it") {
  std::vector<RunnerState> Runners = tenRunners();
  exchange(Runners, SendState::Lost, 1, {0});
  REQUIRE(exchange(Runners, SendState::Lost, 1, {0}) == HealthChange::Ejected);
  CHECK_FALSE(onProbation(Runners[0], {4'999}));
  REQUIRE(onProbation(Runners[0], {5'000}));
  CHECK(exchange(Runners, SendState::Lost, 1, {5'000}) ==
        HealthChange::Ejected);
  CHECK_FALSE(onProbation(Runners[0], {14'999}));
  REQUIRE(onProbation(Runners[0], {15'000}));
  CHECK(exchange(Runners, SendState::Answered, 1, {15'000}) ==
        HealthChange::None);
  CHECK(exchange(Runners, SendState::Answered, 1, {15'000}) ==
        HealthChange::Returned);
  CHECK(Runners[0].Health == RunnerHealth::Healthy);
}

TEST_CASE("a refusal marks the runner full until the next gossip") {
  std::vector<RunnerState> Runners{runner("a", 1, 0)};
  exchange(Runners, SendState::RefusedBusy, 1, {0});
  CHECK(Runners[0].Own + Runners[0].Gossiped == 8);
  RouteQuery Query = query();
  Query.Now = {19};
  CHECK_FALSE(mayRoute(Runners[0], Query));
  Query.Now = {20};
  CHECK(mayRoute(Runners[0], Query));
}
