#include <catch2/catch.hpp>

#include <random>
#include <string>

#include "pistachioflow/controller/stream.hpp"

using namespace pistachioflow;

namespace {

Record sample() {
  const StartGang Start{{"job-1"}, 2, {{{"worker-1"}, 8}}, true};
  const Reason Why{ReasonCode::PlacedBorrowing,
                   {{ListKind::Limits, "gold", 4}},
                   {{Measure::AcceleratorsFree, 12}},
                   "worker-2"};
  return {{RecordVersion, {"id-1"}, {"instance-1"}, 7, {1'000}},
          DecisionsMade{{JobCancelled{{"job-0"}}}, {{Start, Why}}}};
}

std::string withVersion(std::uint32_t Version) {
  Record Value = sample();
  Value.Header.Version = Version;
  return encodeRecord(Value);
}

std::string withoutId() {
  Record Value = sample();
  Value.Header.Id = {};
  return encodeRecord(Value);
}

/// A record whose payload has an index that this program does not know.
std::string withPayload(std::uint32_t Index) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(sample().Header);
  Packer.pack_array(2);
  Packer.pack(Index);
  Packer.pack_array(0);
  return {Buffer.data(), Buffer.size()};
}

/// A record with one event whose index this program does not know.
std::string withEvent(std::uint32_t Index) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(sample().Header);
  Packer.pack_array(2);
  Packer.pack(static_cast<std::uint32_t>(Payload(FactsObserved{}).index()));
  Packer.pack_array(1);
  Packer.pack_array(1);
  Packer.pack_array(2);
  Packer.pack(Index);
  Packer.pack_array(0);
  return {Buffer.data(), Buffer.size()};
}

} // namespace

TEST_CASE("a record is decoded as it was encoded") {
  const std::string Bytes = encodeRecord(sample());
  const Result<Record> Decoded = decodeRecord(Bytes);
  REQUIRE(Decoded.has_value());
  CHECK(encodeRecord(Decoded.value()) == Bytes);
}

TEST_CASE("what cannot be decoded is a typed error") {
  const auto [Name, Bytes,
              Code] = GENERATE(table<const char *, std::string, ErrorCode>({
      {"nothing", "", ErrorCode::InvalidInput},
      {"cut short", encodeRecord(sample()).substr(0, 40),
       ErrorCode::InvalidInput},
      {"too long", encodeRecord(sample()) + "x", ErrorCode::InvalidInput},
      {"not an array", "\x05", ErrorCode::InvalidInput},
      {"an empty array", "\x90", ErrorCode::InvalidInput},
      {"header not an array", "\x92\x01\x01", ErrorCode::InvalidInput},
      {"without an id", withoutId(), ErrorCode::InvalidInput},
      {"later version", withVersion(RecordVersion + 1), ErrorCode::Unsupported},
      {"unknown payload", withPayload(std::variant_size_v<Payload>),
       ErrorCode::Unsupported},
      {"unknown event", withEvent(std::variant_size_v<Event>),
       ErrorCode::Unsupported},
      {"announces 4 billion", "\xdd\xff\xff\xff\xff\xc0",
       ErrorCode::InvalidInput},
      {"endless nesting", std::string(1'000'000, '\x91'),
       ErrorCode::InvalidInput},
  }));
  INFO(Name);
  const Result<Record> Decoded = decodeRecord(Bytes);
  REQUIRE(Decoded.has_error());
  CHECK(Decoded.error().Code == Code);
}

TEST_CASE("hostile bytes are refused or decoded, never more") {
  const auto Seed = GENERATE(range(0, 8));
  std::mt19937_64 Random(Seed);
  constexpr int Rounds = 5'000;
  const std::string Whole = encodeRecord(sample());
  int Refused = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Bytes = Whole;
    const std::size_t Changes = 1 + Random() % 4;
    for (std::size_t Change = 0; Change < Changes; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    if (Random() % 4 == 0)
      Bytes.resize(Random() % Bytes.size());
    const Result<Record> Decoded = decodeRecord(Bytes);
    if (Decoded.has_value()) {
      CHECK_FALSE(Decoded.value().Header.Id.empty());
      continue;
    }
    ++Refused;
    const ErrorCode Code = Decoded.error().Code;
    CHECK((Code == ErrorCode::InvalidInput || Code == ErrorCode::Unsupported));
  }
  CHECK(Refused > 0);
}
