#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachioflow {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key and value of a log line.
struct LogField {
  LogField(std::string_view Name, std::string_view Text)
      : Key(Name), Value(Text) {}
  LogField(std::string_view Name, std::int64_t Number)
      : Key(Name), Value(std::to_string(Number)) {}

  std::string_view Key;
  std::string Value;
};

/// Writes log lines of level \p Lowest and above to standard error, each with
/// the instance's name. Call once, before other threads start.
void startLogging(std::string_view InstanceName, LogLevel Lowest);

/// Writes log lines of level \p Lowest and above to standard output without
/// ever blocking: a line that does not fit into the pipe is dropped, and lines
/// of one event beyond \p LinesPerSecond are suppressed. Both are counted, and
/// the counts are logged. Call once, before other threads start.
void startBoundedLogging(std::string_view InstanceName, LogLevel Lowest,
                         std::int64_t LinesPerSecond);

/// Returns how many lines were dropped since the start because standard output
/// was not ready.
/// Thread safety: may be called from any thread.
std::uint64_t droppedLogLines();

/// Writes one line of key=value pairs. Values are quoted where needed.
/// Thread safety: may be called from any thread.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Formats the key=value pairs of one line as logEvent() writes them.
std::string formatFields(std::string_view Event,
                         std::initializer_list<LogField> Fields);

} // namespace pistachioflow
