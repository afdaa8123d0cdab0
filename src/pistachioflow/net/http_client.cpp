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

/// Fits a page of the store: at most 1 MB of values, which base64 and JSON
/// encoding enlarge less than twofold.
constexpr std::size_t MaxResponseBytes = 4U << 20U;
constexpr std::size_t MaxHeaderBytes = 16U << 10U;
/// Idle connections kept per peer; more are needed only in short bursts.
constexpr std::size_t MaxIdleConnections = 4;
constexpr std::size_t ReadChunkBytes = 8U << 10U;

} // namespace

struct HttpClient::Connection {
  Connection(asio::io_context &Io, std::shared_ptr<MemoryBudget> Budget)
      : Socket(Io), TimeoutTimer(Io),
        Parser(HTTP_RESPONSE, MaxResponseBytes, MaxHeaderBytes),
        Memory(std::move(Budget), [this] {
          asio::error_code Ignored;
          this->Socket.close(Ignored);
        }) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer TimeoutTimer;
  MessageParser Parser;
  MemoryBudget::Share Memory;
};

HttpClient::HttpClient(asio::io_context &Io,
                       const asio::ip::tcp::endpoint &Peer,
                       std::shared_ptr<MemoryBudget> Shared)
    : Io(Io), Peer(Peer),
      PeerName(Peer.address().to_string() + ":" + std::to_string(Peer.port())),
      Budget(Shared ? std::move(Shared) : std::make_shared<MemoryBudget>()) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdle() {
  while (!this->IdleConnections.empty()) {
    auto Channel = std::move(this->IdleConnections.back());
    this->IdleConnections.pop_back();
    char Byte = 0;
    const auto Received = ::recv(Channel->Socket.native_handle(), &Byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    const bool StillOpen =
        Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (StillOpen)
      return Channel;
  }
  return nullptr;
}

asio::awaitable<bool> HttpClient::exchange(Connection &Channel,
                                           const std::string &Text,
                                           HttpResponse &Response) {
  asio::error_code Failure;
  co_await asio::async_write(
      Channel.Socket, asio::buffer(Text),
      asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure)
    co_return false;
  Channel.Parser.reset();
  std::string Chunk(ReadChunkBytes, '\0');
  while (true) {
    const std::size_t Size = co_await Channel.Socket.async_read_some(
        asio::buffer(Chunk),
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      co_return false;
    std::size_t Consumed = 0;
    const auto State =
        Channel.Parser.feed(std::string_view(Chunk.data(), Size), Consumed);
    Channel.Memory.hold(Channel.Parser.heldBytes());
    if (State == MessageParser::State::Complete) {
      Response = Channel.Parser.releaseResponse();
      Channel.Memory.hold(0);
      Channel.Memory.finishCall();
      co_return true;
    }
    if (State != MessageParser::State::NeedsMore)
      co_return false;
  }
}

asio::awaitable<CallResult> HttpClient::call(HttpRequest Request,
                                             Duration Timeout) {
  CallResult Result;
  std::shared_ptr<Connection> Channel = this->takeIdle();
  const bool NewConnection = !Channel;
  if (NewConnection)
    Channel = std::make_shared<Connection>(this->Io, this->Budget);
  Channel->TimeoutTimer.expires_after(std::chrono::milliseconds(Timeout.Ms));
  Channel->TimeoutTimer.async_wait([Channel](asio::error_code Cancelled) {
    asio::error_code Ignored;
    if (!Cancelled)
      Channel->Socket.close(Ignored);
  });
  asio::error_code Failure;
  if (NewConnection)
    co_await Channel->Socket.async_connect(
        this->Peer, asio::redirect_error(asio::use_awaitable, Failure));
  if (!Failure && Channel->Socket.is_open()) {
    asio::error_code Ignored;
    Channel->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    const std::string Text = formatRequest(Request, this->PeerName);
    const bool Answered =
        co_await this->exchange(*Channel, Text, Result.Response);
    Result.Outcome = Answered ? CallOutcome::Answered : CallOutcome::NoAnswer;
  }
  const bool StillRunning = Channel->TimeoutTimer.cancel() > 0;
  const bool Reusable = StillRunning && Channel->Socket.is_open() &&
                        Result.Outcome == CallOutcome::Answered &&
                        Channel->Parser.keepAlive();
  if (Reusable && this->IdleConnections.size() < MaxIdleConnections)
    this->IdleConnections.push_back(std::move(Channel));
  co_return Result;
}

asio::ip::tcp::endpoint parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return {};
  const std::string_view Host = Text.substr(0, Colon);
  // The library reads up to a zero byte only.
  if (Host.find_first_not_of("0123456789.") != std::string_view::npos)
    return {};
  asio::error_code Failure;
  const auto Address = asio::ip::make_address_v4(std::string(Host), Failure);
  const std::string_view Digits = Text.substr(Colon + 1);
  const char *End = Digits.data() + Digits.size();
  unsigned short Port = 0;
  const auto Parsed = std::from_chars(Digits.data(), End, Port);
  if (Failure || Parsed.ec != std::errc() || Parsed.ptr != End)
    return {};
  return {Address, Port};
}

} // namespace pistachioflow
