#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/ctl/client.hpp"
#include "pistachioflow/ctl/exit_code.hpp"

namespace pistachioflow::ctl {

enum class OutputFormat { Table, Json };

/// The flags that every command shares.
struct Options {
  std::vector<ServerAddress> Servers;
  OutputFormat Output = OutputFormat::Table;
  std::string Operator;
  std::string EditId;
  std::string Base; ///< The revision that an edit is based on; empty: the last.
  std::string Job;
  std::string Worker;
  std::string Workspace;
  std::string Since; ///< Wall clock in milliseconds since the Unix epoch.
  std::string HtmlFile;
  std::string AgainstFile; ///< check: the configuration in force.
  std::string WorkersFile; ///< check: the list of workers.
  bool Follow = false;
  Duration Timeout{10'000};
};

/// One subcommand.
struct Command {
  std::string_view Name;
  std::string_view Arguments;
  std::string_view Help;
  std::size_t LeastArguments = 0;
  std::size_t MostArguments = 0;
  /// Precondition: the number of arguments is within the two bounds.
  ExitCode (*Run)(const Options &Flags, std::span<const std::string> Arguments);
};

std::span<const Command> listCommands();
std::span<const Command> jobCommands();
std::span<const Command> inspectCommands();
std::span<const Command> timelineCommands();
std::span<const Command> checkCommands();

/// Sends \p Call with the flags' timeout and prints the answer.
ExitCode sendAndPrint(const Options &Flags, HttpCall Call);

/// Prints a JSON answer as the flags ask for.
void print(const Options &Flags, const nlohmann::json &Value);

/// Prints what went wrong with \p Answer to standard error.
void printFailure(const HttpAnswer &Answer);

/// Reads a whole file; "-" is standard input. Returns false where it cannot.
bool readFile(const std::string &Path, std::string &Text);

} // namespace pistachioflow::ctl
