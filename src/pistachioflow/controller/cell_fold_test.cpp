#include <catch2/catch.hpp>

#include "pistachioflow/controller/cell_fold.hpp"

using namespace pistachioflow;

TEST_CASE("the time of a cell never goes back and never stands still") {
  const auto [At, Wall, Expected] = GENERATE(table<Epoch, Instant, Instant>({
      {1, {1'500}, {1'500}}, // The same owner, half a second later.
      {1, {900}, {1'000}},   // Its clock was set back.
      {2, {1'200}, {1'200}}, // A successor whose clock is ahead.
      {2, {400}, {1'000}},   // One whose clock is behind.
  }));
  const CellTime Before{{1'000}, 1, {1'000}};
  CHECK(advanceTime(Before, At, Wall).Now == Expected);
  const CellTime After = advanceTime(Before, At, Wall);
  const CellTime Later = advanceTime(After, At, Wall + Duration{700});
  CHECK(Later.Now >= After.Now + Duration{700});
}

TEST_CASE("an instance with a wrong clock cannot move a cell's time") {
  CellFold Fold;
  Record Claim{{RecordVersion, {"a"}, {"owner"}, 1, {1'000}},
               OwnerClaimed{{"owner"}}};
  foldCellRecord(Fold, Claim, true);
  Record Facts{{RecordVersion, {"b"}, {"other"}, 0, {9'000'000}},
               FactsObserved{{JobCancelled{{"job-1"}}}}};
  foldCellRecord(Fold, Facts, true);
  CHECK(Fold.Time.Now == Instant{1'000});
}

TEST_CASE("a snapshot folds on as the stream that it stands for") {
  CellFold Fold;
  JobSpec Spec;
  Spec.Job = {"job-1"};
  Spec.Workspace = {"chess"};
  Record Facts{{RecordVersion, {"a"}, {"x"}, 0, {5}},
               FactsObserved{{JobSubmitted{Spec}}}};
  foldCellRecord(Fold, Facts, true);
  const auto Again = decodeSnapshot(encodeSnapshot(Fold));
  REQUIRE(Again.has_value());
  CHECK(Again.value().Cell.Jobs.contains({"job-1"}));
  CHECK(encodeSnapshot(Again.value()) == encodeSnapshot(Fold));
  std::vector<char> Damaged = encodeSnapshot(Fold);
  Damaged.resize(Damaged.size() / 2);
  CHECK(decodeSnapshot(Damaged).has_error());
}

TEST_CASE("a snapshot is due by records, bytes or age, but not for nothing") {
  const auto [Records, Bytes, AgeMs, Due] =
      GENERATE(table<std::size_t, std::size_t, std::int64_t, bool>({
          {0, 0, 1'000'000'000, false},
          {1, 300, 0, false},
          {1'000, 300, 0, true},
          {1, 5U << 20U, 0, true},
          {1, 300, 300'000, true},
      }));
  const SnapshotProgress Progress{Records, Bytes, {0}};
  CHECK(snapshotDue(Progress, {}, {AgeMs}) == Due);
}
