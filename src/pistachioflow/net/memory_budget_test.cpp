#include "pistachioflow/net/memory_budget.hpp"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

// Guards against ordinary callers that are closed in place of those that send
// without end.
TEST_CASE("memory is taken from what holds most and finishes least") {
  struct Row {
    const char *Name;
    std::vector<ConnectionUse> Uses;
    std::optional<std::size_t> Closed;
  };
  const auto Case =
      GENERATE(Row{"none", {}, std::nullopt},
               Row{"the one that holds most", {{10, 0}, {30, 0}, {20, 0}}, 1},
               Row{"of equals the first", {{10, 0}, {10, 0}}, 0},
               Row{"the one that has finished nothing", {{30, 2}, {20, 0}}, 1},
               Row{"a busy one last", {{90, 0, true}, {10, 5}}, 1},
               Row{"only busy ones", {{90, 0, true}}, std::nullopt});
  CAPTURE(Case.Name);
  REQUIRE(chooseConnectionToClose(Case.Uses) == Case.Closed);
}

TEST_CASE("connections are closed until the others fit into the budget") {
  const auto Budget = std::make_shared<MemoryBudget>(100);
  std::vector<std::string> Closed;
  const auto Open = [&](const char *Name) {
    return std::make_unique<MemoryBudget::Share>(
        Budget, [&Closed, Name] { Closed.emplace_back(Name); });
  };
  auto First = Open("first");
  auto Second = Open("second");
  auto Third = Open("third");
  First->hold(60);
  Second->hold(40);
  REQUIRE(Closed.empty());
  Third->hold(30);
  REQUIRE(Closed == std::vector<std::string>{"first"});
  REQUIRE(Budget->held() == 70);
  // What a closed connection still reports counts for nothing.
  First->hold(90);
  First.reset();
  REQUIRE(Budget->held() == 70);
  Second->setBusy(true);
  Third->setBusy(true);
  Third->hold(80);
  REQUIRE(Closed.size() == 1);
  Second.reset();
  REQUIRE(Budget->held() == 80);
}

TEST_CASE("a budget without a limit closes nothing") {
  const auto Budget = std::make_shared<MemoryBudget>();
  MemoryBudget::Share Only(Budget, [] { FAIL("closed"); });
  Only.hold(std::size_t{1} << 40U);
  REQUIRE(Budget->held() == std::size_t{1} << 40U);
}

} // namespace pistachioflow
