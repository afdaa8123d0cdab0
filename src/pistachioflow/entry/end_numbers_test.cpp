#include "pistachioflow/entry/end_numbers.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("ends are recorded for the incarnation that numbered them") {
  struct Row {
    const char *Name;
    std::int64_t IncarnationStartMs; ///< Once the records are stored.
    std::int64_t Applied;            ///< By then.
    std::int64_t Recorded;
    bool Awaited; ///< Ends are still to be stored.
  };
  const auto Case = GENERATE(Row{"same process", 1, 7, 7, false},
                             Row{"more ends meanwhile", 1, 9, 7, true},
                             Row{"restarted", 2, 0, 0, false},
                             Row{"restarted, with ends", 2, 3, 0, true});
  CAPTURE(Case.Name);
  const EndNumbers Written{1, 7, 5, 5};
  EndNumbers Now{Case.IncarnationStartMs, Case.Applied, 0, 0};
  markRecorded(Now, Written);
  REQUIRE(Now.Recorded == Case.Recorded);
  REQUIRE(Now.awaitRecords() == Case.Awaited);
}

} // namespace pistachioflow
