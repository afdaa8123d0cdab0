#include "pistachioflow/base/log.hpp"

#include <atomic>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <poll.h>
#include <unistd.h>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/log_limit.hpp"

namespace pistachioflow {

namespace {

namespace logging = boost::log;

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" =\"\n\t\\") != std::string_view::npos;
}

void appendEscaped(std::string &Line, std::string_view Value) {
  for (const char Character : Value) {
    if (Character == '\n') {
      Line += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Line += '\\';
    Line += Character;
  }
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  appendEscaped(Line, Value);
  Line += '"';
}

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "invalid";
}

std::atomic<std::uint64_t> DroppedLines{0};

/// Writes lines to standard output without blocking; drops those that don't
/// fit.
class BoundedOutput
    : public logging::sinks::basic_formatted_sink_backend<char> {
public:
  void consume(const logging::record_view &, const string_type &Text) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    // A pipe that is ready for writing accepts at least PIPE_BUF bytes, which
    // is longer than any line.
    const bool Writable =
        ::poll(&Output, 1, 0) > 0 && (Output.revents & POLLOUT) != 0;
    if (!Writable ||
        ::write(STDOUT_FILENO, (Text + "\n").data(), Text.size() + 1) < 0)
      ++DroppedLines;
  }
};

/// The limit that startBoundedLogging() sets; there is none before.
struct EventLimiter {
  std::mutex Lock;
  std::unique_ptr<LogLimit> Limit;
  std::uint64_t ReportedDropped = 0;
};

EventLimiter &eventLimiter() {
  static EventLimiter Instance;
  return Instance;
}

using Logger = logging::sources::severity_logger_mt<LogLevel>;

Logger &logger() {
  static Logger Instance;
  return Instance;
}

auto lineFormat(std::string_view InstanceName) {
  return logging::expressions::stream
         << "time="
         << logging::expressions::format_date_time<boost::posix_time::ptime>(
                "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
         << " instance=" << std::string(InstanceName) << " "
         << logging::expressions::smessage;
}

void setLowestLevel(LogLevel Lowest) {
  logging::core::get()->set_filter(
      logging::expressions::attr<LogLevel>("Severity") >= Lowest);
}

void writeCount(std::string_view Event, std::string_view Subject,
                std::uint64_t Count) {
  BOOST_LOG_SEV(logger(), LogLevel::Warning)
      << "level=" << levelName(LogLevel::Warning) << ' '
      << formatFields(Event, {{"of", Subject},
                              {"count", static_cast<std::int64_t>(Count)}});
}

/// Applies the limit, and logs how many lines were suppressed or dropped since
/// the last report.
bool admitted(std::string_view Event) {
  EventLimiter &Limiter = eventLimiter();
  const std::lock_guard Guard(Limiter.Lock);
  if (!Limiter.Limit)
    return true;
  if (!Limiter.Limit->admit(Event, SystemClock().monotonic()))
    return false;
  const std::int64_t Suppressed = Limiter.Limit->takeSuppressed(Event);
  if (Suppressed > 0)
    writeCount("log_suppressed", Event, static_cast<std::uint64_t>(Suppressed));
  const std::uint64_t TotalDropped = DroppedLines.load();
  if (TotalDropped > Limiter.ReportedDropped) {
    writeCount("log_dropped", "lines", TotalDropped - Limiter.ReportedDropped);
    Limiter.ReportedDropped = TotalDropped;
  }
  return true;
}

} // namespace

void startLogging(std::string_view InstanceName, LogLevel Lowest) {
  logging::add_common_attributes();
  logging::add_console_log(std::clog,
                           logging::keywords::format = lineFormat(InstanceName),
                           logging::keywords::auto_flush = true);
  setLowestLevel(Lowest);
}

void startBoundedLogging(std::string_view InstanceName, LogLevel Lowest,
                         std::int64_t LinesPerSecond) {
  logging::add_common_attributes();
  using Sink = logging::sinks::synchronous_sink<BoundedOutput>;
  auto Output = boost::make_shared<Sink>();
  Output->set_formatter(lineFormat(InstanceName));
  logging::core::get()->add_sink(Output);
  setLowestLevel(Lowest);
  eventLimiter().Limit = std::make_unique<LogLimit>(LinesPerSecond);
}

std::uint64_t droppedLogLines() { return DroppedLines.load(); }

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (!admitted(Event))
    return;
  BOOST_LOG_SEV(logger(), Level)
      << "level=" << levelName(Level) << ' ' << formatFields(Event, Fields);
}

std::string formatFields(std::string_view Event,
                         std::initializer_list<LogField> Fields) {
  std::string Line = "event=";
  appendValue(Line, Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    appendValue(Line, Field.Value);
  }
  return Line;
}

} // namespace pistachioflow
