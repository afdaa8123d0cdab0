#include "pistachioflow/sched/wait_reason.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

constexpr Resources WholeWorker{64'000, 131'072, 8};

PlacementWorker makeWorker(std::string_view Id, std::string_view Rack) {
  PlacementWorker Worker;
  Worker.Id = Id;
  Worker.Service = "svc";
  Worker.Rack = Rack;
  Worker.Capacity = WholeWorker;
  Worker.FreeNow = WholeWorker;
  return Worker;
}

} // namespace

TEST_CASE("a long wait is explained by what keeps the unit from workers") {
  struct Row {
    const char *Name;
    bool Free;
    bool FreeAfter;
    bool Usable;
    bool Reserved;
    bool Evacuated;
    WaitReason Reason;
  };
  const auto Case = GENERATE(
      Row{"full", false, false, true, false, false, WaitReason::Capacity},
      Row{"full and evacuated", false, false, false, false, true,
          WaitReason::Capacity},
      Row{"evacuated", true, true, false, false, true, WaitReason::Evacuation},
      Row{"unusable", true, true, false, false, false, WaitReason::Workers},
      Row{"held for others", true, false, true, false, false,
          WaitReason::Withheld},
      Row{"on another rack", true, true, true, false, false, WaitReason::Rack},
      Row{"reserved", true, true, true, true, false, WaitReason::Reservation});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Before{makeWorker("w0", "r0"),
                                      makeWorker("w1", "r1")};
  Before[0].FreeNow = {};
  Before[1].Usable = Case.Usable;
  Before[1].Evacuated = Case.Evacuated;
  if (!Case.Free)
    Before[1].FreeNow = {};
  std::vector<PlacementWorker> After = Before;
  After[1].ReservedThisRound = Case.Reserved;
  if (!Case.FreeAfter)
    After[1].FreeNow = {};
  StepSpec Step;
  Step.TaskResources = {1'000, 100, 8};
  Step.DataRack = "r0";
  WaitingUnit Unit;
  Unit.Service = "svc";
  Unit.Priority = 1;
  Unit.Step = &Step;
  REQUIRE(explainWait(Before, After, Unit) == Case.Reason);
}

TEST_CASE("lines about a wait come at doubling intervals") {
  const auto [NotedAfterMs, WaitedMs, Due] = GENERATE(
      table<std::int64_t, std::int64_t, bool>({{-1, 2'999, false},
                                               {-1, 3'000, true},
                                               {3'000, 5'900, false},
                                               {3'000, 6'000, true},
                                               {6'100, 12'100, false},
                                               {6'100, 12'200, true}}));
  const Instant Since{50'000};
  REQUIRE(isWaitNoticeDue(Since, Since + Duration{NotedAfterMs},
                          Since + Duration{WaitedMs}) == Due);
}

} // namespace pistachioflow
