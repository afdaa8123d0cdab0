#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/platform/store_client.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// The stand-in's store: keyed topics of one partition, in memory.
///
/// Thread safety: none.
class LogStore {
public:
  struct Stored {
    JournalRecord Record;
    std::int64_t Offset = 0;
  };

  /// Appends as the platform's store does: conditions first, then fencing and
  /// numbering of the producer. A repeated append changes nothing.
  AppendAnswer append(const std::string &Topic,
                      std::span<const JournalRecord> Records,
                      const Producer &Writer,
                      std::optional<std::int64_t> ExpectedEnd);

  /// Writes one record without a producer, as operators and workers do.
  void put(const std::string &Topic, JournalRecord Record);

  std::int64_t end(const std::string &Topic) const;
  std::int64_t first(const std::string &Topic) const;

  /// Records from \p From on. Precondition: \p From is not below first().
  std::vector<JournalRecord> read(const std::string &Topic,
                                  std::int64_t From) const;

  /// The newest record of each key behind \p After, at most \p Limit.
  std::vector<Stored> newest(const std::string &Topic, std::string_view After,
                             std::size_t Limit) const;

  /// Drops every record but the newest of each key.
  void forgetHistory(const std::string &Topic);

private:
  struct ProducerState {
    std::int64_t Epoch = 0;
    std::int64_t Sequence = 0;
    std::deque<std::pair<std::int64_t, AppendAnswer>> Recent;
  };
  struct Topic {
    std::int64_t First = 0;
    std::deque<JournalRecord> Records;
    std::map<std::string, Stored, std::less<>> Newest;
    std::map<std::string, ProducerState> Producers;
  };

  static void add(Topic &To, JournalRecord Record);
  const Topic *find(const std::string &Name) const;

  std::map<std::string, Topic> Topics;
};

} // namespace pistachioflow
