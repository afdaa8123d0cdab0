#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/clients/wire.hpp"

namespace pistachioflow::standin {

/// One run of a request as a checker sees it.
struct RequestRun {
  RunnerId Runner;
  RequestId Request;
  WorkspaceId Workspace;
  std::string Key;
  bool NonIdempotent = false;
  Instant From;
  Instant To;
  bool Ended = false;
};

/// Runners with a bounded number of slots.
///
/// Thread safety: every method may be called from any thread.
class RunnerPark {
public:
  void addRunner(const RunnerInfo &Info);
  std::vector<RunnerInfo> runners() const;
  bool knows(const RunnerId &Runner) const;

  /// Takes a slot and records the run. Returns its number, or nothing where
  /// every slot is taken.
  std::optional<std::size_t> begin(const RunnerId &Runner,
                                   const RunnerCall &Call, Instant Now);

  /// Gives the slot of run \p Number back.
  void end(std::size_t Number, Instant Now);

  std::vector<RequestRun> runs() const;

private:
  struct Runner {
    RunnerInfo Info;
    std::uint32_t Busy = 0;
  };

  mutable std::mutex Lock;
  std::map<RunnerId, Runner> Runners;
  std::vector<RequestRun> Runs;
};

} // namespace pistachioflow::standin
