// End-to-end test of an owner that has more to store at once than one append
// may hold.

#include <filesystem>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "fleet.hpp"

namespace pistachioflow {

TEST_CASE("an owner stores more than one append may hold") {
  static constexpr std::int64_t MaxAppendBytes = 2'048;
  // Their units take about twice as much, and all of them fit on the workers.
  static constexpr std::int64_t Tasks = 48;
  static constexpr Duration EndLimit{30'000};
  const std::string Folder =
      (std::filesystem::temp_directory_path() /
       ("pistachioflow-journal_size-" + std::to_string(::getpid())))
          .string();
  Fleet Fixture(2, 6, 1, Folder);
  Fixture.limitAppends(MaxAppendBytes);
  const std::vector<std::string> Violations =
      Fixture.run([](Fleet &Daemons) -> asio::awaitable<void> {
        SubmittedJob Job = makeJob(1, Tasks, false, TaskScript{});
        co_await Daemons.submit(Job, 0, 100);
        const std::string State = co_await Daemons.waitForEnd(Job.Id, EndLimit);
        if (State != "completed")
          Daemons.recordViolation("shown as '" + State + "'");
        if (Daemons.Platform.Simulator.startCount() != Tasks)
          Daemons.recordViolation("not each task started once");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
