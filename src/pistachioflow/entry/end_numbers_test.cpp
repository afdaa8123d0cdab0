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

// Guards against a task that runs again after it has ended as done: a worker
// that had restarted took an old acknowledgement for its own ends, and forgot
// them.
TEST_CASE("an end is acknowledged until that was answered, and no longer") {
  const auto [Recorded, Acknowledged, Expected] =
      GENERATE(table<std::int64_t, std::int64_t, std::int64_t>(
          {{0, 0, 0}, {5, 0, 5}, {5, 3, 5}, {5, 5, 0}}));
  const EndNumbers Numbers{1, Recorded, Recorded, Acknowledged};
  REQUIRE(Numbers.toAcknowledge() == Expected);
}

} // namespace pistachioflow
