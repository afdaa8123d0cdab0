#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

/// What happens to one call of a MemoryLog.
enum class LogFault {
  None,
  Down,       ///< Nothing happens; the caller gets Unavailable.
  LostAnswer, ///< The append takes effect; the caller gets UnknownOutcome.
};

/// An append-only log in memory, for tests and the stand-in.
///
/// Thread safety: every method may be called from any thread.
class MemoryLog final : public LogService {
public:
  Result<Offset> append(const StreamName &Stream,
                        std::string_view Bytes) override;
  Result<LogPage> read(const StreamName &Stream, Offset From,
                       std::size_t Limit) override;

  /// Calls \p Next before every append and read to choose its fault. It is
  /// called under the log's lock.
  void setFaults(std::function<LogFault()> Next);

  /// Drops the entries of \p Stream below \p First.
  void expireBelow(const StreamName &Stream, Offset First);

  /// Keeps at most \p Count entries of each stream. 0 keeps all.
  void setRetention(std::size_t Count);

private:
  struct Stream {
    Offset First = 0;
    std::deque<std::string> Entries;
  };

  LogFault nextFault();
  void trim(Stream &Kept) const;

  std::mutex Lock;
  std::map<StreamName, Stream> Streams;
  std::function<LogFault()> Faults;
  std::size_t Retention = 0;
};

} // namespace pistachioflow
