#include "pistachioflow/sched/records.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("a unit's record keeps the state that a new owner needs") {
  UnitRecord Record;
  Record.Run = 4;
  Record.Failures = 1;
  Record.Checkpoint = "c";
  Record.Places.push_back({"w1", 17});
  const auto Read = decodeRecord<UnitRecord>(encodeRecord(Record));
  REQUIRE(Read);
  REQUIRE(Read->Run == 4);
  REQUIRE(Read->Failures == 1);
  REQUIRE(Read->Checkpoint == "c");
  REQUIRE(Read->Places.size() == 1);
  REQUIRE(Read->Places[0].IncarnationStartMs == 17);
}

TEST_CASE("malformed values and unknown versions are not records") {
  const std::string Good = encodeRecord(OwnershipRecord{3, "e1", 5, true});
  const auto Bad =
      GENERATE_COPY(std::string(), std::string("\x02") + Good.substr(1),
                    Good.substr(0, Good.size() / 2), std::string("\x01junk"),
                    std::string("\x01\xdd\xff\xff\xff\xff", 6));
  REQUIRE_FALSE(decodeRecord<OwnershipRecord>(Bad));
  REQUIRE(decodeRecord<OwnershipRecord>(Good)->Resigned);
}

} // namespace pistachioflow
