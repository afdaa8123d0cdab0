#include "pistachioflow/ctl/configuration_check.hpp"

#include <algorithm>
#include <iostream>

#include "pistachioflow/ctl/command.hpp"
#include "pistachioflow/platform/configuration_file.hpp"

namespace pistachioflow::ctl {

namespace {

void append(CheckFindings &List, const CheckFindings &More) {
  List.insert(List.end(), More.begin(), More.end());
}

void appendInvalid(CheckFindings &List, CheckSeverity Severity,
                   std::span<const Finding> Problems) {
  for (const Finding &Item : Problems)
    List.push_back({Severity, CheckKind::Invalid, Item.Place,
                    "expected " + Item.Expected + ", found " + Item.Found});
}

std::int64_t count(std::span<const CheckFinding> List, CheckSeverity Severity) {
  return std::ranges::count(List, Severity, &CheckFinding::Severity);
}

CheckExit exitOf(std::span<const CheckFinding> List) {
  if (count(List, CheckSeverity::Error) > 0)
    return CheckExit::Errors;
  return List.empty() ? CheckExit::Nothing : CheckExit::Warnings;
}

void printUnreadable(const std::string &Path, const Error &Fault) {
  std::cerr << Path << ": " << Fault.Message << "\n"
            << formatFindings(Fault.Details);
}

/// Reads and decodes the file at \p Path. Returns false and writes to standard
/// error why it cannot.
template <typename Value>
bool load(const std::string &Path, Result<Value> (*Decode)(std::string_view),
          std::optional<Value> &Out) {
  std::string Text;
  if (Path.empty())
    return true;
  if (!readFile(Path, Text))
    return false;
  Result<Value> Decoded = Decode(Text);
  if (!Decoded) {
    printUnreadable(Path, Decoded.error());
    return false;
  }
  Out = std::move(Decoded.value());
  return true;
}

CheckFindings checkText(std::string_view Text,
                        const std::optional<ConfigurationFile> &InForce,
                        const std::optional<WorkerList> &Workers) {
  CheckFindings List;
  const Result<ConfigurationFile> File = decodeConfigurationFile(Text);
  if (!File) {
    appendInvalid(List, CheckSeverity::Error, File.error().Details);
    return List;
  }
  const DesiredState &State = File.value().State;
  std::optional<std::int64_t> Fleet;
  appendInvalid(List, CheckSeverity::Warning, File.value().IgnoredEntries);
  if (Workers) {
    appendInvalid(List, CheckSeverity::Warning, Workers->RejectedEntries);
    Fleet = Workers->Accelerators;
  }
  append(List, findUnmatchedEntries(State, File.value().Services));
  append(List, findContradictingLimits(State, Fleet));
  if (InForce)
    append(List, compareConfigurations(State, InForce->State));
  return List;
}

/// Replaces control characters, so that a finding stays on one line.
std::string onOneLine(std::string Text) {
  constexpr unsigned char FirstVisible = ' ';
  constexpr char Replacement = '?';
  std::ranges::replace_if(
      Text,
      [](char Character) {
        return static_cast<unsigned char>(Character) < FirstVisible;
      },
      Replacement);
  return Text;
}

/// Parts of invalid input in messages may be invalid UTF-8, which an ordinary
/// dump of JSON refuses.
std::string dumpFindings(std::span<const CheckFinding> List) {
  constexpr int Indent = 2;
  return toJson(List).dump(Indent, ' ', false,
                           nlohmann::json::error_handler_t::replace);
}

ExitCode check(const Options &Flags, std::span<const std::string> Given) {
  const CheckResult Found =
      checkFiles({Given[0], Flags.AgainstFile, Flags.WorkersFile});
  if (Found.Exit != CheckExit::Unreadable) {
    if (Flags.Output == OutputFormat::Json)
      std::cout << dumpFindings(Found.List) << "\n";
    else
      std::cout << formatLines(Found.List);
  }
  // The codes of this command are its own; see its help.
  return static_cast<ExitCode>(Found.Exit);
}

constexpr Command Commands[] = {
    {"check", "FILE [--against FILE] [--workers FILE] [--json]",
     "Checks a configuration of pistachio-entryd.", 1, 1, check},
};

} // namespace

std::span<const Command> checkCommands() { return Commands; }

CheckResult checkFiles(const CheckFiles &Files) {
  std::string Text;
  std::optional<ConfigurationFile> InForce;
  std::optional<WorkerList> Workers;
  const bool Readable =
      readFile(Files.Configuration, Text) &&
      load(Files.InForce, &decodeConfigurationFile, InForce) &&
      load(Files.Workers, &decodeWorkerList, Workers);
  if (!Readable)
    return {CheckExit::Unreadable, {}};
  CheckFindings List = checkText(Text, InForce, Workers);
  return {exitOf(List), std::move(List)};
}

std::string formatLines(std::span<const CheckFinding> List) {
  std::string Text;
  for (const CheckFinding &Item : List)
    Text += onOneLine(std::string(toString(Item.Severity)) + " " +
                      std::string(toString(Item.Kind)) + " " + Item.Place +
                      ": " + Item.Message) +
            "\n";
  return Text;
}

nlohmann::json toJson(std::span<const CheckFinding> List) {
  nlohmann::json Items = nlohmann::json::array();
  for (const CheckFinding &Item : List)
    Items.push_back({{"severity", toString(Item.Severity)},
                     {"kind", toString(Item.Kind)},
                     {"place", Item.Place},
                     {"message", Item.Message}});
  return {{"errors", count(List, CheckSeverity::Error)},
          {"warnings", count(List, CheckSeverity::Warning)},
          {"findings", std::move(Items)}};
}

} // namespace pistachioflow::ctl
