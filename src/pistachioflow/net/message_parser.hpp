#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "pistachioflow/net/http_message.hpp"

namespace pistachioflow {

/// Parses one HTTP message at a time from the bytes of a connection.
/// Not thread-safe.
class MessageParser {
public:
  /// What feed() found.
  enum class State { NeedsMore, Complete, TooLarge, Malformed };

  /// \p BodyLimit and \p HeaderLimit are in bytes.
  MessageParser(http_parser_type Kind, std::size_t BodyLimit,
                std::size_t HeaderLimit);

  /// Parses \p Bytes up to the end of the message. Adds to \p Consumed how many
  /// were used; the rest belongs to the next message.
  State feed(std::string_view Bytes, std::size_t &Consumed);

  /// Prepares for the next message of the same connection.
  void reset();

  /// Whether any byte of the current message has been read.
  bool started() const { return this->Started; }
  bool keepAlive() const { return this->KeepAlive; }

  /// Moves the parsed request out. Precondition: feed() returned Complete.
  HttpRequest releaseRequest();
  /// Moves the parsed response out. Precondition: as takeRequest().
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
