#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/base/variant_msgpack.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/request.hpp"

namespace pistachioflow {

constexpr std::uint32_t PeerMessageVersion = 1;

/// The most bytes that one message between peers may have.
constexpr std::size_t MaxPeerMessageBytes = 256U << 10U;

/// What an instance says of itself.
struct LocalStatus {
  DomainId Domain;
  std::string Host;
  std::uint16_t HttpPort = 0;
  std::uint16_t PeerPort = 0; ///< Filled in by PeerExchange.
  bool Leaving = false;
  bool LogReachable = false;
  Revision Plans = 0; ///< In force on this instance.
  Revision Limits = 0;
  std::uint64_t ConfigNext = 0; ///< End of the configuration stream as read.
  std::vector<StreamName> Owned;
  std::vector<RunnerInFlight> InFlight; ///< Runners without requests left out.

  MSGPACK_DEFINE(Domain, Host, HttpPort, PeerPort, Leaving, LogReachable, Plans,
                 Limits, ConfigNext, Owned, InFlight)
};

/// Asks a peer for the configuration stream from an offset on.
struct ConfigAsked {
  std::uint64_t Nonce = 0;
  std::uint64_t From = 0;
  MSGPACK_DEFINE(Nonce, From)
};

/// One entry of the configuration stream as the log holds it.
struct ConfigEntry {
  std::uint64_t At = 0;
  std::string Bytes;
  MSGPACK_DEFINE(At, Bytes)
};

/// Answers ConfigAsked.
struct ConfigForwarded {
  std::uint64_t Nonce = 0;
  std::vector<ConfigEntry> Entries;
  std::uint64_t Next = 0; ///< End of the stream as the sender read it.
  Duration ReadAge;       ///< How long before sending that read began.
  MSGPACK_DEFINE(Nonce, Entries, Next, ReadAge)
};

/// Add alternatives only at the end: older instances drop what they don't know.
using PeerContent = std::variant<LocalStatus, ConfigAsked, ConfigForwarded>;

struct PeerMessage {
  std::uint32_t Version = PeerMessageVersion;
  InstanceId From;
  std::uint64_t Sequence = 0; ///< Grows with each message of the sender.
  PeerContent What;
  MSGPACK_DEFINE(Version, From, Sequence, What)
};

/// Encodes a message.
std::string encodePeerMessage(const PeerMessage &Value);

/// Decodes a message.
/// Errors: InvalidInput (damaged or too large), Unsupported (a later version).
Result<PeerMessage> decodePeerMessage(std::string_view Bytes);

} // namespace pistachioflow
