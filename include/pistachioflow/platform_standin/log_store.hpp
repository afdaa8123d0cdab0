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

/// In-memory stand-in for the platform's store: keyed topics with one
/// partition each.
///
/// Thread safety: none.
class LogStore {
public:
  struct StoredRecord {
    JournalRecord Record;
    std::int64_t Offset = 0;
  };

  /// Appends like the platform's store: checks the producer's epoch and
  /// sequence number, then the expected end. Repeating one of the producer's
  /// last appends returns its first answer and changes nothing.
  AppendAnswer append(const std::string &Topic,
                      std::span<const JournalRecord> Records,
                      const Producer &Writer,
                      std::optional<std::int64_t> ExpectedEnd);

  /// Writes one record without a producer, like operators and workers.
  void put(const std::string &Topic, JournalRecord Record);

  std::int64_t endOffset(const std::string &Topic) const;
  std::int64_t firstOffset(const std::string &Topic) const;

  /// Returns the records from \p From on. Precondition: \p From is not below
  /// firstOffset().
  std::vector<JournalRecord> read(const std::string &Topic,
                                  std::int64_t From) const;

  /// Returns the newest record of each key that sorts after \p After, at most
  /// \p Limit of them.
  std::vector<StoredRecord> newest(const std::string &Topic,
                                   std::string_view After,
                                   std::size_t Limit) const;

  /// Drops every record but the newest of each key.
  void compact(const std::string &Topic);

private:
  struct ProducerState {
    std::int64_t Epoch = 0;
    std::int64_t Sequence = 0;
    std::deque<std::pair<std::int64_t, AppendAnswer>> RecentAnswers;
  };
  struct Topic {
    std::int64_t First = 0;
    std::deque<JournalRecord> Records;
    std::map<std::string, StoredRecord, std::less<>> Newest;
    std::map<std::string, ProducerState> Producers;
  };

  static void add(Topic &Destination, JournalRecord Record);
  const Topic *findTopic(const std::string &Name) const;

  std::map<std::string, Topic> Topics;
};

} // namespace pistachioflow
