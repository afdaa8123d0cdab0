#include "pistachioflow/net/message_parser.hpp"

#include <limits>
#include <utility>

namespace pistachioflow {

namespace {

/// The separators of a header line: a colon and the end of the line.
constexpr std::size_t HeaderSeparatorBytes = 3;

} // namespace

MessageParser::MessageParser(http_parser_type Kind, std::size_t BodyLimit,
                             std::size_t HeaderLimit)
    : Kind(Kind), BodyLimit(BodyLimit), HeaderLimit(HeaderLimit) {
  this->reset();
}

void MessageParser::reset() {
  http_parser_init(&this->Parser, this->Kind);
  this->Parser.data = this;
  this->HeaderBytes = 0;
  this->LeadingBytes = 0;
  this->Target.clear();
  this->Body.clear();
  this->Headers.clear();
  this->LastPartWasValue = true;
  this->Started = false;
  this->Complete = false;
  this->Begun = false;
  this->HeadComplete = false;
  this->BodyTooLarge = false;
}

/// Counts bytes of the head or the trailers. Returns whether they are within
/// the limit.
bool MessageParser::addHeaderBytes(std::size_t Size) {
  this->HeaderBytes += Size;
  return this->HeaderBytes <= this->HeaderLimit;
}

std::size_t MessageParser::heldBytes() const {
  return this->Target.capacity() + this->Body.capacity() +
         this->Headers.capacity() * sizeof(HttpHeader) + this->HeaderBytes;
}

const http_parser_settings &MessageParser::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_url = [](http_parser *P, const char *Data, std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.Target.append(Data, Size);
      return Self.addHeaderBytes(Size) ? 0 : 1;
    };
    Settings.on_header_field = [](http_parser *P, const char *Data,
                                  std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      const bool NewField = std::exchange(Self.LastPartWasValue, false);
      if (!Self.addHeaderBytes(Size + (NewField ? HeaderSeparatorBytes : 0)))
        return 1;
      if (Self.HeadComplete)
        return 0;
      if (NewField)
        Self.Headers.emplace_back();
      Self.Headers.back().Name.append(Data, Size);
      return 0;
    };
    Settings.on_header_value = [](http_parser *P, const char *Data,
                                  std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.LastPartWasValue = true;
      if (!Self.addHeaderBytes(Size))
        return 1;
      if (!Self.HeadComplete)
        Self.Headers.back().Value.append(Data, Size);
      return 0;
    };
    Settings.on_message_begin = [](http_parser *P) {
      static_cast<MessageParser *>(P->data)->Begun = true;
      return 0;
    };
    Settings.on_headers_complete = [](http_parser *P) {
      constexpr int Abort = -1;
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.HeadComplete = true;
      // Without the field, the length reads as the highest number.
      constexpr auto NotAnnounced =
          std::numeric_limits<decltype(P->content_length)>::max();
      Self.BodyTooLarge = P->content_length != NotAnnounced &&
                          P->content_length > Self.BodyLimit;
      return Self.BodyTooLarge ? Abort : 0;
    };
    Settings.on_body = [](http_parser *P, const char *Data, std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.BodyTooLarge = Self.Body.size() + Size > Self.BodyLimit;
      if (Self.BodyTooLarge)
        return 1;
      Self.Body.append(Data, Size);
      return 0;
    };
    Settings.on_message_complete = [](http_parser *P) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.Complete = true;
      Self.KeepAlive = http_should_keep_alive(P) != 0;
      http_parser_pause(P, 1);
      return 0;
    };
    return Settings;
  }();
  return Table;
}

MessageParser::State MessageParser::feed(std::string_view Bytes,
                                         std::size_t &Consumed) {
  this->Started = this->Started || !Bytes.empty();
  const std::size_t ParsedBytes = http_parser_execute(
      &this->Parser, &callbacks(), Bytes.data(), Bytes.size());
  Consumed += ParsedBytes;
  if (this->Complete)
    return State::Complete;
  if (!this->Begun)
    this->LeadingBytes += ParsedBytes;
  if (this->HeaderBytes > this->HeaderLimit ||
      this->LeadingBytes > this->HeaderLimit)
    return State::HeadTooLarge;
  if (this->BodyTooLarge)
    return State::BodyTooLarge;
  if (HTTP_PARSER_ERRNO(&this->Parser) != HPE_OK)
    return State::Malformed;
  return State::NeedsMore;
}

HttpRequest MessageParser::releaseRequest() {
  const auto Method = static_cast<http_method>(this->Parser.method);
  return {http_method_str(Method), std::move(this->Target),
          std::move(this->Headers), std::move(this->Body)};
}

HttpResponse MessageParser::releaseResponse() {
  return {static_cast<int>(this->Parser.status_code), std::move(this->Headers),
          std::move(this->Body)};
}

} // namespace pistachioflow
