#include "pistachioflow/net/http_server.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include "message_parser.hpp"
#include "pistachioflow/base/log.hpp"

namespace pistachioflow {

namespace {

constexpr std::size_t ReadChunkBytes = 4U << 10U;
/// Pause after a failed accept, since it would fail again at once while file
/// descriptors are exhausted.
constexpr int AcceptRetryMs = 20;

/// About what an idle connection takes: its session, coroutines, a buffer and
/// what the allocator adds.
constexpr std::size_t IdleConnectionBytes = 8U << 10U;

constexpr int FirstErrorStatus = 400;

using SteadyClock = std::chrono::steady_clock;

int refusalStatus(MessageParser::State State) {
  switch (State) {
  case MessageParser::State::HeadTooLarge:
    return 431;
  case MessageParser::State::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

} // namespace

struct HttpServer::Session {
  Session(asio::ip::tcp::socket Accepted, const HttpServerLimits &Limits,
          std::shared_ptr<MemoryBudget> Budget)
      : Socket(std::move(Accepted)), TimeoutTimer(Socket.get_executor()),
        Parser(HTTP_REQUEST, Limits.MaxBodyBytes, Limits.MaxHeaderBytes),
        Memory(std::move(Budget), [this] { this->close(); }) {}

  void close() {
    asio::error_code Ignored;
    this->Socket.close(Ignored);
  }

  /// Reports the memory that the connection takes.
  void countMemory() {
    this->Memory.hold(IdleConnectionBytes + this->Unread.capacity() +
                      this->Parser.heldBytes());
  }

  /// As countMemory(), while the request that was read is being handled.
  void countMemory(const HttpRequest &Request) {
    this->Memory.hold(IdleConnectionBytes + this->Unread.capacity() +
                      Request.Body.capacity() +
                      Request.Headers.capacity() * sizeof(HttpHeader));
  }

  void finishCall() {
    this->Memory.finishCall();
    this->FinishedAt = SteadyClock::now();
  }

  void setBusy(bool Value) {
    this->Busy = Value;
    this->Memory.setBusy(Value);
  }

  /// Closes the connection unless the timer is cancelled before.
  static void closeOnTimeout(const std::shared_ptr<Session> &Owner) {
    Owner->TimeoutTimer.async_wait([Owner](asio::error_code Cancelled) {
      if (!Cancelled)
        Owner->close();
    });
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer TimeoutTimer;
  MessageParser Parser;
  std::string Unread; ///< Received bytes that are not parsed yet.
  bool Busy = false;
  /// When it finished its latest request, or was accepted.
  SteadyClock::time_point FinishedAt = SteadyClock::now();
  MemoryBudget::Share Memory;
};

/// Marks a request that is being handled or answered.
class HttpServer::Activity {
public:
  Activity(Session &Client, std::size_t &ActiveRequests)
      : Client(Client), ActiveRequests(ActiveRequests) {
    this->Client.setBusy(true);
    ++this->ActiveRequests;
  }
  ~Activity() {
    this->Client.setBusy(false);
    --this->ActiveRequests;
  }
  Activity(const Activity &) = delete;
  Activity &operator=(const Activity &) = delete;

private:
  Session &Client;
  std::size_t &ActiveRequests;
};

HttpServer::HttpServer(asio::io_context &Io, HttpHandler Handler,
                       std::shared_ptr<MemoryBudget> Shared)
    : Io(Io), Handler(std::move(Handler)), Acceptor(Io),
      Budget(Shared ? std::move(Shared) : std::make_shared<MemoryBudget>()) {}

HttpServer::~HttpServer() = default;

bool HttpServer::listen(const asio::ip::tcp::endpoint &Local) {
  asio::error_code Failure;
  this->Acceptor.open(Local.protocol(), Failure);
  if (!Failure)
    this->Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    this->Acceptor.bind(Local, Failure);
  if (!Failure)
    this->Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure) {
    logEvent(LogLevel::Error, "listen_failed",
             {{"port", Local.port()}, {"reason", Failure.message()}});
    return false;
  }
  asio::co_spawn(this->Io, this->acceptLoop(), asio::detached);
  return true;
}

unsigned short HttpServer::port() const {
  return this->Acceptor.local_endpoint().port();
}

void HttpServer::startDraining() { this->Draining = true; }

void HttpServer::closeIdle() {
  asio::error_code Ignored;
  this->Acceptor.close(Ignored);
  for (Session *Client : this->Sessions)
    if (!Client->Busy && !Client->Parser.started())
      Client->Socket.close(Ignored);
}

asio::awaitable<void> HttpServer::acceptLoop() {
  while (this->Acceptor.is_open()) {
    asio::error_code Failure;
    asio::ip::tcp::socket Socket = co_await this->Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure) {
      asio::steady_timer Pause(this->Io,
                               std::chrono::milliseconds(AcceptRetryMs));
      co_await Pause.async_wait(
          asio::redirect_error(asio::use_awaitable, Failure));
      continue;
    }
    if (!this->makeRoom()) {
      logEvent(LogLevel::Warning, "connection_refused",
               {{"open", static_cast<std::int64_t>(this->Sessions.size())}});
      continue;
    }
    Socket.set_option(asio::ip::tcp::no_delay(true), Failure);
    auto Client = std::make_shared<Session>(std::move(Socket), this->Limits,
                                            this->Budget);
    asio::co_spawn(this->Io, this->serve(std::move(Client)), asio::detached);
  }
}

/// Closes the connection that has finished no request for longest if there are
/// too many. Returns whether there is room for another one.
bool HttpServer::makeRoom() {
  if (this->Sessions.size() < this->Limits.MaxConnections)
    return true;
  std::size_t Open = 0;
  Session *Oldest = nullptr;
  for (Session *Client : this->Sessions) {
    if (!Client->Socket.is_open())
      continue;
    ++Open;
    const bool Older = !Oldest || Client->FinishedAt < Oldest->FinishedAt;
    if (!Client->Busy && Older)
      Oldest = Client;
  }
  if (Open < this->Limits.MaxConnections)
    return true;
  if (!Oldest)
    return false;
  ++this->ClosedForRoom;
  logEvent(
      LogLevel::Warning, "connection_closed",
      {{"reason", "connections"}, {"open", static_cast<std::int64_t>(Open)}});
  Oldest->close();
  return true;
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Session> Client) {
  this->Sessions.insert(Client.get());
  bool Open = true;
  while (Open) {
    HttpRequest Request;
    Open = co_await this->readRequest(Client, Request);
    if (Open)
      Open = co_await this->respond(Client, std::move(Request));
  }
  this->Sessions.erase(Client.get());
  Client->TimeoutTimer.cancel();
  Client->close();
}

asio::awaitable<bool> HttpServer::readRequest(std::shared_ptr<Session> Owner,
                                              HttpRequest &Request) {
  Session &Client = *Owner;
  Client.Parser.reset();
  Client.countMemory();
  std::string Chunk;
  // Set by the first byte. Later ones don't extend it, so that a slow sender
  // cannot hold the connection.
  std::optional<SteadyClock::time_point> RequestEnds;
  while (true) {
    std::size_t Consumed = 0;
    if (!Client.Unread.empty()) {
      const auto State = Client.Parser.feed(Client.Unread, Consumed);
      Client.Unread.erase(0, Consumed);
      if (State == MessageParser::State::Complete)
        break;
      Client.countMemory();
      if (State != MessageParser::State::NeedsMore)
        co_return co_await this->refuse(Owner, refusalStatus(State));
    }
    const auto Now = SteadyClock::now();
    if (Client.Parser.started() && !RequestEnds)
      RequestEnds =
          Now + std::chrono::milliseconds(this->Limits.RequestTimeout.Ms);
    const auto IdleEnds =
        Now + std::chrono::milliseconds(this->Limits.IdleTimeout.Ms);
    Client.TimeoutTimer.expires_at(RequestEnds.value_or(IdleEnds));
    // Closing the socket makes the read below fail.
    Session::closeOnTimeout(Owner);
    asio::error_code Failure;
    Chunk.resize(ReadChunkBytes);
    const std::size_t Size = co_await Client.Socket.async_read_some(
        asio::buffer(Chunk),
        asio::redirect_error(asio::use_awaitable, Failure));
    Client.TimeoutTimer.cancel();
    // It may have been closed after the read, by the timer or for others.
    if (Failure || !Client.Socket.is_open())
      co_return false;
    Client.Unread.append(Chunk.data(), Size);
  }
  Request = Client.Parser.releaseRequest();
  co_return true;
}

asio::awaitable<bool> HttpServer::respond(std::shared_ptr<Session> Owner,
                                          HttpRequest Request) {
  const Activity Active(*Owner, this->ActiveRequests);
  Owner->countMemory(Request);
  HttpResponse Response = co_await this->Handler(std::move(Request));
  const bool Useful = Response.Status < FirstErrorStatus;
  const bool KeepAlive = Owner->Parser.keepAlive() && !this->Draining;
  const bool Written =
      co_await this->write(Owner, std::move(Response), KeepAlive);
  // Rejected calls cost a client nothing, so that they give no preference.
  if (Useful)
    Owner->finishCall();
  co_return KeepAlive &&Written;
}

/// Answers a request that was not read to its end. The connection is closed
/// after it.
asio::awaitable<bool> HttpServer::refuse(std::shared_ptr<Session> Owner,
                                         int Status) {
  const Activity Active(*Owner, this->ActiveRequests);
  // Not a temporary in the call: g++ 12 destroys an aggregate there twice.
  HttpResponse Refusal{Status, {}, {}};
  co_await this->write(Owner, std::move(Refusal), false);
  co_return false;
}

/// Returns whether the response was written.
asio::awaitable<bool> HttpServer::write(std::shared_ptr<Session> Owner,
                                        HttpResponse Response, bool KeepAlive) {
  const std::string Text = formatResponse(Response, KeepAlive);
  Owner->TimeoutTimer.expires_after(
      std::chrono::milliseconds(this->Limits.ResponseTimeout.Ms));
  Session::closeOnTimeout(Owner);
  asio::error_code Failure;
  co_await asio::async_write(
      Owner->Socket, asio::buffer(Text),
      asio::redirect_error(asio::use_awaitable, Failure));
  Owner->TimeoutTimer.cancel();
  co_return !Failure;
}

} // namespace pistachioflow
