#include <csignal>
#include <cstdint>
#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/standin/server.hpp"

ABSL_FLAG(std::string, host, "127.0.0.1", "Address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "Port to listen on; 0 chooses one");
ABSL_FLAG(std::uint32_t, threads, 192,
          "Threads; each open connection takes one");
ABSL_FLAG(std::uint32_t, domains, 1, "Failure domains");
ABSL_FLAG(std::uint32_t, racks, 2, "Racks of each failure domain");
ABSL_FLAG(std::uint32_t, workers, 4, "Workers of each rack");
ABSL_FLAG(std::uint32_t, cores, 64, "Cores of each worker");
ABSL_FLAG(std::uint32_t, memory_mb, 131'072, "Memory of each worker in MB");
ABSL_FLAG(std::uint32_t, accelerators, 8, "Accelerators of each worker");
ABSL_FLAG(std::uint32_t, runners, 4, "Runners");
ABSL_FLAG(std::uint32_t, slots, 8, "Slots of each runner");
ABSL_FLAG(std::int64_t, service_ms, 20,
          "Time that a runner takes for a request");
ABSL_FLAG(std::int64_t, run_ms, 2'000,
          "Run time of jobs without one of their own");
ABSL_FLAG(std::int64_t, usage_lag_ms, 500,
          "Lag of the usage that workers report");
ABSL_FLAG(std::int64_t, instance_lag_ms, 1'000, "Lag of the instance list");
ABSL_FLAG(std::uint32_t, retention, 0,
          "Log entries kept of each stream; 0 keeps all");
ABSL_FLAG(bool, fencing, true,
          "Workers refuse epochs lower than the highest seen");

namespace {

using namespace pistachioflow;

standin::ServerSettings settingsFromFlags() {
  standin::ServerSettings Settings;
  Settings.Host = absl::GetFlag(FLAGS_host);
  Settings.Port = absl::GetFlag(FLAGS_port);
  Settings.Threads = absl::GetFlag(FLAGS_threads);
  Settings.Domains = absl::GetFlag(FLAGS_domains);
  Settings.RacksPerDomain = absl::GetFlag(FLAGS_racks);
  Settings.WorkersPerRack = absl::GetFlag(FLAGS_workers);
  Settings.Cores = absl::GetFlag(FLAGS_cores);
  Settings.MemoryMb = absl::GetFlag(FLAGS_memory_mb);
  Settings.Accelerators = absl::GetFlag(FLAGS_accelerators);
  Settings.Runners = absl::GetFlag(FLAGS_runners);
  Settings.SlotsPerRunner = absl::GetFlag(FLAGS_slots);
  Settings.ServiceTime = {absl::GetFlag(FLAGS_service_ms)};
  Settings.InstanceLag = {absl::GetFlag(FLAGS_instance_lag_ms)};
  Settings.Retention = absl::GetFlag(FLAGS_retention);
  Settings.Park.RunTime = {absl::GetFlag(FLAGS_run_ms)};
  Settings.Park.UsageLag = {absl::GetFlag(FLAGS_usage_lag_ms)};
  Settings.Park.Fencing = absl::GetFlag(FLAGS_fencing);
  return Settings;
}

/// Blocks the signals that end the program, for every thread started later.
sigset_t blockEndSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "The platform's stand-in for tests and the demo: log, instance list, "
      "workers and runners over HTTP. Prints port=N once it listens.");
  absl::ParseCommandLine(Argc, Argv);
  const sigset_t Signals = blockEndSignals();
  startLogging("standin", LogLevel::Info);
  const SystemClock Time;
  standin::Server Server(settingsFromFlags(), Time);
  const Result<std::uint16_t> Port = Server.start();
  if (Port.has_error()) {
    logEvent(LogLevel::Error, "start_failed",
             {{"error", Port.error().Message}});
    return 1;
  }
  std::printf("port=%u\n", static_cast<unsigned>(Port.value()));
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Server.stop();
  return 0;
}
