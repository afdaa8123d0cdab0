#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "pistachioflow/codec/settings.hpp"
#include "pistachioflow/controller/config.hpp"
#include "pistachioflow/controller/event_journal.hpp"
#include "pistachioflow/controller/keys.hpp"
#include "pistachioflow/daemon/cell_board.hpp"
#include "pistachioflow/daemon/member_board.hpp"
#include "pistachioflow/daemon/platform_ports.hpp"
#include "pistachioflow/daemon/schedule.hpp"
#include "pistachioflow/daemon/stream_history.hpp"
#include "pistachioflow/filter/request_service.hpp"
#include "pistachioflow/peer/peer_exchange.hpp"

namespace pistachioflow {

/// Where a started instance listens.
struct NodeListening {
  std::uint16_t Http = 0;
  std::uint16_t Peer = 0;
};

/// One instance with all its parts but the HTTP server.
///
/// Thread safety: the parts may be used from any thread; start and stop only
/// once each.
class Node {
public:
  /// \p Seed must differ between processes. \p Time outlives the node.
  Node(const DaemonSettings &Settings, const Clock &Time, std::uint64_t Seed);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts the exchange with peers and the periodic tasks; returns the port
  /// for peers. Errors: Unavailable (the address is taken).
  Result<std::uint16_t> start();

  /// Tells peers where callers reach this instance.
  void setHttpPort(std::uint16_t Port) { this->HttpPort = Port; }

  /// Takes no new work, lets what is in progress end, and hands over what this
  /// instance owns. Returns when that is done, or after \p Patience.
  void drain(Duration Patience);

  /// Ends every task and thread.
  void stop();

  /// Tells whether the balancer should send new work here.
  bool ready() const;

  LocalStatus status() const;

  /// Returns what the decisions of this cluster prefer.
  policy::Settings preferences() const;

  const DaemonSettings Settings;
  const Clock &Time;
  MetricRegistry Metrics;
  EventJournal Journal; ///< What no stream carries.
  PlatformPorts Platform;
  StreamHistory History; ///< What the streams said.
  ConfigController Config;
  KeyController Keys;
  MemberBoard Members;
  Schedule WorkerPool; ///< Calls to workers.
  Schedule Ticks;      ///< Everything periodic.
  CellBoard Cells;
  RequestService Requests;
  PeerExchange Peers;

private:
  CellPorts cellPorts(std::uint64_t Seed);
  Findings checkLists(const Lists &Edited) const;
  RecordTap historyTap();
  RequestPorts requestPorts();
  PeerHandlers peerHandlers();
  void startTicks();
  void tickConfig();
  void tickInstances();
  void tickCells();
  void tickGossip();
  bool peerReachesLog() const;
  bool drained();

  std::atomic<std::uint16_t> HttpPort{0};
  std::atomic<bool> Started{false};
};

} // namespace pistachioflow
