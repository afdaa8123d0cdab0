#include "pistachioflow/sched/preference.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("preferences hold for as long as a run elsewhere would take longer") {
  const auto [Inputs, LimitMs] = GENERATE(table<PreferenceInputs, std::int64_t>(
      {{{7'000, 3.0, false, false}, 14'000},
       {{500, 3.0, false, false}, 2'000},
       {{7'000, 3.0, false, true}, 2'000},
       {{7'000, 3.0, true, false}, 2'000},
       {{7'000, 1.0, false, false}, 2'000}}));
  REQUIRE(preferenceLimit(Inputs).Ms == LimitMs);
}

TEST_CASE("a service has capacity to spare while less than half is used") {
  struct Row {
    const char *Name;
    std::int64_t Accelerators;
    Resources Free; ///< Of one of two workers; the other one is full.
    bool Spare;
  };
  const auto Case =
      GENERATE(Row{"all in use", 8, {0, 0, 0}, false},
               Row{"half of it free", 8, {8'000, 100, 8}, false},
               Row{"only cores to spare", 8, {9'000, 100, 0}, false},
               Row{"accelerators to spare", 8, {0, 0, 9}, true},
               Row{"cores, without accelerators", 0, {8'001, 0, 0}, true},
               Row{"no worker has any", 0, {8'000, 0, 0}, false});
  CAPTURE(Case.Name);
  std::vector<PlacementWorker> Workers(3);
  for (PlacementWorker &Worker : Workers) {
    Worker.Service = "svc";
    Worker.Capacity = {8'000, 100, Case.Accelerators};
  }
  Workers[1].FreeNow = Case.Free;
  Workers[2].Service = "other";
  Workers[2].FreeNow = Workers[2].Capacity;
  REQUIRE(hasSpareCapacity(Workers, "svc") == Case.Spare);
}

} // namespace pistachioflow
