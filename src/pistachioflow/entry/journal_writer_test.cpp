#include "pistachioflow/entry/journal_writer.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

TEST_CASE("records are split in their order into parts that a call may hold") {
  struct Row {
    const char *Description;
    std::vector<std::size_t> Sizes; ///< Of the records, with their framing.
    std::vector<std::size_t> Parts; ///< How many records each part holds.
  };
  constexpr std::size_t MaxBytes = 100;
  const auto Case =
      GENERATE(Row{"nothing", {}, {}}, Row{"one", {10}, {1}},
               Row{"as much as fits", {40, 60}, {2}},
               Row{"a byte more", {40, 61}, {1, 1}},
               Row{"several parts", {60, 40, 50, 50, 10}, {2, 2, 1}},
               Row{"a record that never fits", {10, 150, 10}, {1, 1, 1}});
  CAPTURE(Case.Description);
  std::vector<JournalRecord> Records;
  for (const std::size_t Size : Case.Sizes) {
    JournalRecord Record{std::to_string(Records.size()), {}};
    Record.Value.assign(Size - storedBytes(Record), 'v');
    Records.push_back(std::move(Record));
  }
  const auto Parts = splitRecords(Records, MaxBytes);
  std::vector<std::size_t> Counts;
  std::size_t Next = 0;
  for (const auto &Part : Parts) {
    Counts.push_back(Part.size());
    for (const JournalRecord &Record : Part)
      REQUIRE(Record.Key == std::to_string(Next++));
  }
  REQUIRE(Counts == Case.Parts);
}

} // namespace pistachioflow
