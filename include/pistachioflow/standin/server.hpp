#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/port/memory_log.hpp"
#include "pistachioflow/standin/fault_board.hpp"
#include "pistachioflow/standin/instance_board.hpp"
#include "pistachioflow/standin/runner_park.hpp"
#include "pistachioflow/standin/worker_park.hpp"

namespace pistachioflow::standin {

struct ServerSettings {
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;    ///< 0: chosen by the system.
  std::size_t Threads = 192; ///< Each open connection takes one.
  std::uint32_t Domains = 1;
  std::uint32_t RacksPerDomain = 2;
  std::uint32_t WorkersPerRack = 4;
  std::uint32_t Cores = 64;
  std::uint32_t MemoryMb = 131'072;
  std::uint32_t Accelerators = 8;
  std::uint32_t Runners = 4;
  std::uint32_t SlotsPerRunner = 8;
  Duration ServiceTime{20}; ///< Of one request on a runner.
  Duration InstanceLag{1'000};
  std::size_t Retention = 0; ///< Log entries kept of each stream; 0: all.
  ParkSettings Park;
};

/// The platform in one process: log, instance list, workers and runners over
/// HTTP, with faults that can be switched on.
///
/// Thread safety: every method may be called from any thread.
class Server {
public:
  /// Precondition: \p Time outlives the server.
  Server(const ServerSettings &Settings, const Clock &Time);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Starts to listen and returns the port. Errors: Unavailable (the port
  /// cannot be bound).
  Result<std::uint16_t> start();

  /// Returns the port, once started.
  std::uint16_t port() const;

  /// Cuts off what waits, and stops listening.
  void stop();

  MemoryLog &log();
  FaultBoard &faults();
  InstanceBoard &instances();
  WorkerPark &workers();
  RunnerPark &runners();

  /// Switches a fault on, with what follows from it at once.
  void addFault(const Fault &Value);

private:
  struct Parts;
  std::unique_ptr<Parts> Held;
};

} // namespace pistachioflow::standin
