#include "pistachioflow/entry/worker_link.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a worker is looked at while the owner may learn something") {
  struct Row {
    const char *Why;
    bool Synced;
    bool Occupied;
    std::int64_t SilentSinceMs;
    std::int64_t EndsRecorded;
    bool Needed;
  };
  const auto Case =
      GENERATE(Row{"idle and known", true, false, 0, 0, false},
               Row{"not heard yet", false, false, 0, 0, true},
               Row{"something runs", true, true, 0, 0, true},
               // Its runs were given up while it was cut off; it is back later.
               Row{"silent with nothing on it", true, false, 500, 0, true},
               Row{"an end to acknowledge", true, false, 0, 3, true});
  CAPTURE(Case.Why);
  asio::io_context Io;
  WorkerLink Worker(Io, "w");
  Worker.Synced = Case.Synced;
  Worker.UnresponsiveSince = {Case.SilentSinceMs};
  Worker.LastRecordedEnd = Case.EndsRecorded;
  REQUIRE(needsHold(Worker, Case.Occupied) == Case.Needed);
}

} // namespace pistachioflow
