#include "pistachioflow/sched/records.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

/// The layout of a unit's record before crashes were counted.
struct EarlierUnitRecord {
  std::int64_t Run = 0;
  bool Done = false;
  std::int64_t Failures = 0;
  std::string Checkpoint;
  std::vector<PlaceRecord> Places;
  std::int64_t FailedRun = 0;
  bool GangRunEnded = false;
  std::vector<std::int64_t> FailedRuns;
  std::vector<PresumedEndRecord> PresumedEnds;

  MSGPACK_DEFINE(Run, Done, Failures, Checkpoint, Places, FailedRun,
                 GangRunEnded, FailedRuns, PresumedEnds)
};

/// Replaces the value of a record after its version, which has one byte.
std::string withLayoutOf(const std::string &Encoded,
                         const EarlierUnitRecord &Record) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Record);
  return Encoded.substr(0, 1) + std::string(Buffer.data(), Buffer.size());
}

} // namespace

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

TEST_CASE("a unit's record keeps the crashes under it") {
  UnitRecord Record;
  Record.Crashes.push_back({"w1", 17, 4, 2, CrashEvidence::Early, true});
  const auto Read = decodeRecord<UnitRecord>(encodeRecord(Record));
  REQUIRE(Read);
  REQUIRE(Read->Crashes.size() == 1);
  REQUIRE(Read->Crashes[0].Worker == "w1");
  REQUIRE(Read->Crashes[0].IncarnationStartMs == 17);
  REQUIRE(Read->Crashes[0].Run == 4);
  REQUIRE(Read->Crashes[0].Member == 2);
  REQUIRE(Read->Crashes[0].Evidence == CrashEvidence::Early);
  REQUIRE(Read->Crashes[0].Suspected);
}

TEST_CASE("a unit's record of an earlier version has no crashes") {
  EarlierUnitRecord Earlier;
  Earlier.Run = 3;
  Earlier.FailedRuns = {2};
  const auto Read = decodeRecord<UnitRecord>(
      withLayoutOf(encodeRecord(UnitRecord{}), Earlier));
  REQUIRE(Read);
  REQUIRE(Read->Run == 3);
  REQUIRE(Read->FailedRuns == std::vector<std::int64_t>{2});
  REQUIRE(Read->Crashes.empty());
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
