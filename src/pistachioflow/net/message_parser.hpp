#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "pistachioflow/net/http_message.hpp"

namespace pistachioflow {

/// Incremental HTTP/1.1 parser, for one message at a time.
///
/// Thread safety: none.
class MessageParser {
public:
  /// State of the current message.
  enum class State { NeedsMore, Complete, TooLarge, Malformed };

  /// \p BodyLimit and \p HeaderLimit are in bytes. The header limit also covers
  /// the target.
  MessageParser(http_parser_type Kind, std::size_t BodyLimit,
                std::size_t HeaderLimit);

  /// Parses \p Bytes up to the end of the message. Adds the number of parsed
  /// bytes to \p Consumed; the rest belongs to the next message.
  State feed(std::string_view Bytes, std::size_t &Consumed);

  /// Prepares for the next message of the same connection.
  void reset();

  /// Returns whether any byte of the current message was fed.
  bool started() const { return this->Started; }
  bool keepAlive() const { return this->KeepAlive; }

  /// Moves the parsed request out. Precondition: feed() returned Complete.
  HttpRequest releaseRequest();
  /// Moves the parsed response out. Precondition: as releaseRequest().
  HttpResponse releaseResponse();

private:
  static const http_parser_settings &callbacks();

  http_parser Parser{};
  http_parser_type Kind;
  std::size_t BodyLimit;
  std::size_t HeaderLimit;
  std::size_t HeaderBytes = 0;
  std::string Target;
  std::string Body;
  std::vector<HttpHeader> Headers;
  bool LastPartWasValue = true;
  bool Started = false;
  bool Complete = false;
  bool TooLarge = false;
  bool KeepAlive = false;
};

} // namespace pistachioflow
