// The daemon of an entry instance.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/instance.hpp"

ABSL_FLAG(std::string, settings, "",
          "settings file; otherwise PISTACHIOFLOW_SETTINGS names it");
ABSL_FLAG(bool, check, false, "read the settings, report findings, and exit");
ABSL_FLAG(std::string, placement_pace, "off",
          "whether placements consider the pace of workers: off, auto or on");
ABSL_FLAG(bool, verbose, false, "log debug lines too");

namespace {

using namespace pistachioflow;

/// A busy owner logs several hundred lines a second.
constexpr std::int64_t EventLinesPerSecond = 500;

std::string settingsPath() {
  const std::string FlagPath = absl::GetFlag(FLAGS_settings);
  if (!FlagPath.empty())
    return FlagPath;
  const char *EnvironmentPath = std::getenv("PISTACHIOFLOW_SETTINGS");
  return EnvironmentPath ? EnvironmentPath : "";
}

void onSignal(asio::signal_set &Signals, Instance &Daemon) {
  Signals.async_wait([&](asio::error_code Failure, int Number) {
    if (Failure)
      return;
    if (Number == SIGHUP)
      Daemon.reload();
    else
      Daemon.shutDown();
    onSignal(Signals, Daemon);
  });
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("Runs one entry instance of pistachioflow.");
  absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Path = settingsPath();
  Result<InstanceSettings> Settings = loadInstanceSettings(Path);
  if (!Settings) {
    std::cerr << Settings.error().Message << "\n"
              << formatFindings(Settings.error().Details);
    return EXIT_FAILURE;
  }
  const auto PaceMode = parsePacePlacement(absl::GetFlag(FLAGS_placement_pace));
  if (!PaceMode) {
    std::cerr << "--placement_pace: not off, auto or on\n";
    return EXIT_FAILURE;
  }
  if (absl::GetFlag(FLAGS_check))
    return EXIT_SUCCESS;
  startBoundedLogging(Settings.value().Instance,
                      absl::GetFlag(FLAGS_verbose) ? LogLevel::Debug
                                                   : LogLevel::Info,
                      EventLinesPerSecond);
  const SystemClock Time;
  asio::io_context Io(1);
  Instance Daemon(Io, Time, std::move(Settings.value()), Path, *PaceMode);
  if (!Daemon.start())
    return EXIT_FAILURE;
  asio::signal_set Signals(Io, SIGTERM, SIGINT, SIGHUP);
  onSignal(Signals, Daemon);
  Io.run();
  return EXIT_SUCCESS;
}
