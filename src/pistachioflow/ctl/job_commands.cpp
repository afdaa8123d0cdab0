#include "pistachioflow/ctl/command.hpp"

namespace pistachioflow::ctl {

namespace {

using Arguments = std::span<const std::string>;

ExitCode postFile(const Options &Flags, const std::string &Path,
                  const std::string &File) {
  std::string Text;
  if (!readFile(File, Text))
    return ExitCode::Usage;
  return sendAndPrint(Flags, {.Method = "POST", .Path = Path, .Body = Text});
}

ExitCode submit(const Options &Flags, Arguments Given) {
  return postFile(Flags, "/v1/jobs", Given[0]);
}

ExitCode status(const Options &Flags, Arguments Given) {
  const std::string Path = Given.empty() ? "/v1/jobs" : "/v1/jobs/" + Given[0];
  return sendAndPrint(Flags, {.Method = "GET", .Path = Path});
}

ExitCode cancel(const Options &Flags, Arguments Given) {
  return sendAndPrint(Flags,
                      {.Method = "DELETE", .Path = "/v1/jobs/" + Given[0]});
}

/// A request that did not run is answered with its outcome as well.
ExitCode request(const Options &Flags, Arguments Given) {
  std::string Text;
  if (!readFile(Given[0], Text))
    return ExitCode::Usage;
  const HttpAnswer Answer = send(Flags.Servers, {.Method = "POST",
                                                 .Path = "/v1/requests",
                                                 .Body = Text,
                                                 .Timeout = Flags.Timeout});
  if (Answer.Status != 0 && Answer.Body.contains("state"))
    print(Flags, Answer.Body);
  else
    printFailure(Answer);
  return exitCodeOf(Answer);
}

constexpr Command Commands[] = {
    {"submit", "FILE", "Submits the job that a JSON file describes.", 1, 1,
     submit},
    {"status", "[JOB]", "Shows one job, or all of them.", 0, 1, status},
    {"cancel", "JOB", "Cancels a job.", 1, 1, cancel},
    {"request", "FILE", "Sends a request to a runner and shows its answer.", 1,
     1, request},
};

} // namespace

std::span<const Command> jobCommands() { return Commands; }

} // namespace pistachioflow::ctl
