#include "pistachioflow/net/message_parser.hpp"

#include <utility>

namespace pistachioflow {

MessageParser::MessageParser(http_parser_type Kind, std::size_t BodyLimit,
                             std::size_t HeaderLimit)
    : Kind(Kind), BodyLimit(BodyLimit), HeaderLimit(HeaderLimit) {
  this->reset();
}

void MessageParser::reset() {
  http_parser_init(&this->Parser, this->Kind);
  this->Parser.data = this;
  this->HeaderBytes = 0;
  this->Target.clear();
  this->Body.clear();
  this->Headers.clear();
  this->LastPartWasValue = true;
  this->Started = false;
  this->Complete = false;
  this->TooLarge = false;
}

const http_parser_settings &MessageParser::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_url = [](http_parser *P, const char *Data, std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.Target.append(Data, Size);
      Self.HeaderBytes += Size;
      return Self.HeaderBytes > Self.HeaderLimit ? 1 : 0;
    };
    Settings.on_header_field = [](http_parser *P, const char *Data,
                                  std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      if (Self.LastPartWasValue)
        Self.Headers.emplace_back();
      Self.LastPartWasValue = false;
      Self.Headers.back().Name.append(Data, Size);
      Self.HeaderBytes += Size;
      return Self.HeaderBytes > Self.HeaderLimit ? 1 : 0;
    };
    Settings.on_header_value = [](http_parser *P, const char *Data,
                                  std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.LastPartWasValue = true;
      Self.Headers.back().Value.append(Data, Size);
      Self.HeaderBytes += Size;
      return Self.HeaderBytes > Self.HeaderLimit ? 1 : 0;
    };
    Settings.on_body = [](http_parser *P, const char *Data, std::size_t Size) {
      auto &Self = *static_cast<MessageParser *>(P->data);
      Self.TooLarge = Self.Body.size() + Size > Self.BodyLimit;
      if (Self.TooLarge)
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
  if (this->TooLarge || this->HeaderBytes > this->HeaderLimit)
    return State::TooLarge;
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
