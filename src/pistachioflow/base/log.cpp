#include "pistachioflow/base/log.hpp"

#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace pistachioflow {

namespace {

namespace logging = boost::log;

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" =\"\n\t\\") != std::string_view::npos;
}

void appendEscaped(std::string &Line, std::string_view Value) {
  for (const char Letter : Value) {
    if (Letter == '\n') {
      Line += "\\n";
      continue;
    }
    if (Letter == '"' || Letter == '\\')
      Line += '\\';
    Line += Letter;
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

using Logger = logging::sources::severity_logger_mt<LogLevel>;

Logger &logger() {
  static Logger Instance;
  return Instance;
}

} // namespace

void startLogging(std::string_view InstanceName, LogLevel Lowest) {
  logging::add_common_attributes();
  logging::add_console_log(
      std::clog,
      logging::keywords::format =
          (logging::expressions::stream
           << "time="
           << logging::expressions::format_date_time<boost::posix_time::ptime>(
                  "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
           << " instance=" << std::string(InstanceName) << " "
           << logging::expressions::smessage),
      logging::keywords::auto_flush = true);
  logging::core::get()->set_filter(
      logging::expressions::attr<LogLevel>("Severity") >= Lowest);
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
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
