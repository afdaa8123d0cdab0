#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "pistachioflow/controller/keys_stream.hpp"

namespace pistachioflow {

/// Decides at most once for each (workspace, key) over all instances, by begin
/// and end records in the streams keys/0 to keys/<Streams - 1>.
///
/// Thread safety: every method may be called from any thread.
class KeyController {
public:
  /// Precondition: \p Log and \p Time outlive this object; \p Settings.Streams
  /// is at least 1 and the same for every instance of the cluster.
  KeyController(LogService &Log, const Clock &Time,
                const KeySettings &Settings);

  /// Stops the threads.
  ~KeyController();
  KeyController(const KeyController &) = delete;
  KeyController &operator=(const KeyController &) = delete;

  /// Starts one thread for each stream. Without it the threads of the callers
  /// do the work.
  void start();

  /// Appends what waits once more, then joins the threads. Not thread safe.
  void stop();

  /// Blocks until the key is decided or \p Asked.Deadline is reached.
  BeginAnswer begin(const KeyBegin &Asked);

  /// Notes the outcome of a claim that begin() answered with First.
  /// Precondition: called once for each such claim. Does not block.
  void end(const KeyBegin &Asked, std::uint64_t Claim, RequestOutcome Outcome);

  /// Appends and reads once in every stream. Returns whether the log could be
  /// reached for all of them.
  bool step();

  /// Returns whether every end is confirmed to be in the log.
  bool idle();

  /// Returns the sums over all streams.
  KeyStream::Counts counts();

private:
  KeyStream &streamOf(const KeyBegin &Asked);
  void run(const std::stop_token &Stop, KeyStream &Stream);

  std::vector<std::unique_ptr<KeyStream>> Streams;
  std::atomic<bool> Started{false};
  std::vector<std::jthread> Threads;
};

} // namespace pistachioflow
