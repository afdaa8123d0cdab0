#include "pistachioflow/daemon/platform_ports.hpp"

namespace pistachioflow {

namespace {

HttpPoolSettings poolSettings(const DaemonSettings &Settings,
                              std::size_t MaxIdle) {
  HttpPoolSettings Pool;
  Pool.Server = Settings.Platform;
  Pool.ConnectTimeout = Settings.Timeouts.Connect;
  Pool.MaxIdle = MaxIdle;
  return Pool;
}

} // namespace

PlatformPorts::PlatformPorts(const DaemonSettings &Settings, const Clock &Time,
                             MetricRegistry &Metrics)
    : Control(poolSettings(Settings,
                           Settings.Threads.Workers + Settings.Threads.Logs),
              Time),
      Targets(poolSettings(Settings, Settings.Limits.RunnerConnections), Time),
      Log(this->Control, Settings.Timeouts.Log),
      Instances(this->Control, Settings.Timeouts.Instances),
      Workers(this->Control, Settings.Timeouts.Workers),
      Runners(this->Targets, Settings.Timeouts.Instances, Metrics) {}

} // namespace pistachioflow
