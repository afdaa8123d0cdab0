#include "pistachioflow/platform_standin/log_store.hpp"

#include <optional>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

const std::string Topic = "keyed.t";

} // namespace

TEST_CASE("appends are fenced, numbered and deduplicated as on the platform") {
  struct Row {
    Producer Writer;
    std::optional<std::int64_t> ExpectedEnd;
    AppendOutcome Outcome;
    std::int64_t End; ///< Of the topic after the append.
  };
  const auto Case =
      GENERATE(Row{{"p", 2, 8}, std::nullopt, AppendOutcome::Appended, 2},
               Row{{"p", 2, 7}, std::nullopt, AppendOutcome::Appended, 1},
               Row{{"p", 2, 9}, std::nullopt, AppendOutcome::WrongSequence, 1},
               Row{{"p", 1, 8}, std::nullopt, AppendOutcome::Fenced, 1},
               Row{{"p", 3, 500}, std::nullopt, AppendOutcome::Appended, 2},
               Row{{"q", 1, 0}, 0, AppendOutcome::OffsetMismatch, 1},
               Row{{"q", 1, 0}, 1, AppendOutcome::Appended, 2});
  LogStore Store;
  const std::vector<JournalRecord> Records{{"k", "v"}};
  Store.append(Topic, Records, {"p", 2, 7}, std::nullopt);
  REQUIRE(Store.append(Topic, Records, Case.Writer, Case.ExpectedEnd).Outcome ==
          Case.Outcome);
  REQUIRE(Store.endOffset(Topic) == Case.End);
}

TEST_CASE("the newest record of each key remains after compaction") {
  LogStore Store;
  Store.put(Topic, {"a", "1"});
  Store.put(Topic, {"b", "1"});
  Store.put(Topic, {"a", "2"});
  Store.put(Topic, {"b", ""});
  Store.compact(Topic);
  REQUIRE(Store.firstOffset(Topic) == 4);
  const auto Newest = Store.newest(Topic, "", 10);
  REQUIRE(Newest.size() == 1);
  REQUIRE(Newest[0].Record.Value == "2");
  REQUIRE(Newest[0].Offset == 2);
}

} // namespace pistachioflow
