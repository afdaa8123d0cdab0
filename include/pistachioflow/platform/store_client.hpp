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

/// Names the writer of an append, so that it can be repeated and fenced.
struct Producer {
  std::string Id;
  std::int64_t Epoch = 0;
  std::int64_t Sequence = 0;
};

enum class AppendOutcome {
  Appended,
  Fenced,         ///< A newer epoch of this producer exists.
  WrongSequence,  ///< Not the next append of this producer.
  OffsetMismatch, ///< The topic does not end at the expected offset.
  Refused,        ///< Surely nothing was done.
  Unknown,        ///< No answer: may be done, also later.
};

/// Returns the name used in logs.
std::string_view toString(AppendOutcome Outcome);

struct AppendAnswer {
  AppendOutcome Outcome = AppendOutcome::Unknown;
  std::int64_t EndOffset = 0;
  std::int64_t ExpectedSequence = 0; ///< Set with WrongSequence, if said.
};

enum class ReadOutcome {
  Read,
  Expired, ///< The records asked for are gone; read the newest of each key.
  Refused,
  Unreachable,
};

/// Records from an offset on. Offsets of consecutive records are consecutive.
struct ReadAnswer {
  ReadOutcome Outcome = ReadOutcome::Unreachable;
  std::int64_t EndOffset = 0;
  std::vector<JournalRecord> Records;
};

/// One page of the newest record of each key.
struct NewestPage {
  ReadOutcome Outcome = ReadOutcome::Unreachable;
  std::vector<JournalRecord> Records;
  std::int64_t HighestOffset = -1; ///< Of the records of this page.
  std::int64_t EndOffset = 0;
  bool HasMore = false;
};

/// The one client of the platform's store. Thread safety: as HttpClient.
class StoreClient {
public:
  StoreClient(asio::io_context &Io, std::string_view Address);

  /// Appends \p Records to \p Topic, all or none. With \p ExpectedEnd, only if
  /// the topic ends there.
  asio::awaitable<AppendAnswer> append(std::string Topic,
                                       std::span<const JournalRecord> Records,
                                       Producer Writer,
                                       std::optional<std::int64_t> ExpectedEnd,
                                       Duration Timeout);

  /// Reads from \p From on, waiting up to \p Wait for a record.
  asio::awaitable<ReadAnswer> read(std::string Topic, std::int64_t From,
                                   Duration Wait, Duration Timeout);

  /// Reads a page of the newest record of each key after \p AfterKey.
  asio::awaitable<NewestPage> newest(std::string Topic, std::string AfterKey,
                                     Duration Timeout);

private:
  HttpClient Http;
};

/// Encodes records as the store takes them.
std::string encodeRecords(std::span<const JournalRecord> Records);

/// Decodes the store's records; what follows a malformed one is dropped and
/// \p Malformed set.
std::vector<JournalRecord> decodeRecords(std::string_view Bytes,
                                         bool &Malformed);

} // namespace pistachioflow
