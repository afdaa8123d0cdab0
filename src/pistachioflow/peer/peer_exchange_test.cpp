#include <catch2/catch.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "pistachioflow/controller/config.hpp"
#include "pistachioflow/peer/config_forwarding.hpp"
#include "pistachioflow/peer/peer_exchange.hpp"
#include "pistachioflow/port/memory_log.hpp"

using namespace pistachioflow;

namespace {

/// An exchange on loopback that a test can wait for.
class Node {
public:
  explicit Node(const std::string &Name, std::uint64_t Seed = 1,
                PeerHandlers Handlers = {}) {
    PeerSettings Settings;
    Settings.Self = {Name};
    Settings.Seed = Seed;
    Settings.PublishEvery = {50};
    Handlers.OnStatus = [this](const PeerView &) { this->wake(); };
    if (auto Inner = Handlers.OnConfigRecords)
      Handlers.OnConfigRecords = [this, Inner](std::vector<LogEntry> Entries,
                                               Offset Next, Instant ReadAt) {
        Inner(std::move(Entries), Next, ReadAt);
        this->wake();
      };
    this->Exchange =
        std::make_unique<PeerExchange>(Settings, this->Time, Handlers);
    this->Port = this->Exchange->start().value();
  }
  ~Node() { this->Exchange->stop(); }

  PeerAddress address(const std::string &Name) const {
    return {{Name}, "127.0.0.1", this->Port};
  }

  void connectTo(const std::vector<PeerAddress> &Peers) {
    this->Exchange->setPeers(Peers);
  }

  /// Waits until \p Condition holds, checked on each message that arrives.
  bool waitFor(const std::function<bool()> &Condition) {
    std::unique_lock Guard(this->Lock);
    return this->Changed.wait_for(Guard, std::chrono::seconds(30), Condition);
  }

  /// Returns the last status of \p Name, or nullopt.
  std::optional<LocalStatus> heard(const std::string &Name) const {
    for (const PeerView &View : this->Exchange->peers()) {
      if (View.Instance.Value == Name)
        return View.Status;
    }
    return std::nullopt;
  }

  SystemClock Time;
  std::unique_ptr<PeerExchange> Exchange;
  std::uint16_t Port = 0;

private:
  void wake() {
    const std::lock_guard Guard(this->Lock);
    this->Changed.notify_all();
  }

  std::mutex Lock;
  std::condition_variable Changed;
};

LocalStatus status(Revision Plans) {
  LocalStatus Status;
  Status.Domain = {"domain-1"};
  Status.Host = "127.0.0.1";
  Status.LogReachable = true;
  Status.Plans = Plans;
  Status.InFlight = {{{"runner-1"}, 3}};
  return Status;
}

/// Sends bytes as no instance would.
class RawSender {
public:
  explicit RawSender(std::uint16_t Port) {
    REQUIRE(nng_push0_open(&this->Out) == 0);
    nng_socket_set_ms(this->Out, NNG_OPT_SENDTIMEO, 30'000);
    const std::string Url = "tcp://127.0.0.1:" + std::to_string(Port);
    REQUIRE(nng_dial(this->Out, Url.c_str(), nullptr, 0) == 0);
  }
  ~RawSender() { nng_close(this->Out); }

  void send(std::string Bytes) {
    REQUIRE(nng_send(this->Out, Bytes.data(), Bytes.size(), 0) == 0);
  }

private:
  nng_socket Out = NNG_SOCKET_INITIALIZER;
};

std::string statusBytes(const std::string &From, std::uint64_t Sequence,
                        Revision Plans) {
  return encodePeerMessage(
      {PeerMessageVersion, {From}, Sequence, status(Plans)});
}

} // namespace

TEST_CASE("peers hear what an instance says of itself, and its changes") {
  Node A("a");
  Node B("b");
  A.Exchange->publish(status(1));
  A.connectTo({B.address("b")});
  REQUIRE(B.waitFor([&] { return B.heard("a").has_value(); }));
  CHECK(B.heard("a")->PeerPort == A.Port);
  CHECK(B.heard("a")->InFlight.front().Count == 3);
  A.Exchange->publish(status(2));
  CHECK(B.waitFor([&] { return B.heard("a")->Plans == 2; }));
  LocalStatus Leaving = status(2);
  Leaving.Leaving = true;
  A.Exchange->publish(Leaving);
  CHECK(B.waitFor([&] { return B.heard("a")->Leaving; }));
}

TEST_CASE("a peer that listens late is heard") {
  Node A("a");
  std::uint16_t Port = 0;
  {
    Node Gone("b");
    Port = Gone.Port;
  }
  A.Exchange->publish(status(1));
  A.connectTo({{{"b"}, "127.0.0.1", Port}});
  PeerSettings Settings;
  Settings.Self = {"b"};
  Settings.Port = Port;
  std::mutex Lock;
  std::condition_variable Changed;
  bool Heard = false;
  PeerHandlers Handlers;
  Handlers.OnStatus = [&](const PeerView &) {
    const std::lock_guard Guard(Lock);
    Heard = true;
    Changed.notify_all();
  };
  PeerExchange Late(Settings, A.Time, Handlers);
  REQUIRE(Late.start().has_value());
  std::unique_lock Guard(Lock);
  CHECK(
      Changed.wait_for(Guard, std::chrono::seconds(30), [&] { return Heard; }));
  Guard.unlock();
  Late.stop();
}

TEST_CASE("hostile bytes and stale messages are counted and change nothing") {
  Node A("a");
  RawSender Raw(A.Port);
  std::mt19937_64 Random(1);
  constexpr int Hostile = 200;
  for (int Round = 0; Round < Hostile; ++Round) {
    std::string Bytes(1 + Random() % 300, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    Raw.send(Bytes);
  }
  Raw.send(statusBytes("a", 1, 5)); // Claims to be the receiver itself.
  Raw.send(encodePeerMessage(
      {PeerMessageVersion, {"z"}, 1, ConfigForwarded{99, {}, 1'000, {0}}}));
  Raw.send(statusBytes("z", 5, 2));
  Raw.send(statusBytes("z", 4, 1)); // Came late.
  Raw.send(statusBytes("y", 1, 1));
  REQUIRE(A.waitFor([&] { return A.heard("y").has_value(); }));
  CHECK(A.heard("z")->Plans == 2);
  CHECK_FALSE(A.heard("a").has_value());
  CHECK(A.Exchange->counters().Refused == Hostile + 3);
}

TEST_CASE("a message above the limit ends only its own connection") {
  Node A("a");
  RawSender Raw(A.Port);
  Raw.send(std::string(MaxPeerMessageBytes * 2, '\x91'));
  RawSender Other(A.Port);
  Other.send(statusBytes("b", 1, 1));
  CHECK(A.waitFor([&] { return A.heard("b").has_value(); }));
  CHECK(A.Exchange->counters().ReceivedBytes < MaxPeerMessageBytes);
}

TEST_CASE("peers forward the configuration to an instance that is cut off") {
  MemoryLog Log;
  MemoryLog Broken;
  SystemClock Time;
  ConfigController WellConfig(Log, Time, {"well"}, 1);
  ConfigController CutConfig(Broken, Time, {"cut"}, 2);
  PeerHandlers WellHandlers;
  PeerHandlers CutHandlers;
  forwardConfig(WellHandlers, WellConfig, Time);
  forwardConfig(CutHandlers, CutConfig, Time);
  Node Well("well", 1, WellHandlers);
  Node Cut("cut", 2, CutHandlers);
  REQUIRE(CutConfig.refresh().has_value());
  Broken.setFaults([] { return LogFault::Down; });
  constexpr Revision Edits = 3;
  for (Revision At = 0; At < Edits; ++At)
    REQUIRE(WellConfig
                .editLimits({At, {{{"gold"}, {}, 8, 1, false, 0, 0}}, "op"}, {})
                .has_value());
  Well.connectTo({Cut.address("cut")});
  Cut.connectTo({Well.address("well")});
  Well.Exchange->publish(status(0));
  // Each status that arrives gives the occasion to ask.
  CHECK(Cut.waitFor([&] {
    CHECK(CutConfig.refresh().has_error());
    askPeersIfCutOff(*Cut.Exchange, CutConfig);
    return CutConfig.lists().Limits.At == Edits;
  }));
  CHECK(CutConfig.mayTakeNewWork());
  CHECK_FALSE(CutConfig.progress().LogReachable);
}

TEST_CASE("an instance without the log answers no question") {
  MemoryLog Broken;
  SystemClock Time;
  ConfigController Config(Broken, Time, {"cut"}, 2);
  PeerHandlers Handlers;
  forwardConfig(Handlers, Config, Time);
  CHECK_FALSE(Handlers.ConfigSource(0, 1'000).has_value());
  REQUIRE(Config.refresh().has_value());
  CHECK(Handlers.ConfigSource(0, 1'000).has_value());
  Broken.setFaults([] { return LogFault::Down; });
  CHECK(Config.refresh().has_error());
  CHECK_FALSE(Handlers.ConfigSource(0, 1'000).has_value());
}

TEST_CASE("an address that is taken is a typed error") {
  Node A("a");
  PeerSettings Settings;
  Settings.Self = {"b"};
  Settings.Port = A.Port;
  PeerExchange Second(Settings, A.Time, {});
  const Result<std::uint16_t> Started = Second.start();
  REQUIRE(Started.has_error());
  CHECK(Started.error().Code == ErrorCode::Unavailable);
}

TEST_CASE("peers come and go while messages flow") {
  Node Hub("hub");
  Hub.Exchange->publish(status(1));
  for (int Round = 0; Round < 5; ++Round) {
    Node A("a");
    Node B("b");
    Hub.connectTo({A.address("a"), B.address("b"), Hub.address("hub")});
    CHECK(A.waitFor([&] { return A.heard("hub").has_value(); }));
    CHECK(B.waitFor([&] { return B.heard("hub").has_value(); }));
    Hub.connectTo({});
  }
}
