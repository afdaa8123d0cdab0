#include "pistachioflow/clients/http_pool.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include <httplib.h>
#include <sys/socket.h>

namespace pistachioflow {

namespace {

constexpr std::int64_t MsPerSecond = 1'000;
constexpr std::int64_t UsPerMs = 1'000;

std::pair<time_t, time_t> secondsAndMicros(Duration Span) {
  return {Span.Ms / MsPerSecond, (Span.Ms % MsPerSecond) * UsPerMs};
}

/// Tells whether the client failed before it had a connection to write to.
bool neverConnected(httplib::Error Fault) {
  return Fault == httplib::Error::Connection ||
         Fault == httplib::Error::ConnectionTimeout ||
         Fault == httplib::Error::BindIPAddress;
}

} // namespace

struct HttpPool::Connection {
  Connection(const Endpoint &Server, Duration ConnectTimeout)
      : Client(Server.Host, Server.Port) {
    const auto [Seconds, Micros] = secondsAndMicros(ConnectTimeout);
    this->Client.set_connection_timeout(Seconds, Micros);
    this->Client.set_keep_alive(true);
    this->Client.set_tcp_nodelay(true);
    this->Client.set_url_encode(false);
  }

  void setTimeout(Duration Timeout) {
    const auto [Seconds, Micros] = secondsAndMicros(Timeout);
    this->Client.set_read_timeout(Seconds, Micros);
    this->Client.set_write_timeout(Seconds, Micros);
  }

  /// Tells whether the server sent something that no request asked for, or
  /// closed the connection.
  bool outOfStep() const {
    char Byte = 0;
    const ssize_t Count =
        ::recv(this->Client.socket(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count >= 0;
  }

  httplib::Client Client;
  Instant UsedAt;
};

HttpPool::HttpPool(HttpPoolSettings Settings, const Clock &Time)
    : Settings(std::move(Settings)), Time(Time) {}

HttpPool::~HttpPool() = default;

HttpAnswer HttpPool::exchange(const HttpCall &Call) {
  std::unique_ptr<Connection> Link = this->take();
  Link->setTimeout(Call.Timeout);
  const Instant Deadline = this->Time.monotonic() + Call.Timeout;
  HttpAnswer Answer;
  httplib::Request Request;
  Request.method = Call.Method;
  Request.path = Call.Path;
  Request.body = Call.Body;
  if (!Call.Body.empty())
    Request.set_header("Content-Type", Call.ContentType);
  Request.content_receiver = [&](const char *Data, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    Answer.Body.append(Data, Size);
    return Answer.Body.size() <= this->Settings.MaxAnswerBytes &&
           this->Time.monotonic() <= Deadline;
  };
  const httplib::Result Outcome = Link->Client.send(Request);
  if (!Outcome) {
    Answer.Body.clear();
    Answer.State = neverConnected(Outcome.error()) ? ExchangeState::NotSent
                                                   : ExchangeState::Lost;
    return Answer;
  }
  Answer.State = ExchangeState::Answered;
  Answer.Status = Outcome->status;
  this->giveBack(std::move(Link));
  return Answer;
}

void HttpPool::closeIdle() {
  std::vector<std::unique_ptr<Connection>> Closing;
  const std::lock_guard Guard(this->Lock);
  Closing.swap(this->Idle);
}

std::uint64_t HttpPool::opened() const {
  const std::lock_guard Guard(this->Lock);
  return this->OpenedCount;
}

std::unique_ptr<HttpPool::Connection> HttpPool::take() {
  while (std::unique_ptr<Connection> Link = this->takeIdle()) {
    if (!Link->outOfStep())
      return Link;
  }
  const std::lock_guard Guard(this->Lock);
  ++this->OpenedCount;
  return std::make_unique<Connection>(this->Settings.Server,
                                      this->Settings.ConnectTimeout);
}

std::unique_ptr<HttpPool::Connection> HttpPool::takeIdle() {
  const Instant Oldest = this->Time.monotonic() - this->Settings.MaxIdleTime;
  std::vector<std::unique_ptr<Connection>> Stale; // Closed without the lock.
  const std::lock_guard Guard(this->Lock);
  const auto FirstFresh = std::find_if(
      this->Idle.begin(), this->Idle.end(),
      [Oldest](const auto &Link) { return Link->UsedAt >= Oldest; });
  std::move(this->Idle.begin(), FirstFresh, std::back_inserter(Stale));
  this->Idle.erase(this->Idle.begin(), FirstFresh);
  if (this->Idle.empty())
    return nullptr;
  std::unique_ptr<Connection> Link = std::move(this->Idle.back());
  this->Idle.pop_back();
  return Link;
}

void HttpPool::giveBack(std::unique_ptr<Connection> Used) {
  Used->UsedAt = this->Time.monotonic();
  const std::lock_guard Guard(this->Lock);
  if (this->Idle.size() < this->Settings.MaxIdle)
    this->Idle.push_back(std::move(Used));
}

std::string encodeQuery(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr unsigned LowNibble = 0x0f;
  std::string Encoded;
  for (const char Letter : Text) {
    const auto Byte = static_cast<unsigned char>(Letter);
    if (std::isalnum(Byte) != 0 || Letter == '-' || Letter == '_' ||
        Letter == '.') {
      Encoded += Letter;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Byte >> 4U];
    Encoded += Digits[Byte & LowNibble];
  }
  return Encoded;
}

} // namespace pistachioflow
