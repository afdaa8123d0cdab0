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
constexpr Duration BlockedCheck{20};

} // namespace

struct FaultProxy::Pair {
  explicit Pair(asio::io_context &Io) : Near(Io), Far(Io) {}

  void close() {
    asio::error_code Ignored;
    this->Near.close(Ignored);
    this->Far.close(Ignored);
  }

  void reset() {
    asio::error_code Ignored;
    this->Near.set_option(asio::socket_base::linger(true, 0), Ignored);
    this->close();
  }

  asio::ip::tcp::socket Near;
  asio::ip::tcp::socket Far;
};

FaultProxy::FaultProxy(asio::io_context &Io) : Io(Io), Acceptor(Io) {}

FaultProxy::~FaultProxy() = default;

bool FaultProxy::listen(unsigned short Port) {
  this->TargetPort = Port;
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

void FaultProxy::setFault(PathFault Changed) { this->Fault = Changed; }

void FaultProxy::resetAll() {
  for (const auto &Both : this->Pairs)
    Both->reset();
}

bool FaultProxy::blocked(bool Back) const {
  return this->Fault == PathFault::Silent ||
         (Back && this->Fault == PathFault::SilentBack);
}

asio::awaitable<void> FaultProxy::acceptLoop() {
  while (true) {
    auto Both = std::make_shared<Pair>(this->Io);
    asio::error_code Failure;
    co_await this->Acceptor.async_accept(
        Both->Near, asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      co_return;
    if (this->Fault == PathFault::Refusing) {
      Both->reset();
      continue;
    }
    spawnCoroutine(this->Io, "proxy_open", this->open(std::move(Both)));
  }
}

asio::awaitable<void> FaultProxy::open(std::shared_ptr<Pair> Both) {
  asio::error_code Failure;
  const asio::ip::tcp::endpoint Target(parseEndpoint("127.0.0.1:0").address(),
                                       this->TargetPort);
  co_await Both->Far.async_connect(
      Target, asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure) {
    Both->reset();
    co_return;
  }
  Both->Near.set_option(asio::ip::tcp::no_delay(true), Failure);
  Both->Far.set_option(asio::ip::tcp::no_delay(true), Failure);
  this->Pairs.insert(Both);
  spawnCoroutine(this->Io, "proxy_forward", this->pump(Both, false));
  co_await this->pump(Both, true);
  this->Pairs.erase(Both);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Pair> Both, bool Back) {
  asio::ip::tcp::socket &From = Back ? Both->Far : Both->Near;
  asio::ip::tcp::socket &To = Back ? Both->Near : Both->Far;
  std::string Chunk(ChunkBytes, '\0');
  asio::error_code Failure;
  while (!Failure) {
    const std::size_t Size = co_await From.async_read_some(
        asio::buffer(Chunk),
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      break;
    while (this->blocked(Back) && To.is_open())
      co_await pauseFor(this->Io, BlockedCheck);
    if (this->Delay.Ms > 0)
      co_await pauseFor(this->Io, this->Delay);
    co_await asio::async_write(
        To, asio::buffer(Chunk.data(), Size),
        asio::redirect_error(asio::use_awaitable, Failure));
  }
  Both->close();
}

} // namespace pistachioflow
