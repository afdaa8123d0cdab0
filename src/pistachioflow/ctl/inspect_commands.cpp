#include <algorithm>
#include <array>
#include <iostream>

#include "pistachioflow/codec/settings.hpp"
#include "pistachioflow/ctl/command.hpp"

namespace pistachioflow::ctl {

namespace {

using Arguments = std::span<const std::string>;

constexpr std::array<std::string_view, 6> Subjects = {
    "job", "request", "workspace", "worker", "runner", "instance"};

ExitCode nodes(const Options &Flags, Arguments) {
  return sendAndPrint(Flags, {.Method = "GET", .Path = "/v1/nodes"});
}

ExitCode explain(const Options &Flags, Arguments Given) {
  if (std::find(Subjects.begin(), Subjects.end(), Given[0]) == Subjects.end()) {
    std::cerr << "cannot explain a " << Given[0] << "\n";
    return ExitCode::Usage;
  }
  const std::string Path = "/v1/explain/" + Given[0] + "/" + Given[1];
  const HttpAnswer Answer = send(
      Flags.Servers, {.Method = "GET", .Path = Path, .Timeout = Flags.Timeout});
  if (Answer.Status == 0 || !Answer.Body.contains("text")) {
    printFailure(Answer);
    return exitCodeOf(Answer);
  }
  if (Flags.Output == OutputFormat::Json)
    print(Flags, Answer.Body);
  else
    std::cout << Answer.Body["text"].get<std::string>();
  return ExitCode::Done;
}

ExitCode checkSettings(const Options &Flags, Arguments Given) {
  const Result<DaemonSettings> Settings = loadSettings(Given[0]);
  if (Settings.has_error()) {
    std::cerr << Settings.error().Message << "\n"
              << formatFindings(Settings.error().Details);
    return ExitCode::Usage;
  }
  print(Flags,
        {{"instance", Settings.value().Instance.Value}, {"settings", "valid"}});
  return ExitCode::Done;
}

constexpr Command Commands[] = {
    {"check-settings", "FILE", "Checks the settings of a daemon.", 1, 1,
     checkSettings},
    {"nodes", "", "Shows the instances and the revisions in force on each.", 0,
     0, nodes},
    {"explain", "KIND ID",
     "Tells why: job, request, workspace, worker, runner or instance.", 2, 2,
     explain},
};

} // namespace

std::span<const Command> inspectCommands() { return Commands; }

} // namespace pistachioflow::ctl
