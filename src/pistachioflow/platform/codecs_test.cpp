// Tests of the decoders for data from callers, operators, workers and the
// store.

#include <string>

#include <catch2/catch.hpp>

#include "pistachioflow/platform/desired_state_codec.hpp"
#include "pistachioflow/platform/instance_settings.hpp"
#include "pistachioflow/platform/job_codec.hpp"
#include "pistachioflow/platform/store_client.hpp"
#include "pistachioflow/platform/worker_client.hpp"

namespace pistachioflow {

namespace {

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const auto Position = Text.find(From);
  return Position == std::string::npos
             ? Text
             : Text.replace(Position, From.size(), To);
}

const std::string GoodEntry =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,)"
    R"("capacity":{"cpu":16000,"memory_request_mb":32768,"gpus":8},)"
    R"("labels":["a","r1"],"clock_ms":482113,"sequence":4,"born":77})";

const std::string GoodSettings =
    R"({"node_name":"e1","zone":"z","ip_address":"10.1.0.1",)"
    R"("internal_port_range":[7000,7015],)"
    R"("listen_addresses":{"frontend":"10.1.0.1:1","ready":"10.1.0.1:2"},)"
    R"("platform":{"address":"10.2.0.1:3"},"bounds":{"grace_period_s":6},)"
    R"("a_field_of_tomorrow":{"x":[1]}})";

} // namespace

TEST_CASE("malformed worker entries are rejected") {
  const auto Entry =
      GENERATE(std::string("junk"), std::string("[]"), std::string("\xff\x00x"),
               replaced(GoodEntry, "\"ready\"", "\"resting\""),
               replaced(GoodEntry, "\"state\"", "\"status\""),
               replaced(GoodEntry, "16000", "\"many\""),
               replaced(GoodEntry, R"("labels":["a","r1"],)", ""),
               replaced(GoodEntry, R"("sequence":4,)", ""),
               replaced(GoodEntry, R"("10.0.0.9:80")", "7"));
  REQUIRE_FALSE(decodeWorkerEntry(Entry));
}

TEST_CASE("a worker's entry is decoded, also while draining") {
  const auto Draining = GENERATE(false, true);
  std::string Text = GoodEntry;
  if (Draining)
    Text = replaced(replaced(Text, "\"ready\"", "\"draining\""), "{",
                    R"({"remaining_ms":1900,)");
  const auto Entry = decodeWorkerEntry(Text);
  REQUIRE(Entry);
  REQUIRE(Entry.value().Draining == Draining);
  REQUIRE(Entry.value().RemainingMs == (Draining ? 1'900 : 0));
  REQUIRE(Entry.value().Capacity.Accelerators == 8);
  REQUIRE(Entry.value().IncarnationStartMs == 77);
}

TEST_CASE("a report with a malformed row is rejected") {
  const auto [Text, Valid] = GENERATE(table<std::string, bool>(
      {{R"({"clock_ms":1,"running":[],"ended_runs":[]})", true},
       {R"({"clock_ms":1,"running":[["t",2,"",100,5]],)"
        R"("ended_runs":[[1,"t",1,"done",""]]})",
        true},
       {R"({"clock_ms":1,"running":[["t"]],"ended_runs":[]})", false},
       {R"({"clock_ms":1,"running":[]})", false},
       {R"({"running":[],"ended_runs":[]})", false},
       {"", false}}));
  REQUIRE(decodeWorkerReport(Text).has_value() == Valid);
}

// Guards against an owner that one worker keeps from storing anything.
TEST_CASE("a checkpoint too long to be stored counts as none") {
  const auto [Bytes, Kept] =
      GENERATE(table<std::size_t, bool>({{0, true},
                                         {100, true},
                                         {MaxCheckpointBytes, true},
                                         {MaxCheckpointBytes + 1, false}}));
  const std::string Checkpoint(Bytes, 'c');
  const auto Report = decodeWorkerReport(
      R"({"clock_ms":1,"running":[["t",2,")" + Checkpoint +
      R"(",50,5]],"ended_runs":[[1,"u",1,"stopped",")" + Checkpoint + "\"]]}");
  REQUIRE(Report);
  const std::string Expected = Kept ? Checkpoint : std::string();
  REQUIRE(Report->Running.front().Checkpoint == Expected);
  REQUIRE(Report->Ended.front().Checkpoint == Expected);
}

// Guards against a report that is taken for complete: a worker reports its ends
// 500 at a time.
TEST_CASE("a report shows whether more ends may follow") {
  const auto [Ends, MoreEnds] = GENERATE(
      table<int, bool>({{0, false}, {499, false}, {500, true}, {501, true}}));
  std::string Rows;
  for (int Number = 1; Number <= Ends; ++Number)
    Rows += (Rows.empty() ? "" : ",") +
            ("[" + std::to_string(Number) + R"(,"t",1,"done",""])");
  const auto Report = decodeWorkerReport(
      R"({"clock_ms":1,"running":[],"ended_runs":[)" + Rows + "]}");
  REQUIRE(Report);
  REQUIRE(Report->MoreEnds == MoreEnds);
}

TEST_CASE("a submitted job is validated") {
  const auto [Text, Valid] = GENERATE(table<std::string, bool>(
      {{R"({"specification":"x","steps":[{"count":4,"cpu":500}]})", true},
       {R"({"steps":[{"count":2},{"count":1,"after":[0]}]})", true},
       {R"({"steps":[{"count":2,"after":[0]}]})", false},
       {R"({"steps":[]})", false},
       {R"({"steps":[{"count":0}]})", false},
       {R"({"steps":[{"count":"four"}]})", false},
       {"{", false}}));
  REQUIRE(decodeJobSpec(Text).has_value() == Valid);
}

// Guards against a job that ends one owner after another: it was accepted with
// a billion occurrences that were all due, or with 100,000 tasks a step.
TEST_CASE("a job that no owner could hold is rejected") {
  const auto [Text, Valid] = GENERATE(table<std::string, bool>(
      {{R"({"steps":[{"count":20000}]})", true},
       {R"({"steps":[{"count":20001}]})", false},
       {R"({"steps":[{"count":10000},{"count":10001}]})", false},
       {R"({"steps":[{"count":2000,"gang":true}]})", true},
       {R"({"steps":[{"count":2001,"gang":true}]})", false},
       {R"({"repeat_count":20000,"steps":[{"count":1}]})", true},
       {R"({"repeat_count":10000,"steps":[{"count":2},{}]})", false},
       {R"({"repeat_count":1000000000,"interval_ms":1,"start_at_ms":0,)"
        R"("steps":[{"count":1}]})",
        false}}));
  CAPTURE(Text);
  REQUIRE(decodeJobSpec(Text).has_value() == Valid);
}

TEST_CASE(
    "decoding settings reports every finding and ignores unknown fields") {
  REQUIRE(decodeInstanceSettings(GoodSettings));
  REQUIRE(decodeInstanceSettings(GoodSettings).value().MetricsAddress ==
          "10.1.0.1:7000");
  const std::string Broken =
      replaced(replaced(GoodSettings, "node_name", "name"),
               R"("grace_period_s":6)", R"("grace_period_s":"six")");
  const auto Settings = decodeInstanceSettings(Broken);
  REQUIRE_FALSE(Settings);
  REQUIRE(Settings.error().Details.size() == 2);
}

TEST_CASE("settings with leases too short to be renewed are rejected") {
  const auto [MaxLeaseMs, Valid] = GENERATE(
      table<std::int64_t, bool>({{2'999, false}, {3'000, true}, {0, false}}));
  const std::string Bounds =
      R"("bounds":{"max_hold_ms":)" + std::to_string(MaxLeaseMs) + "}";
  const auto Settings = decodeInstanceSettings(
      replaced(GoodSettings, R"("bounds":{"grace_period_s":6})", Bounds));
  CAPTURE(MaxLeaseMs);
  REQUIRE(Settings.has_value() == Valid);
  if (Valid)
    REQUIRE(Settings.value().MaxLease == Duration{MaxLeaseMs});
  else
    REQUIRE(Settings.error().Details.front().Place == "$.bounds.max_hold_ms");
}

TEST_CASE("queues, keys and guarantees of a desired state are decoded") {
  const std::string Text =
      R"({"version":7,"routes":[)"
      R"({"name":"a","host":"h","path_prefix":"/q/","service":"s"},)"
      R"({"name":"b","host":"h","path_prefix":"/q/deep/","service":"s"}],)"
      R"("tenants":[{"name":"t","api_keys":["k1","k2"],)"
      R"("guaranteed":{"gpus":72}}]})";
  const DesiredState State = decodeDesiredState(Text).value();
  const auto [Host, Path, Name] = GENERATE(
      table<std::string, std::string, std::string>({{"h", "/q/1", "a"},
                                                    {"h:80", "/q/deep/1", "b"},
                                                    {"other", "/q/1", ""},
                                                    {"h", "/r/1", ""}}));
  const QueueConfig *Queue = findQueue(State, Host, Path);
  REQUIRE((Queue ? Queue->Name : "") == Name);
  REQUIRE(State.WorkspaceByKey.at("k2") == "t");
  REQUIRE(findWorkspace(State, "t")->GuaranteedAccelerators == 72);
}

TEST_CASE("a malformed record still takes one offset") {
  const std::vector<JournalRecord> Records{{"k", "v"}, {"gone", ""}};
  std::string Bytes = encodeRecords(Records);
  // The key length exceeds the length of the record.
  Bytes += std::string("\x00\x00\x00\x02\x09x", 6);
  bool Malformed = true;
  const auto Decoded = decodeRecords(Bytes, Malformed);
  REQUIRE_FALSE(Malformed);
  REQUIRE(Decoded.size() == 3);
  REQUIRE(Decoded[0].Value == "v");
  REQUIRE(Decoded[2].Key.empty());
  decodeRecords(Bytes.substr(0, Bytes.size() - 1), Malformed);
  REQUIRE(Malformed);
}

TEST_CASE("callers' job ids and API keys are recognized") {
  const auto [Id, Valid] =
      GENERATE(table<std::string, bool>({{"5c0e7a21d94b36f8", true},
                                         {"5c0e7a21d94b36f", false},
                                         {"5c0e7a21d94b36fg", false},
                                         {"", false}}));
  REQUIRE(isJobId(Id) == Valid);
  REQUIRE(callerKey("Bearer abc") == "abc");
  REQUIRE(callerKey("Basic abc").empty());
}

} // namespace pistachioflow
