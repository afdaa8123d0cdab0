#include "pistachioflow/peer/peer_exchange.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <poll.h>

#include "pistachioflow/base/log.hpp"

namespace pistachioflow {

namespace {

constexpr int SendQueueMessages = 8;
constexpr int ReceiveQueueMessages = 64;
constexpr int ReceiveTimeoutMs = 100;
constexpr nng_duration ReconnectMinMs = 200;
constexpr nng_duration ReconnectMaxMs = 2'000;
constexpr std::size_t MaxOpenQuestions = 32;
/// What the envelope of forwarded entries may take of a message.
constexpr std::size_t MaxForwardedBytes = MaxPeerMessageBytes / 2;
/// Peers that were heard but are not on the lagging list yet count, too.
constexpr std::size_t MaxHeardPeers = 1'024;
constexpr Duration ForgetPeerAfter{60'000};

constexpr std::chrono::milliseconds CloseTimeout{2'000};

std::string urlOf(const std::string &Host, std::uint16_t Port) {
  return "tcp://" + Host + ":" + std::to_string(Port);
}

/// Owns one nng socket.
class Socket {
public:
  Socket() = default;
  ~Socket() { this->close(); }
  Socket(Socket &&Other) noexcept
      : Handle(std::exchange(Other.Handle, nng_socket NNG_SOCKET_INITIALIZER)) {
  }
  Socket &operator=(Socket &&) = delete;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  bool openPull() { return nng_pull0_open(&this->Handle) == 0; }
  bool openPush() { return nng_push0_open(&this->Handle) == 0; }
  nng_socket get() const { return this->Handle; }

  void close() {
    if (nng_socket_id(this->Handle) > 0)
      nng_close(this->Handle);
    this->Handle = NNG_SOCKET_INITIALIZER;
  }

private:
  nng_socket Handle = NNG_SOCKET_INITIALIZER;
};

/// The way to one peer.
struct Link {
  PeerAddress To;
  Socket Out;
};

/// Closes \p Closing on a thread of its own and waits for it at most
/// CloseTimeout. The library may lose the end of an operation that races with a
/// close (nng 1.5), and then waits for it without end; the caller must not.
template <typename Closable> void closeWithin(Closable Closing) {
  auto Done = std::make_shared<std::promise<void>>();
  std::future<void> Closed = Done->get_future();
  std::thread([Done, Held = std::move(Closing)]() mutable {
    { const Closable Ending = std::move(Held); }
    Done->set_value();
  }).detach();
  if (Closed.wait_for(CloseTimeout) == std::future_status::timeout)
    logEvent(LogLevel::Warning, "peer_close_timed_out", {});
}

/// Starts to connect; nng repeats it in the background until the link closes.
std::optional<Link> connect(const PeerAddress &To) {
  Link Made{To, {}};
  if (!Made.Out.openPush())
    return std::nullopt;
  const nng_socket Handle = Made.Out.get();
  nng_socket_set_int(Handle, NNG_OPT_SENDBUF, SendQueueMessages);
  nng_socket_set_ms(Handle, NNG_OPT_RECONNMINT, ReconnectMinMs);
  nng_socket_set_ms(Handle, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
  const std::string Url = urlOf(To.Host, To.Port);
  if (nng_dial(Handle, Url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    return std::nullopt;
  return Made;
}

/// Tells whether peers should hear of the change before the next period.
bool isUrgentChange(const LocalStatus &Left, const LocalStatus &Right) {
  return Left.Leaving != Right.Leaving ||
         Left.LogReachable != Right.LogReachable || Left.Plans != Right.Plans ||
         Left.Limits != Right.Limits || Left.Owned != Right.Owned;
}

} // namespace

class PeerExchange::Worker {
public:
  Worker(PeerSettings Settings, const Clock &Time, PeerHandlers Handlers)
      : Settings(std::move(Settings)), Time(Time),
        Handlers(std::move(Handlers)), Nonces(this->Settings.Seed) {}

  Result<std::uint16_t> start();
  void stop();
  void setPeers(std::span<const PeerAddress> Peers);
  void publish(LocalStatus Status);
  void askConfig(Offset From);
  std::vector<PeerView> peers() const;
  PeerCounters counters() const;

private:
  struct Heard {
    PeerView View;
    std::uint64_t Sequence = 0;
  };

  struct Question {
    std::uint64_t Nonce = 0;
    Instant AskedAt;
  };

  void run();
  void waitForMessage() const;
  void receive(std::string_view Bytes);
  void take(const PeerMessage &Message, const LocalStatus &Said);
  void take(const PeerMessage &Message, const ConfigAsked &Asked);
  void take(const PeerMessage &Message, const ConfigForwarded &Answer);
  std::optional<Instant> takeQuestion(std::uint64_t Nonce);
  void publishIfDue();
  std::vector<Link> takeLinksBut(std::span<const PeerAddress> Peers);

  // The methods below need Lock.
  bool noteHeard(const PeerView &View, std::uint64_t Number);
  void forgetSilent(Instant Now);
  void send(Link &To, const std::string &Bytes);
  std::string encode(PeerContent What);
  void sendStatus();
  std::vector<Link *> peersInTouch();

  const PeerSettings Settings;
  const Clock &Time;
  const PeerHandlers Handlers;
  Socket In;
  int ReceiveFd = -1; ///< Readable while In has a message. Owned by In.
  std::thread Receiver;
  std::atomic<bool> Stopping{false};

  mutable std::mutex Lock;
  std::uint16_t Port = 0;
  LocalStatus Status;
  bool HasStatus = false;
  Instant SentAt;
  std::uint64_t Sequence = 0;
  std::map<InstanceId, Link> Links;
  std::map<InstanceId, Heard> HeardPeers;
  std::deque<Question> Questions;
  std::mt19937_64 Nonces;
  std::size_t NextAsked = 0;
  PeerCounters Counts;
};

Result<std::uint16_t> PeerExchange::Worker::start() {
  const Error Failed{ErrorCode::Unavailable, "cannot listen for peers", {}};
  if (!this->In.openPull())
    return Failed;
  const nng_socket Handle = this->In.get();
  nng_socket_set_size(Handle, NNG_OPT_RECVMAXSZ, MaxPeerMessageBytes);
  nng_socket_set_int(Handle, NNG_OPT_RECVBUF, ReceiveQueueMessages);
  if (nng_socket_get_int(Handle, NNG_OPT_RECVFD, &this->ReceiveFd) != 0)
    return Failed;
  nng_listener Listener;
  const std::string Url = urlOf(this->Settings.BindHost, this->Settings.Port);
  if (nng_listen(Handle, Url.c_str(), &Listener, 0) != 0)
    return Failed;
  int Bound = 0;
  if (nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Bound) != 0)
    return Failed;
  {
    const std::lock_guard Guard(this->Lock);
    this->Port = static_cast<std::uint16_t>(Bound);
    this->Status.PeerPort = this->Port;
  }
  this->Receiver = std::thread([this] { this->run(); });
  return static_cast<std::uint16_t>(Bound);
}

void PeerExchange::Worker::stop() {
  if (this->Stopping.exchange(true))
    return;
  if (this->Receiver.joinable())
    this->Receiver.join();
  closeWithin(std::move(this->In));
  std::map<InstanceId, Link> Closing;
  {
    const std::lock_guard Guard(this->Lock);
    std::swap(Closing, this->Links);
  }
  closeWithin(std::move(Closing));
}

void PeerExchange::Worker::setPeers(std::span<const PeerAddress> Peers) {
  std::vector<Link> Closing = this->takeLinksBut(Peers);
  if (!Closing.empty())
    closeWithin(std::move(Closing));
  const std::lock_guard Guard(this->Lock);
  for (const PeerAddress &To : Peers) {
    if (To.Instance == this->Settings.Self ||
        this->Links.contains(To.Instance) || this->Stopping)
      continue;
    std::optional<Link> Made = connect(To);
    if (Made)
      this->Links.emplace(To.Instance, std::move(*Made));
  }
}

/// Takes out the links that lead to none of \p Peers.
std::vector<Link>
PeerExchange::Worker::takeLinksBut(std::span<const PeerAddress> Peers) {
  std::vector<Link> Taken;
  const std::lock_guard Guard(this->Lock);
  for (auto At = this->Links.begin(); At != this->Links.end();) {
    const bool Stays =
        std::find(Peers.begin(), Peers.end(), At->second.To) != Peers.end();
    if (!Stays)
      Taken.push_back(std::move(At->second));
    At = Stays ? std::next(At) : this->Links.erase(At);
  }
  return Taken;
}

void PeerExchange::Worker::publish(LocalStatus Next) {
  const std::lock_guard Guard(this->Lock);
  Next.PeerPort = this->Port;
  const bool IsUrgent = !this->HasStatus || isUrgentChange(this->Status, Next);
  this->Status = std::move(Next);
  this->HasStatus = true;
  if (IsUrgent)
    this->sendStatus();
}

void PeerExchange::Worker::askConfig(Offset From) {
  const std::lock_guard Guard(this->Lock);
  const std::vector<Link *> InTouch = this->peersInTouch();
  if (InTouch.empty())
    return;
  const std::uint64_t Nonce = this->Nonces();
  if (this->Questions.size() == MaxOpenQuestions)
    this->Questions.pop_front();
  this->Questions.push_back({Nonce, this->Time.monotonic()});
  const std::string Bytes = this->encode(ConfigAsked{Nonce, From});
  const std::size_t Count = std::min(this->Settings.AskPeers, InTouch.size());
  for (std::size_t Asked = 0; Asked < Count; ++Asked)
    this->send(*InTouch[this->NextAsked++ % InTouch.size()], Bytes);
}

std::vector<PeerView> PeerExchange::Worker::peers() const {
  const std::lock_guard Guard(this->Lock);
  std::vector<PeerView> Views;
  for (const auto &[Instance, Item] : this->HeardPeers)
    Views.push_back(Item.View);
  return Views;
}

PeerCounters PeerExchange::Worker::counters() const {
  const std::lock_guard Guard(this->Lock);
  return this->Counts;
}

/// Waits for a message for at most ReceiveTimeoutMs. Not by a timeout of the
/// library: none ends while the close of any socket of the process hangs.
void PeerExchange::Worker::waitForMessage() const {
  pollfd Readable{this->ReceiveFd, POLLIN, 0};
  ::poll(&Readable, 1, ReceiveTimeoutMs);
}

void PeerExchange::Worker::run() {
  while (!this->Stopping) {
    this->waitForMessage();
    nng_msg *Message = nullptr;
    const int Failure =
        nng_recvmsg(this->In.get(), &Message, NNG_FLAG_NONBLOCK);
    if (Failure == 0) {
      this->receive({static_cast<const char *>(nng_msg_body(Message)),
                     nng_msg_len(Message)});
      nng_msg_free(Message);
    } else if (Failure != NNG_EAGAIN) {
      logEvent(LogLevel::Error, "peer_receive_failed",
               {{"message", nng_strerror(Failure)}});
      return;
    }
    this->publishIfDue();
  }
}

void PeerExchange::Worker::receive(std::string_view Bytes) {
  Result<PeerMessage> Decoded = decodePeerMessage(Bytes);
  {
    const std::lock_guard Guard(this->Lock);
    ++this->Counts.ReceivedMessages;
    this->Counts.ReceivedBytes += Bytes.size();
    if (Decoded.has_error() || Decoded.value().From == this->Settings.Self) {
      ++this->Counts.Refused;
      return;
    }
  }
  const PeerMessage &Message = Decoded.value();
  std::visit([&](const auto &What) { this->take(Message, What); },
             Message.What);
}

void PeerExchange::Worker::take(const PeerMessage &Message,
                                const LocalStatus &Said) {
  const PeerView View{Message.From, Said, this->Time.monotonic()};
  {
    const std::lock_guard Guard(this->Lock);
    if (!this->noteHeard(View, Message.Sequence)) {
      ++this->Counts.Refused;
      return;
    }
  }
  if (this->Handlers.OnStatus)
    this->Handlers.OnStatus(View);
}

/// Keeps what a peer said, unless it is older than what it said before. A
/// sender that restarted under its id counts anew; it is heard again after a
/// silence.
bool PeerExchange::Worker::noteHeard(const PeerView &View,
                                     std::uint64_t Number) {
  constexpr std::int64_t SilentPeriods = 2;
  const auto Known = this->HeardPeers.find(View.Instance);
  if (Known == this->HeardPeers.end()) {
    if (this->HeardPeers.size() >= MaxHeardPeers)
      return false;
    this->HeardPeers.emplace(View.Instance, Heard{View, Number});
    return true;
  }
  Heard &Item = Known->second;
  const bool WasSilent = View.HeardAt - Item.View.HeardAt >=
                         this->Settings.PublishEvery * SilentPeriods;
  if (Number <= Item.Sequence && !WasSilent)
    return false;
  Item = {View, Number};
  return true;
}

void PeerExchange::Worker::forgetSilent(Instant Now) {
  std::erase_if(this->HeardPeers, [Now](const auto &Item) {
    return Now - Item.second.View.HeardAt >= ForgetPeerAfter;
  });
}

void PeerExchange::Worker::take(const PeerMessage &Message,
                                const ConfigAsked &Asked) {
  if (!this->Handlers.ConfigSource)
    return;
  std::optional<ConfigAnswer> Answer =
      this->Handlers.ConfigSource(Asked.From, MaxForwardedBytes);
  if (!Answer)
    return;
  ConfigForwarded Forwarded{Asked.Nonce, {}, Answer->Next, Answer->ReadAge};
  for (LogEntry &Entry : Answer->Entries)
    Forwarded.Entries.push_back({Entry.At, std::move(Entry.Bytes)});
  const std::lock_guard Guard(this->Lock);
  const auto To = this->Links.find(Message.From);
  if (To != this->Links.end())
    this->send(To->second, this->encode(std::move(Forwarded)));
}

void PeerExchange::Worker::take(const PeerMessage &,
                                const ConfigForwarded &Answer) {
  const std::optional<Instant> AskedAt = this->takeQuestion(Answer.Nonce);
  if (!AskedAt || Answer.ReadAge.Ms < 0) {
    const std::lock_guard Guard(this->Lock);
    ++this->Counts.Refused;
    return;
  }
  std::vector<LogEntry> Entries;
  for (const ConfigEntry &Entry : Answer.Entries)
    Entries.push_back({Entry.At, Entry.Bytes});
  if (this->Handlers.OnConfigRecords)
    this->Handlers.OnConfigRecords(std::move(Entries), Answer.Next,
                                   *AskedAt - Answer.ReadAge);
}

std::optional<Instant> PeerExchange::Worker::takeQuestion(std::uint64_t Nonce) {
  const std::lock_guard Guard(this->Lock);
  const auto Found = std::find_if(
      this->Questions.begin(), this->Questions.end(),
      [Nonce](const Question &Open) { return Open.Nonce == Nonce; });
  if (Found == this->Questions.end())
    return std::nullopt;
  return Found->AskedAt;
}

void PeerExchange::Worker::publishIfDue() {
  const std::lock_guard Guard(this->Lock);
  const Instant Now = this->Time.monotonic();
  if (!this->HasStatus || Now - this->SentAt < this->Settings.PublishEvery)
    return;
  this->forgetSilent(Now);
  this->sendStatus();
}

void PeerExchange::Worker::send(Link &To, const std::string &Bytes) {
  // nng copies the bytes and changes none of them.
  const int Failure = nng_send(To.Out.get(), const_cast<char *>(Bytes.data()),
                               Bytes.size(), NNG_FLAG_NONBLOCK);
  if (Failure != 0) {
    ++this->Counts.Dropped;
    return;
  }
  ++this->Counts.SentMessages;
  this->Counts.SentBytes += Bytes.size();
}

std::string PeerExchange::Worker::encode(PeerContent What) {
  return encodePeerMessage({PeerMessageVersion, this->Settings.Self,
                            ++this->Sequence, std::move(What)});
}

void PeerExchange::Worker::sendStatus() {
  const std::string Bytes = this->encode(this->Status);
  this->SentAt = this->Time.monotonic();
  for (auto &[Instance, To] : this->Links)
    this->send(To, Bytes);
}

std::vector<Link *> PeerExchange::Worker::peersInTouch() {
  std::vector<Link *> InTouch;
  for (auto &[Instance, To] : this->Links) {
    const auto Said = this->HeardPeers.find(Instance);
    if (Said != this->HeardPeers.end() && Said->second.View.Status.LogReachable)
      InTouch.push_back(&To);
  }
  return InTouch;
}

PeerExchange::PeerExchange(PeerSettings Settings, const Clock &Time,
                           PeerHandlers Handlers)
    : Held(std::make_unique<Worker>(std::move(Settings), Time,
                                    std::move(Handlers))) {}

PeerExchange::~PeerExchange() { this->stop(); }

Result<std::uint16_t> PeerExchange::start() { return this->Held->start(); }

void PeerExchange::stop() { this->Held->stop(); }

void PeerExchange::setPeers(std::span<const PeerAddress> Peers) {
  this->Held->setPeers(Peers);
}

void PeerExchange::publish(LocalStatus Status) {
  this->Held->publish(std::move(Status));
}

void PeerExchange::askConfig(Offset From) { this->Held->askConfig(From); }

std::vector<PeerView> PeerExchange::peers() const {
  return this->Held->peers();
}

PeerCounters PeerExchange::counters() const { return this->Held->counters(); }

} // namespace pistachioflow
