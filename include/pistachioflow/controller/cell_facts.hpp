#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/model/event.hpp"

namespace pistachioflow {

/// Appends callers' facts to a stream in groups: while one append is on its
/// way, the facts of other callers gather for the next one.
///
/// Thread safety: every method may be called from any thread.
class FactWriter {
public:
  /// \p Append puts one group into the stream. It is never called twice at the
  /// same time.
  explicit FactWriter(
      std::function<AppendState(const std::vector<Event> &)> Append)
      : Append(std::move(Append)) {}

  /// Returns how the append of the group with \p Fact ended. Blocks meanwhile.
  AppendState write(const Event &Fact);

private:
  using Group = std::uint64_t;

  void appendGroup(std::unique_lock<std::mutex> &Guard);

  const std::function<AppendState(const std::vector<Event> &)> Append;
  std::mutex Lock;
  std::condition_variable Ended;
  std::vector<Event> Gathered;
  Group Gathering = 1; ///< The group that new facts join.
  Group Done = 0;      ///< The last group whose append has ended.
  bool Appending = false;
  /// The end of each group that callers still wait for.
  struct GroupEnd {
    AppendState State = AppendState::Unknown;
    std::size_t Waiting = 0;
  };
  std::map<Group, GroupEnd> Ends;
};

} // namespace pistachioflow
