#include "pistachioflow/platform_standin/fault_proxy.hpp"

#include <string>
#include <utility>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/net/http_client.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t ChunkBytes = 16U << 10U;
/// How often a blocked direction checks whether it may forward again.
constexpr Duration BlockedPollInterval{20};

} // namespace

struct FaultProxy::SocketPair {
  explicit SocketPair(asio::io_context &Io)
      : ClientSocket(Io), TargetSocket(Io) {}

  void close() {
    asio::error_code Ignored;
    this->ClientSocket.close(Ignored);
    this->TargetSocket.close(Ignored);
  }

  void reset() {
    asio::error_code Ignored;
    this->ClientSocket.set_option(asio::socket_base::linger(true, 0), Ignored);
    this->close();
  }

  asio::ip::tcp::socket ClientSocket;
  asio::ip::tcp::socket TargetSocket;
};

FaultProxy::FaultProxy(asio::io_context &Io) : Io(Io), Acceptor(Io) {}

FaultProxy::~FaultProxy() = default;

bool FaultProxy::listen(unsigned short TargetPort) {
  this->TargetPort = TargetPort;
  asio::error_code Failure;
  const asio::ip::tcp::endpoint Local = parseEndpoint("127.0.0.1:0");
  this->Acceptor.open(Local.protocol(), Failure);
  if (!Failure)
    this->Acceptor.bind(Local, Failure);
  if (!Failure)
    this->Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return false;
  spawnCoroutine(this->Io, "proxy_accept", this->acceptLoop());
  return true;
}

unsigned short FaultProxy::port() const {
  return this->Acceptor.local_endpoint().port();
}

void FaultProxy::setFault(PathFault NewValue) { this->Fault = NewValue; }

void FaultProxy::resetAll() {
  for (const auto &Sockets : this->OpenPairs)
    Sockets->reset();
}

bool FaultProxy::isBlocked(bool FromTarget) const {
  return this->Fault == PathFault::Blocked ||
         (FromTarget && this->Fault == PathFault::ResponsesBlocked);
}

asio::awaitable<void> FaultProxy::acceptLoop() {
  while (true) {
    auto Sockets = std::make_shared<SocketPair>(this->Io);
    asio::error_code Failure;
    co_await this->Acceptor.async_accept(
        Sockets->ClientSocket,
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      co_return;
    if (this->Fault == PathFault::Refusing) {
      Sockets->reset();
      continue;
    }
    spawnCoroutine(this->Io, "proxy_open",
                   this->connectPair(std::move(Sockets)));
  }
}

asio::awaitable<void>
FaultProxy::connectPair(std::shared_ptr<SocketPair> Sockets) {
  asio::error_code Failure;
  const asio::ip::tcp::endpoint Target(parseEndpoint("127.0.0.1:0").address(),
                                       this->TargetPort);
  co_await Sockets->TargetSocket.async_connect(
      Target, asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure) {
    Sockets->reset();
    co_return;
  }
  Sockets->ClientSocket.set_option(asio::ip::tcp::no_delay(true), Failure);
  Sockets->TargetSocket.set_option(asio::ip::tcp::no_delay(true), Failure);
  this->OpenPairs.insert(Sockets);
  spawnCoroutine(this->Io, "proxy_forward", this->forward(Sockets, false));
  co_await this->forward(Sockets, true);
  this->OpenPairs.erase(Sockets);
}

asio::awaitable<void> FaultProxy::forward(std::shared_ptr<SocketPair> Sockets,
                                          bool FromTarget) {
  asio::ip::tcp::socket &Source =
      FromTarget ? Sockets->TargetSocket : Sockets->ClientSocket;
  asio::ip::tcp::socket &Destination =
      FromTarget ? Sockets->ClientSocket : Sockets->TargetSocket;
  std::string Chunk(ChunkBytes, '\0');
  asio::error_code Failure;
  while (!Failure) {
    const std::size_t Size = co_await Source.async_read_some(
        asio::buffer(Chunk),
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      break;
    while (this->isBlocked(FromTarget) && Destination.is_open())
      co_await pauseFor(this->Io, BlockedPollInterval);
    if (this->Delay.Ms > 0)
      co_await pauseFor(this->Io, this->Delay);
    co_await asio::async_write(
        Destination, asio::buffer(Chunk.data(), Size),
        asio::redirect_error(asio::use_awaitable, Failure));
  }
  Sockets->close();
}

} // namespace pistachioflow
