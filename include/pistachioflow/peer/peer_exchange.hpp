#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/peer/peer_message.hpp"
#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

struct PeerSettings {
  InstanceId Self;
  std::string BindHost = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0 takes any free port.
  Duration PublishEvery{1'000};
  std::uint64_t Seed = 0; ///< Must differ between processes.
  /// How many peers one question for configuration goes to.
  std::size_t AskPeers = 2;
};

/// Where a peer listens.
struct PeerAddress {
  InstanceId Instance;
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const PeerAddress &) const = default;
};

/// What a peer last said of itself.
struct PeerView {
  InstanceId Instance;
  LocalStatus Status;
  Instant HeardAt; ///< On this process's monotonic clock.
};

/// What this instance can tell of the configuration stream.
struct ConfigAnswer {
  std::vector<LogEntry> Entries;
  Offset Next = 0;
  Duration ReadAge;
};

/// Called on the exchange's own thread, without a lock held. They must not wait
/// for the log. Empty ones are not called.
struct PeerHandlers {
  /// A peer has said something of itself.
  std::function<void(const PeerView &)> OnStatus;
  /// Entries that this instance had asked for. The last argument is a time on
  /// its own clock, no later than the peer's read of the log.
  std::function<void(std::vector<LogEntry>, Offset Next, Instant ReadAt)>
      OnConfigRecords;
  /// Answers a peer's question from an offset on with at most so many bytes;
  /// nullopt where this instance cannot reach the log either.
  std::function<std::optional<ConfigAnswer>(Offset From, std::size_t MaxBytes)>
      ConfigSource;
};

/// Counts since the start.
struct PeerCounters {
  std::uint64_t SentMessages = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Dropped = 0; ///< Not sent: the peer is gone or too slow.
  std::uint64_t Refused =
      0; ///< Received, but damaged, unknown or out of order.
};

/// Exchanges small messages with every peer: what this instance says of itself
/// each period and on change, and records of the configuration stream for those
/// that cannot reach the log. Messages may be lost; nothing waits for a peer.
///
/// Thread safety: every method may be called from any thread, but start and
/// stop only once each.
class PeerExchange {
public:
  /// \p Time must outlive the exchange.
  PeerExchange(PeerSettings Settings, const Clock &Time, PeerHandlers Handlers);
  ~PeerExchange(); ///< Stops it.
  PeerExchange(const PeerExchange &) = delete;
  PeerExchange &operator=(const PeerExchange &) = delete;

  /// Listens and returns the port. Errors: Unavailable (the address is taken).
  Result<std::uint16_t> start();

  /// Ends the exchange's thread; no handler is called after it.
  void stop();

  /// Replaces the peers that messages go to.
  void setPeers(std::span<const PeerAddress> Peers);

  /// Sets what this instance says of itself. It is sent at once where it
  /// differs in more than the counts of requests, otherwise with the next
  /// period.
  void publish(LocalStatus Status);

  /// Asks peers that reach the log for the configuration stream from \p From
  /// on.
  void askConfig(Offset From);

  /// Returns what each peer heard of late last said, in the order of their ids.
  std::vector<PeerView> peers() const;

  PeerCounters counters() const;

private:
  class Worker;
  std::unique_ptr<Worker> Held;
};

} // namespace pistachioflow
