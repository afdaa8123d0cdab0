#include <catch2/catch.hpp>

#include <string>

#include "pistachioflow/model/record.hpp"

using namespace pistachioflow;

namespace {

std::string pack(const Record &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

Record unpack(const std::string &Bytes) {
  return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<Record>();
}

Payload startDecision() {
  StartGang Start{{"job-1"}, 2, {{{"worker-1"}, 8}}, true};
  Reason Cause{ReasonCode::PlacedBorrowing,
               {{ListKind::Limits, "gold", 4}},
               {{Measure::AcceleratorsFree, 12}},
               "worker-2"};
  return DecisionsMade{{JobCancelled{{"job-0"}}}, {{Start, Cause}}};
}

} // namespace

TEST_CASE("records survive a msgpack round trip unchanged") {
  const Payload Content = GENERATE(
      Payload(PlansEdited{3, {{{"chess"}, {"gold"}}}, "operator-1"}),
      Payload(OwnerClaimed{{"instance-1"}}), startDecision(),
      Payload(KeysAppended{{{RequestBegun{{"chess"}, "round-1", {"r-1"}}}}}));
  const Record Before{{RecordVersion, {"id-1"}, {"instance-1"}, 7, {1'000}},
                      Content};
  const std::string Bytes = pack(Before);
  const Record After = unpack(Bytes);
  CHECK(After.What.index() == Content.index());
  CHECK(After.Header.AuthorEpoch == Before.Header.AuthorEpoch);
  CHECK(pack(After) == Bytes);
}

TEST_CASE("unpacking a payload of a later version throws a type error") {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(RecordHeader{});
  Packer.pack_array(2);
  Packer.pack(static_cast<std::uint32_t>(std::variant_size_v<Payload>));
  Packer.pack_nil();
  CHECK_THROWS_AS(unpack({Buffer.data(), Buffer.size()}), msgpack::type_error);
}
