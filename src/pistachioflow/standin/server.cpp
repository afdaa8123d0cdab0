#include "pistachioflow/standin/server.hpp"

#include <array>
#include <thread>

#include <httplib.h>

#include "pistachioflow/standin/parts.hpp"

namespace pistachioflow {

using standin::OrderAnswer;
using standin::RunEnd;

template <> std::span<const EnumName<OrderAnswer>> enumNames<OrderAnswer>() {
  static constexpr auto Names = std::to_array<EnumName<OrderAnswer>>({
      {OrderAnswer::Accepted, "accepted"},
      {OrderAnswer::Refused, "refused"},
      {OrderAnswer::Fenced, "fenced"},
      {OrderAnswer::NoWorker, "no_worker"},
  });
  return Names;
}

template <> std::span<const EnumName<RunEnd>> enumNames<RunEnd>() {
  static constexpr auto Names = std::to_array<EnumName<RunEnd>>({
      {RunEnd::Open, "open"},
      {RunEnd::Finished, "finished"},
      {RunEnd::Failed, "failed"},
      {RunEnd::Stopped, "stopped"},
      {RunEnd::LeaseLapsed, "lease_lapsed"},
      {RunEnd::WorkerDied, "worker_died"},
  });
  return Names;
}

namespace standin {

namespace {

constexpr time_t KeepAliveSeconds = 1;
constexpr std::size_t KeepAliveRequests = 1'000'000;
constexpr std::size_t MaxBodyBytes = std::size_t{16} << 20;

} // namespace

struct Server::Parts {
  Parts(const ServerSettings &Settings, const Clock &Time)
      : Target(Settings, Time) {}

  Platform Target;
  httplib::Server Http;
  std::thread Listener;
  std::uint16_t Port = 0;
};

Server::Server(const ServerSettings &Settings, const Clock &Time)
    : Held(std::make_unique<Parts>(Settings, Time)) {
  httplib::Server &Http = this->Held->Http;
  const std::size_t Threads = Settings.Threads;
  Http.new_task_queue = [Threads] { return new httplib::ThreadPool(Threads); };
  Http.set_keep_alive_timeout(KeepAliveSeconds);
  Http.set_keep_alive_max_count(KeepAliveRequests);
  Http.set_payload_max_length(MaxBodyBytes);
  Http.set_tcp_nodelay(true);
  addLogRoutes(Http, this->Held->Target);
  addWorkerRoutes(Http, this->Held->Target);
  addRunnerRoutes(Http, this->Held->Target);
  addControlRoutes(Http, this->Held->Target);
}

Server::~Server() { this->stop(); }

Result<std::uint16_t> Server::start() {
  const ServerSettings &Settings = this->Held->Target.Settings;
  httplib::Server &Http = this->Held->Http;
  int Port = Settings.Port;
  const bool Bound = Port != 0
                         ? Http.bind_to_port(Settings.Host, Port)
                         : (Port = Http.bind_to_any_port(Settings.Host)) > 0;
  if (!Bound)
    return Error{ErrorCode::Unavailable,
                 "cannot listen on " + Settings.Host + ":" +
                     std::to_string(Settings.Port),
                 {}};
  this->Held->Listener = std::thread([&Http] { Http.listen_after_bind(); });
  while (!Http.is_running())
    std::this_thread::yield();
  this->Held->Port = static_cast<std::uint16_t>(Port);
  return this->Held->Port;
}

std::uint16_t Server::port() const { return this->Held->Port; }

void Server::stop() {
  this->Held->Target.Waits.stop();
  this->Held->Http.stop();
  if (this->Held->Listener.joinable())
    this->Held->Listener.join();
}

MemoryLog &Server::log() { return this->Held->Target.Log; }

FaultBoard &Server::faults() { return this->Held->Target.Faults; }

InstanceBoard &Server::instances() { return this->Held->Target.Instances; }

WorkerPark &Server::workers() { return this->Held->Target.Workers; }

RunnerPark &Server::runners() { return this->Held->Target.Runners; }

void Server::addFault(const Fault &Value) {
  standin::addFault(this->Held->Target, Value);
}

} // namespace standin
} // namespace pistachioflow
