#include "task_name.hpp"

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("names of tasks and gangs are read, malformed numbers are -1") {
  struct Row {
    const char *Text;
    const char *JobId;
    std::int64_t Occurrence, Step, Index;
  };
  const auto Case = GENERATE(
      Row{"aa.0.1.2", "aa", 0, 1, 2}, Row{"aa.3.4", "aa", 3, 4, -1},
      Row{"aa", "aa", -1, -1, -1}, Row{"", "", -1, -1, -1},
      Row{"aa.x.1.2", "aa", -1, -1, -1}, Row{"aa.0.-1.2", "aa", 0, -1, -1},
      Row{"aa.0.99999999999999999999.2", "aa", 0, -1, -1});
  CAPTURE(Case.Text);
  const TaskName Name = parseTaskName(Case.Text);
  REQUIRE(Name.JobId == Case.JobId);
  REQUIRE(Name.Occurrence == Case.Occurrence);
  REQUIRE(Name.Step == Case.Step);
  REQUIRE(Name.Index == Case.Index);
}

} // namespace pistachioflow
