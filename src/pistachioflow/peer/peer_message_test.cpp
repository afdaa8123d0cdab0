#include <catch2/catch.hpp>

#include <random>
#include <string>

#include "pistachioflow/peer/peer_message.hpp"

using namespace pistachioflow;

namespace {

PeerMessage sample() {
  LocalStatus Status;
  Status.Domain = {"domain-1"};
  Status.Host = "127.0.0.1";
  Status.Owned = {{"cell/a"}};
  Status.InFlight = {{{"runner-1"}, 4}};
  return {PeerMessageVersion, {"instance-1"}, 7, Status};
}

} // namespace

TEST_CASE("a peer message is decoded as it was encoded") {
  const PeerContent What = GENERATE(
      PeerContent(ConfigAsked{1, 2}),
      PeerContent(ConfigForwarded{1, {{2, "bytes"}}, 3, {40}}), sample().What);
  const PeerMessage Before{PeerMessageVersion, {"instance-1"}, 9, What};
  const std::string Bytes = encodePeerMessage(Before);
  const PeerMessage After = decodePeerMessage(Bytes).value();
  CHECK(After.What.index() == What.index());
  CHECK(encodePeerMessage(After) == Bytes);
}

TEST_CASE("a message that cannot be decoded is a typed error") {
  PeerMessage Later = sample();
  Later.Version = PeerMessageVersion + 1;
  PeerMessage Nameless = sample();
  Nameless.From = {};
  const auto [Name, Bytes, Code] =
      GENERATE_COPY(table<const char *, std::string, ErrorCode>({
          {"nothing", "", ErrorCode::InvalidInput},
          {"not a message", "\xc0", ErrorCode::InvalidInput},
          {"later version", encodePeerMessage(Later), ErrorCode::Unsupported},
          {"no sender", encodePeerMessage(Nameless), ErrorCode::InvalidInput},
          {"too large", std::string(MaxPeerMessageBytes + 1, '\xc0'),
           ErrorCode::InvalidInput},
          {"endless nesting", std::string(MaxPeerMessageBytes, '\x91'),
           ErrorCode::InvalidInput},
      }));
  INFO(Name);
  const Result<PeerMessage> Decoded = decodePeerMessage(Bytes);
  REQUIRE(Decoded.has_error());
  CHECK(Decoded.error().Code == Code);
}

TEST_CASE("hostile messages are refused or decoded, never more") {
  std::mt19937_64 Random(GENERATE(range(0, 8)));
  const std::string Whole = encodePeerMessage(sample());
  constexpr int Rounds = 5'000;
  int Refused = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Bytes = Whole;
    const std::size_t Changes = 1 + Random() % 4;
    for (std::size_t Change = 0; Change < Changes; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Refused += decodePeerMessage(Bytes).has_error() ? 1 : 0;
  }
  CHECK(Refused > 0);
}
