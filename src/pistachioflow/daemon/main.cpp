#include <csignal>
#include <cstdio>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "pistachioflow/api/server.hpp"
#include "pistachioflow/base/log.hpp"
#include "pistachioflow/codec/settings.hpp"
#include "pistachioflow/daemon/node.hpp"
#include "pistachioflow/daemon/node_backend.hpp"

ABSL_FLAG(std::string, settings, "", "File with the settings of the instance");
ABSL_FLAG(bool, check, false, "Check the settings and exit");

namespace {

using namespace pistachioflow;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

/// How long a drain waits for requests in progress: longer than the longest
/// request may take.
constexpr Duration DrainPatience{65'000};

/// Blocks the signals that end the program, for every thread started later.
sigset_t blockEndSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

std::uint64_t drawSeed() {
  constexpr unsigned HalfBits = 32;
  std::random_device Source;
  const std::uint64_t High = Source();
  return (High << HalfBits) | Source();
}

ServerSettings serverSettings(const DaemonSettings &Settings) {
  ServerSettings Server;
  Server.Host = Settings.Http.Host;
  Server.Port = Settings.Http.Port;
  Server.MaxBodyBytes = Settings.Limits.BodyBytes;
  return Server;
}

int reportBadSettings(const Error &Failure) {
  std::fprintf(stderr, "%s\n%s", Failure.Message.c_str(),
               formatFindings(Failure.Details).c_str());
  return ExitBadSettings;
}

int reportFailedStart(const Error &Failure) {
  logEvent(LogLevel::Error, "start_failed", {{"error", Failure.Message}});
  return ExitFailed;
}

int run(const DaemonSettings &Settings, const sigset_t &EndSignals) {
  const SystemClock Time;
  Node Parts(Settings, Time, drawSeed());
  NodeBackend Handler(Parts);
  HttpServer Server(Handler, Time, Parts.Metrics, serverSettings(Settings));
  const Result<std::uint16_t> HttpPort = Server.start();
  if (HttpPort.has_error())
    return reportFailedStart(HttpPort.error());
  Parts.setHttpPort(HttpPort.value());
  const Result<std::uint16_t> PeerPort = Parts.start();
  if (PeerPort.has_error())
    return reportFailedStart(PeerPort.error());
  std::printf("http_port=%u peer_port=%u\n",
              static_cast<unsigned>(HttpPort.value()),
              static_cast<unsigned>(PeerPort.value()));
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&EndSignals, &Signal);
  Server.stopKeepingConnections();
  Parts.drain(DrainPatience);
  Server.stop();
  Parts.stop();
  logEvent(LogLevel::Info, "stopped", {});
  return ExitOk;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "One instance of the pistachioflow scheduler. Prints its ports once it "
      "listens; SIGTERM drains and ends it.");
  absl::ParseCommandLine(Argc, Argv);
  const Result<DaemonSettings> Settings =
      loadSettings(absl::GetFlag(FLAGS_settings));
  if (Settings.has_error())
    return reportBadSettings(Settings.error());
  if (absl::GetFlag(FLAGS_check)) {
    std::puts("settings are valid");
    return ExitOk;
  }
  const sigset_t EndSignals = blockEndSignals();
  startLogging(Settings.value().Instance.Value, Settings.value().Log);
  return run(Settings.value(), EndSignals);
}
