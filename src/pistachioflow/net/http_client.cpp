#include "pistachioflow/net/http_client.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <utility>

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <sys/socket.h>

#include "message_parser.hpp"

namespace pistachioflow {

namespace {

/// Largest response accepted, in bytes: a page of the store is at most 1 MB of
/// values, which base64 and JSON enlarge by less than two.
constexpr std::size_t ResponseLimit = 4U << 20U;
constexpr std::size_t HeaderLimit = 16U << 10U;
/// Idle connections kept to one peer; more are needed only in short bursts.
constexpr std::size_t KeptIdle = 4;
constexpr std::size_t ReadChunk = 8U << 10U;

} // namespace

struct HttpClient::Connection {
  explicit Connection(asio::io_context &Io)
      : Socket(Io), Watchdog(Io),
        Parser(HTTP_RESPONSE, ResponseLimit, HeaderLimit) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Watchdog;
  MessageParser Parser;
};

HttpClient::HttpClient(asio::io_context &Io,
                       const asio::ip::tcp::endpoint &Peer)
    : Io(Io), Peer(Peer),
      PeerName(Peer.address().to_string() + ":" + std::to_string(Peer.port())) {
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdle() {
  while (!this->IdleConnections.empty()) {
    auto Line = std::move(this->IdleConnections.back());
    this->IdleConnections.pop_back();
    char Byte = 0;
    const auto Seen =
        ::recv(Line->Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool StillOpen =
        Seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (StillOpen)
      return Line;
  }
  return nullptr;
}

asio::awaitable<bool> HttpClient::exchange(Connection &Line,
                                           const std::string &Text,
                                           HttpResponse &Response) {
  asio::error_code Failure;
  co_await asio::async_write(
      Line.Socket, asio::buffer(Text),
      asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure)
    co_return false;
  Line.Parser.reset();
  std::string Chunk(ReadChunk, '\0');
  while (true) {
    const std::size_t Size = co_await Line.Socket.async_read_some(
        asio::buffer(Chunk),
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      co_return false;
    std::size_t Consumed = 0;
    const auto State =
        Line.Parser.feed(std::string_view(Chunk.data(), Size), Consumed);
    if (State == MessageParser::State::Complete) {
      Response = Line.Parser.releaseResponse();
      co_return true;
    }
    if (State != MessageParser::State::NeedsMore)
      co_return false;
  }
}

asio::awaitable<CallResult> HttpClient::call(HttpRequest Request,
                                             Duration Timeout) {
  CallResult Result;
  std::shared_ptr<Connection> Line = this->takeIdle();
  const bool Fresh = !Line;
  if (Fresh)
    Line = std::make_shared<Connection>(this->Io);
  Line->Watchdog.expires_after(std::chrono::milliseconds(Timeout.Ms));
  Line->Watchdog.async_wait([Line](asio::error_code Cancelled) {
    asio::error_code Ignored;
    if (!Cancelled)
      Line->Socket.close(Ignored);
  });
  asio::error_code Failure;
  if (Fresh)
    co_await Line->Socket.async_connect(
        this->Peer, asio::redirect_error(asio::use_awaitable, Failure));
  if (!Failure && Line->Socket.is_open()) {
    asio::error_code Ignored;
    Line->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    const std::string Text = formatRequest(Request, this->PeerName);
    const bool Read = co_await this->exchange(*Line, Text, Result.Response);
    Result.Outcome = Read ? CallOutcome::Answered : CallOutcome::NoAnswer;
  }
  const bool StillRunning = Line->Watchdog.cancel() > 0;
  const bool Reusable = StillRunning && Line->Socket.is_open() &&
                        Result.Outcome == CallOutcome::Answered &&
                        Line->Parser.keepAlive();
  if (Reusable && this->IdleConnections.size() < KeptIdle)
    this->IdleConnections.push_back(std::move(Line));
  co_return Result;
}

asio::ip::tcp::endpoint parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return {};
  asio::error_code Failure;
  const auto Address =
      asio::ip::make_address(std::string(Text.substr(0, Colon)), Failure);
  unsigned short Port = 0;
  const auto Digits = Text.substr(Colon + 1);
  const auto Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Failure || Read.ec != std::errc())
    return {};
  return {Address, Port};
}

} // namespace pistachioflow
