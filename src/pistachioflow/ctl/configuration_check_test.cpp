#include "pistachioflow/ctl/configuration_check.hpp"

#include <catch2/catch.hpp>

#include "pistachioflow/ctl/command.hpp"
#include "pistachioflow/platform/job_codec.hpp"

namespace pistachioflow::ctl {

namespace {

std::string example(const std::string &Name) {
  if (Name.empty())
    return {};
  return std::string(PISTACHIOFLOW_SOURCE_DIR) +
         "/examples/configuration-check/" + Name;
}

} // namespace

TEST_CASE("files are checked as the examples show") {
  // Guards against a wrong exit code, on which scripts decide what to send, and
  // against findings of one part of the check that are not passed on.
  struct Row {
    std::string Configuration;
    std::string InForce;
    std::string Workers;
    CheckExit Exit;
    std::string Output; ///< A file with the lines; empty: there are none.
  };
  const auto Case = GENERATE(values<Row>({
      {"in-force.json", "", "", CheckExit::Nothing, ""},
      {"configuration.json", "in-force.json", "workers.json", CheckExit::Errors,
       "findings.txt"},
      {"in-force.json", "", "workers.json", CheckExit::Warnings,
       "findings-workers.txt"},
      {"invalid.json", "in-force.json", "", CheckExit::Errors,
       "findings-invalid.txt"},
      {"no-such-file.json", "", "", CheckExit::Unreadable, ""},
      {"../configuration-check", "", "", CheckExit::Unreadable, ""},
      {"in-force.json", "invalid.json", "", CheckExit::Unreadable, ""},
      {"in-force.json", "", "findings.txt", CheckExit::Unreadable, ""},
  }));
  CAPTURE(Case.Configuration, Case.InForce, Case.Workers);
  const CheckResult Found =
      checkFiles({example(Case.Configuration), example(Case.InForce),
                  example(Case.Workers)});
  std::string Expected;
  if (!Case.Output.empty())
    REQUIRE(readFile(example(Case.Output), Expected));
  REQUIRE(formatLines(Found.List) == Expected);
  REQUIRE(Found.Exit == Case.Exit);
  REQUIRE(toJson(Found.List)["findings"].size() == Found.List.size());
}

TEST_CASE("the smallest job, with which the limit on bodies is compared, is "
          "valid") {
  // Guards against an error for a limit that is large enough.
  REQUIRE(decodeJobSpec(SmallestJobBody).has_value());
}

} // namespace pistachioflow::ctl
