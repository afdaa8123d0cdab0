#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"

namespace pistachioflow {

using Offset = std::uint64_t;

struct LogEntry {
  Offset At = 0;
  std::string Bytes;
};

struct LogPage {
  std::vector<LogEntry> Entries;
  Offset First = 0; ///< The first offset that the log still keeps.
  Offset Next = 0;  ///< The offset that the next append will get.
};

/// The platform's append-only log.
///
/// Thread safety: every method may be called from any thread. Calls block up to
/// the timeout that the implementation was given.
class LogService {
public:
  virtual ~LogService() = default;

  /// Appends one entry and returns its offset.
  /// Errors: Unavailable (surely not appended), UnknownOutcome (the answer was
  /// lost; the entry may be in the stream).
  virtual Result<Offset> append(const StreamName &Stream,
                                std::string_view Bytes) = 0;

  /// Reads at most \p Limit entries from \p From on. An empty page means that
  /// the reader has reached the end.
  /// Errors: Unavailable; Expired with FirstOffset set.
  virtual Result<LogPage> read(const StreamName &Stream, Offset From,
                               std::size_t Limit) = 0;
};

} // namespace pistachioflow
