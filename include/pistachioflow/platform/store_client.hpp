#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <asio/awaitable.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/sched/records.hpp"

namespace pistachioflow {

/// Topics of the store.
inline constexpr std::string_view OperatorTopic = "keyed.op";
inline constexpr std::string_view WorkerTopic = "keyed.servers";
inline constexpr std::string_view JournalTopic = "keyed.pistachioflow";
/// Key of the configuration in OperatorTopic.
inline constexpr std::string_view DesiredStateKey = "config";
/// Prefix of the keys in OperatorTopic that evacuate a failure domain.
inline constexpr std::string_view EvacuationKeyPrefix = "evacuate/";

/// Identifies an append, so that repeating it is idempotent and a producer with
/// an older epoch is fenced.
struct Producer {
  std::string Id;
  std::int64_t Epoch = 0;
  std::int64_t Sequence = 0;
};

enum class AppendOutcome {
  Appended,
  Fenced,         ///< A newer epoch of this producer exists.
  WrongSequence,  ///< Not the next sequence number.
  OffsetMismatch, ///< The topic does not end at the expected offset.
  Refused,        ///< Nothing was appended.
  Unknown,        ///< No answer: may be appended, even later.
};

/// Returns the name used in logs; OffsetMismatch is written "moved".
std::string_view toString(AppendOutcome Outcome);

struct AppendAnswer {
  AppendOutcome Outcome = AppendOutcome::Unknown;
  std::int64_t EndOffset = 0;
  std::int64_t ExpectedSequence = 0; ///< Set with WrongSequence, or 0.
};

enum class ReadOutcome {
  Read,
  Expired, ///< The records were compacted away; use newest().
  Refused,
  Unreachable,
};

/// Records read from an offset on. Their offsets are consecutive.
struct ReadAnswer {
  ReadOutcome Outcome = ReadOutcome::Unreachable;
  std::int64_t EndOffset = 0;
  std::vector<JournalRecord> Records;
};

/// One page of the newest record of each key. Bytes of a key that the store
/// can't write as text read as U+FFFD.
struct NewestPage {
  ReadOutcome Outcome = ReadOutcome::Unreachable;
  std::vector<JournalRecord> Records;
  std::string LastKey; ///< Also of a record without a value; pages go on here.
  std::int64_t HighestOffset = -1; ///< Among the records of this page.
  std::int64_t EndOffset = 0;
  bool HasMore = false;
};

/// Client of the platform's store. Thread safety: as HttpClient.
class StoreClient {
public:
  /// \p Budget as for HttpClient.
  StoreClient(asio::io_context &Io, std::string_view Address,
              std::shared_ptr<MemoryBudget> Budget = nullptr);

  /// Appends \p Records to \p Topic atomically. With \p ExpectedEnd, only if
  /// the topic ends at that offset.
  asio::awaitable<AppendAnswer> append(std::string Topic,
                                       std::span<const JournalRecord> Records,
                                       Producer Writer,
                                       std::optional<std::int64_t> ExpectedEnd,
                                       Duration Timeout);

  /// Reads records from offset \p From on. The store waits up to \p Wait for
  /// one. Precondition: \p Timeout is longer than \p Wait.
  asio::awaitable<ReadAnswer> read(std::string Topic, std::int64_t From,
                                   Duration Wait, Duration Timeout);

  /// Reads a page of the newest record of each key that sorts after
  /// \p AfterKey. A topic that does not exist reads as empty.
  asio::awaitable<NewestPage> newest(std::string Topic, std::string AfterKey,
                                     Duration Timeout);

private:
  HttpClient Http;
};

/// Encodes records in the store's format.
std::string encodeRecords(std::span<const JournalRecord> Records);

/// Decodes records in the store's format. Sets \p Malformed and drops the rest
/// if the bytes end within a record.
std::vector<JournalRecord> decodeRecords(std::string_view Bytes,
                                         bool &Malformed);

} // namespace pistachioflow
