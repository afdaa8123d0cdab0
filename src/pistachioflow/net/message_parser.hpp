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
  enum class State {
    NeedsMore,
    Complete,
    HeadTooLarge,
    BodyTooLarge, ///< Received or announced.
    Malformed,
  };

  /// \p BodyLimit and \p HeaderLimit are in bytes. The header limit also covers
  /// the target and the separators, trailers, and separately what comes before
  /// the message. Trailers are dropped.
  MessageParser(http_parser_type Kind, std::size_t BodyLimit,
                std::size_t HeaderLimit);

  /// Parses \p Bytes up to the end of the message. Adds the number of parsed
  /// bytes to \p Consumed; the rest belongs to the next message.
  State feed(std::string_view Bytes, std::size_t &Consumed);

  /// Prepares for the next message of the same connection.
  void reset();

  /// Returns about how many bytes of memory the message takes.
  std::size_t heldBytes() const;

  /// Returns whether any byte of the current message was fed.
  bool started() const { return this->Started; }
  bool keepAlive() const { return this->KeepAlive; }

  /// Moves the parsed request out. Precondition: feed() returned Complete.
  HttpRequest releaseRequest();
  /// Moves the parsed response out. Precondition: as releaseRequest().
  HttpResponse releaseResponse();

private:
  static const http_parser_settings &callbacks();
  bool addHeaderBytes(std::size_t Size);

  http_parser Parser{};
  http_parser_type Kind;
  std::size_t BodyLimit;
  std::size_t HeaderLimit;
  std::size_t HeaderBytes = 0;
  std::size_t LeadingBytes = 0; ///< Before the message: empty lines.
  std::string Target;
  std::string Body;
  std::vector<HttpHeader> Headers;
  bool LastPartWasValue = true;
  bool Started = false;
  bool Complete = false;
  bool Begun = false;        ///< Its first line has begun.
  bool HeadComplete = false; ///< Header fields that follow are trailers.
  bool BodyTooLarge = false;
  bool KeepAlive = false;
};

} // namespace pistachioflow
