#include "pistachioflow/entry/worker_link.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a worker is polled while it may have something to report") {
  struct Row {
    const char *Description;
    bool Synced;
    bool Occupied;
    std::int64_t UnresponsiveSinceMs;
    std::int64_t LastRecordedEnd;
    bool HasUnwantedRun;
    bool Needed;
  };
  const auto Case = GENERATE(
      Row{"idle and known", true, false, 0, 0, false, false},
      Row{"no answer yet", false, false, 0, 0, false, true},
      Row{"something runs", true, true, 0, 0, false, true},
      // Its runs were given up while it was unreachable.
      Row{"unresponsive with nothing on it", true, false, 500, 0, false, true},
      Row{"an end to acknowledge", true, false, 0, 3, false, true},
      Row{"a run is being stopped", true, false, 0, 0, true, true});
  CAPTURE(Case.Description);
  asio::io_context Io;
  WorkerLink Worker(Io, "w");
  Worker.Synced = Case.Synced;
  Worker.UnresponsiveSince = {Case.UnresponsiveSinceMs};
  Worker.Ends.Recorded = Case.LastRecordedEnd;
  const std::vector<RunningTask> Run{{"task", 1, {}, 0, -1}};
  if (Case.HasUnwantedRun)
    Worker.Unwanted.update(Run, {1});
  REQUIRE(needsHold(Worker, Case.Occupied) == Case.Needed);
}

TEST_CASE("a start goes only to the process that it was placed on") {
  struct Row {
    const char *Description;
    std::int64_t ReportedStartMs;
    std::int64_t ListedStartMs; ///< 0: not in its entry.
    bool Listed;
    std::int64_t UnresponsiveSinceMs;
    bool Answers;
  };
  const auto Case =
      GENERATE(Row{"same process", 7, 7, true, 0, true},
               Row{"entry without a start", 7, 0, true, 0, true},
               Row{"restarted by its report", 8, 7, true, 0, false},
               Row{"restarted by its entry", 7, 8, true, 0, false},
               Row{"entry is outdated", 7, 6, false, 0, true},
               Row{"unresponsive", 7, 7, true, 500, false});
  CAPTURE(Case.Description);
  asio::io_context Io;
  WorkerLink Worker(Io, "w");
  Worker.IncarnationStartMs = Case.ReportedStartMs;
  Worker.Entry.IncarnationStartMs = Case.ListedStartMs;
  Worker.Listed = Case.Listed;
  Worker.UnresponsiveSince = {Case.UnresponsiveSinceMs};
  REQUIRE(answersAs(Worker, 7) == Case.Answers);
}

} // namespace pistachioflow
