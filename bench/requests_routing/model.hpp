#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string_view>
#include <vector>

#include "pistachioflow/filter/dispatch.hpp"
#include "pistachioflow/filter/retry.hpp"

namespace pistachioflow::bench {

enum class Algorithm : std::uint8_t {
  RoundRobin,
  Random,
  LeastOwnInFlight,
  Dispatch,
};

std::string_view toString(Algorithm Value);

enum class Fault : std::uint8_t { None, SlowRunner, DomainLost, HalfDead };

std::string_view toString(Fault Value);

struct ModelSettings {
  Algorithm Route = Algorithm::Dispatch;
  Fault Happens = Fault::None;
  double Load = 0.9; ///< Times the capacity of all runners.
  double GossipMs = 250;
  /// Whether a runner with no free slot lets requests wait, up to its
  /// connections, or refuses them.
  bool RunnersQueue = true;
  std::uint64_t Seed = 1;
  double RunMs = 20'000;
  double FaultAtMs = 5'000; ///< Requests count from here on.
};

struct ClassResult {
  std::vector<double> LatencyMs; ///< Of answers in time.
  std::uint64_t Offered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
};

struct ModelResult {
  std::array<ClassResult, RequestClasses> ByClass;
  std::uint64_t Admitted = 0;
  std::uint64_t Sends = 0;
  double MeasuredMs = 0;

  double percentile(RequestClass Class, double Part) const;
  std::uint64_t done() const;
};

/// Runs one model of 50 runners with 8 slots and 60 connections each, and 9
/// instances, in virtual time.
ModelResult runModel(const ModelSettings &Settings);

} // namespace pistachioflow::bench
