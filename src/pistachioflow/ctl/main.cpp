#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "pistachioflow/ctl/command.hpp"

ABSL_FLAG(std::string, server, "127.0.0.1:7400",
          "host:port of the instances to ask, separated by commas");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::string, operator, "", "who makes an edit");
ABSL_FLAG(std::string, edit_id, "",
          "repeats an edit whose answer was lost; it counts once");
ABSL_FLAG(std::string, base, "", "the revision that an edit is based on");
ABSL_FLAG(std::string, job, "", "timeline: only the events of this job");
ABSL_FLAG(std::string, worker, "", "timeline: only the events of this worker");
ABSL_FLAG(std::string, workspace, "",
          "timeline: only the events of this workspace");
ABSL_FLAG(std::string, since, "",
          "timeline: milliseconds since the Unix epoch");
ABSL_FLAG(std::string, html, "", "timeline: writes a page to this file");
ABSL_FLAG(bool, follow, false, "timeline: goes on printing new events");
ABSL_FLAG(std::string, against, "", "check: the configuration in force");
ABSL_FLAG(std::string, workers, "", "check: a file with the list of workers");
ABSL_FLAG(bool, json, false, "the same as --output=json");
ABSL_FLAG(std::int64_t, timeout_ms, 10'000, "how long to wait for an answer");

namespace {

using namespace pistachioflow::ctl;

std::vector<Command> allCommands() {
  std::vector<Command> All;
  for (const auto Group : {listCommands(), jobCommands(), inspectCommands(),
                           timelineCommands(), checkCommands()})
    All.insert(All.end(), Group.begin(), Group.end());
  return All;
}

std::string usage(std::span<const Command> Commands) {
  std::string Text = "pistachioctl [FLAGS] COMMAND [ARGUMENTS]\n\n";
  for (const Command &Item : Commands) {
    std::string Line = "  " + std::string(Item.Name);
    if (!Item.Arguments.empty())
      Line += " " + std::string(Item.Arguments);
    Line.resize(std::max<std::size_t>(Line.size() + 1, 40), ' ');
    Text += Line + std::string(Item.Help) + "\n";
  }
  Text += "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 stale revision, "
          "4 surely not run,\n5 may have taken effect, 6 some instances could "
          "not be asked.\nExit codes of check: 0 nothing found, 1 warnings "
          "only, 2 errors or wrong usage,\n3 a file could not be read.\n";
  return Text;
}

bool readOptions(Options &Flags) {
  Flags.Servers = parseServers(absl::GetFlag(FLAGS_server));
  if (Flags.Servers.empty()) {
    std::cerr << "--server: expected host:port,..., found "
              << absl::GetFlag(FLAGS_server) << "\n";
    return false;
  }
  const std::string Output = absl::GetFlag(FLAGS_output);
  if (Output != "table" && Output != "json") {
    std::cerr << "--output: expected table or json, found " << Output << "\n";
    return false;
  }
  const bool Json = Output == "json" || absl::GetFlag(FLAGS_json);
  Flags.Output = Json ? OutputFormat::Json : OutputFormat::Table;
  Flags.Operator = absl::GetFlag(FLAGS_operator);
  Flags.EditId = absl::GetFlag(FLAGS_edit_id);
  Flags.Base = absl::GetFlag(FLAGS_base);
  Flags.Job = absl::GetFlag(FLAGS_job);
  Flags.Worker = absl::GetFlag(FLAGS_worker);
  Flags.Workspace = absl::GetFlag(FLAGS_workspace);
  Flags.Since = absl::GetFlag(FLAGS_since);
  Flags.HtmlFile = absl::GetFlag(FLAGS_html);
  Flags.AgainstFile = absl::GetFlag(FLAGS_against);
  Flags.WorkersFile = absl::GetFlag(FLAGS_workers);
  Flags.Follow = absl::GetFlag(FLAGS_follow);
  Flags.Timeout = {absl::GetFlag(FLAGS_timeout_ms)};
  return true;
}

/// Returns how many words of \p Given name \p Item, or 0 where they do not.
std::size_t matchName(const Command &Item, std::span<const std::string> Given) {
  const std::size_t Space = Item.Name.find(' ');
  const std::size_t Words = Space == std::string_view::npos ? 1 : 2;
  if (Given.size() < Words)
    return 0;
  const std::string Name = Words == 1 ? Given[0] : Given[0] + " " + Given[1];
  return Name == Item.Name ? Words : 0;
}

ExitCode run(const Options &Flags, std::span<const Command> Commands,
             std::span<const std::string> Given) {
  for (const Command &Item : Commands) {
    const std::size_t Words = matchName(Item, Given);
    if (Words == 0)
      continue;
    const auto Arguments = Given.subspan(Words);
    if (Arguments.size() < Item.LeastArguments ||
        Arguments.size() > Item.MostArguments) {
      std::cerr << "usage: pistachioctl " << Item.Name << " " << Item.Arguments
                << "\n";
      return ExitCode::Usage;
    }
    return Item.Run(Flags, Arguments);
  }
  std::cerr << usage(Commands);
  return ExitCode::Usage;
}

} // namespace

int main(int Count, char **Values) {
  const std::vector<Command> Commands = allCommands();
  absl::SetProgramUsageMessage(usage(Commands));
  const std::vector<char *> Words = absl::ParseCommandLine(Count, Values);
  const std::vector<std::string> Given(Words.begin() + 1, Words.end());
  Options Flags;
  if (!readOptions(Flags))
    return static_cast<int>(ExitCode::Usage);
  return static_cast<int>(run(Flags, Commands, Given));
}
