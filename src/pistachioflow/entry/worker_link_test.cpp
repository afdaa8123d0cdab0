#include "pistachioflow/entry/worker_link.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a worker is polled while it may have something to report") {
  struct Row {
    const char *Description;
    bool Synced;
    bool Occupied;
    std::int64_t UnresponsiveSinceMs;
    std::int64_t LastRecordedEnd;
    bool Needed;
  };
  const auto Case = GENERATE(
      Row{"idle and known", true, false, 0, 0, false},
      Row{"no answer yet", false, false, 0, 0, true},
      Row{"something runs", true, true, 0, 0, true},
      // Its runs were given up while it was unreachable.
      Row{"unresponsive with nothing on it", true, false, 500, 0, true},
      Row{"an end to acknowledge", true, false, 0, 3, true});
  CAPTURE(Case.Description);
  asio::io_context Io;
  WorkerLink Worker(Io, "w");
  Worker.Synced = Case.Synced;
  Worker.UnresponsiveSince = {Case.UnresponsiveSinceMs};
  Worker.LastRecordedEnd = Case.LastRecordedEnd;
  REQUIRE(needsHold(Worker, Case.Occupied) == Case.Needed);
}

} // namespace pistachioflow
