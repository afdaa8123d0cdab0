#include "pistachioflow/sched/preference.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

// Guards against jobs that never run, by a preference without an end.
TEST_CASE("preferences hold for as long as a run elsewhere would take longer") {
  const auto [Inputs, LimitMs] = GENERATE(table<PreferenceInputs, std::int64_t>(
      {{{7'000, 3.0, false, false}, 14'000},
       {{500, 3.0, false, false}, 2'000},
       {{7'000, 3.0, false, true}, 2'000},
       {{7'000, 3.0, true, false}, 2'000},
       {{7'000, 1.0, false, false}, 2'000}}));
  REQUIRE(preferenceLimit(Inputs).Ms == LimitMs);
}

TEST_CASE("reservations hold longer while the needed resource is in use") {
  const auto [Inputs, LimitMs] = GENERATE(table<PreferenceInputs, std::int64_t>(
      {{{7'000, 3.0, false, false}, 14'000},
       {{500, 3.0, false, false}, 10'000},
       {{7'000, 3.0, false, true}, 2'000},
       {{7'000, 3.0, true, false}, 2'000}}));
  REQUIRE(reservationLimit(Inputs).Ms == LimitMs);
}

TEST_CASE("tasks with accelerators need spare accelerators") {
  struct Row {
    SpareCapacity Spare;
    std::int64_t Accelerators;
    bool Spares;
  };
  const auto Case = GENERATE(
      Row{{true, true, false}, 1, false}, Row{{false, false, true}, 1, true},
      Row{{false, false, true}, 0, false}, Row{{true, false, false}, 0, true},
      Row{{false, true, false}, 0, true});
  REQUIRE(Case.Spare.sparesFor({1'000, 100, Case.Accelerators}) == Case.Spares);
}

// Guards against a unit that waits for its preferences beside a service that is
// mostly idle, by either count of the domains.
TEST_CASE("capacity is spare with or without the evacuated domains") {
  struct Row {
    const char *Name;
    std::int64_t FreeInService; ///< Of 8 accelerators.
    std::int64_t FreeEvacuated; ///< Of 8 accelerators.
    bool Spare;
  };
  const auto Case = GENERATE(
      Row{"idle in service", 5, 0, true}, Row{"idle as a whole", 2, 8, true},
      Row{"busy", 4, 4, false}, Row{"full", 0, 8, false});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers(2);
  for (PlacementWorker &Worker : Workers) {
    Worker.Service = "svc";
    Worker.Capacity = {8'000, 100, 8};
  }
  Workers[0].FreeNow.Accelerators = Case.FreeInService;
  Workers[1].FreeNow.Accelerators = Case.FreeEvacuated;
  Workers[1].Evacuated = true;
  REQUIRE(spareCapacity(Workers, "svc").Accelerators == Case.Spare);
}

TEST_CASE("a service has capacity to spare below half use of a resource") {
  struct Row {
    const char *Name;
    Resources Free; ///< On one of two workers; the other one is full.
    bool Cores;
    bool Memory;
    bool Accelerators;
  };
  const auto Case =
      GENERATE(Row{"all in use", {0, 0, 0}, false, false, false},
               Row{"half of it free", {8'000, 100, 8}, false, false, false},
               Row{"cores to spare", {8'001, 100, 0}, true, false, false},
               Row{"memory to spare", {0, 101, 0}, false, true, false},
               Row{"accelerators to spare", {0, 0, 9}, false, false, true});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers(3);
  for (PlacementWorker &Worker : Workers) {
    Worker.Service = "svc";
    Worker.Capacity = {8'000, 100, 8};
  }
  Workers[1].FreeNow = Case.Free;
  Workers[2].Service = "other";
  Workers[2].FreeNow = Workers[2].Capacity;
  const SpareCapacity Spare = spareCapacity(Workers, "svc");
  REQUIRE(Spare.Cores == Case.Cores);
  REQUIRE(Spare.Memory == Case.Memory);
  REQUIRE(Spare.Accelerators == Case.Accelerators);
}

} // namespace pistachioflow
