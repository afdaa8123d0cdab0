#include <catch2/catch.hpp>

#include "pistachioflow/controller/keys_table.hpp"

using namespace pistachioflow;

namespace {

Record recordOf(std::vector<KeyRecord> Keys) {
  return {{RecordVersion, {"id"}, {"a"}, 0, {}}, KeysAppended{std::move(Keys)}};
}

KeyRecord begun(std::uint64_t Claim, std::string Key = "round-1") {
  return {RequestBegun{{"chess"}, std::move(Key), {"r"}, Claim, 7}};
}

KeyRecord ended(std::uint64_t Claim, RequestState State,
                std::string Key = "round-1") {
  RequestOutcome Outcome;
  Outcome.State = State;
  return {RequestEnded{{"chess"}, std::move(Key), {"r"}, Outcome, Claim}};
}

const KeyHash Round1 = hashKey({"chess"}, "round-1");

} // namespace

TEST_CASE("the log's order decides who holds a key") {
  struct Row {
    std::vector<KeyRecord> Keys;
    std::uint64_t Holder; // 0: free
    KeyPhase Phase;
  };
  const Row Case = GENERATE(values<Row>({
      {{begun(1)}, 1, KeyPhase::Begun},
      {{begun(1), begun(2)}, 1, KeyPhase::Begun},
      {{begun(1), ended(1, RequestState::Done)}, 1, KeyPhase::Done},
      {{begun(1), ended(1, RequestState::Unknown)}, 1, KeyPhase::Unknown},
      {{begun(1), ended(1, RequestState::NotRun)}, 0, KeyPhase::Begun},
      {{begun(1), begun(2), ended(1, RequestState::NotRun)}, 0, {}},
      {{begun(1), ended(1, RequestState::NotRun), begun(2)}, 2, {}},
      // The end of a claim that does not hold the key is void.
      {{begun(1), ended(2, RequestState::NotRun)}, 1, KeyPhase::Begun},
      {{begun(1), begun(2), ended(2, RequestState::Done)}, 1, KeyPhase::Begun},
      {{ended(1, RequestState::Done), begun(1)}, 1, KeyPhase::Begun},
      // The first end stands.
      {{begun(1), ended(1, RequestState::Done), ended(1, RequestState::NotRun)},
       1,
       KeyPhase::Done},
      {{begun(1), ended(1, RequestState::Done), begun(2)}, 1, KeyPhase::Done},
  }));
  KeyTable Table;
  Offset At = 0;
  for (const KeyRecord &Each : Case.Keys)
    foldKeys(Table, recordOf({Each}), At++, {});
  const KeyEntry *Entry = findKey(Table, Round1);
  REQUIRE((Entry == nullptr) == (Case.Holder == 0));
  if (Entry != nullptr) {
    CHECK(Entry->Claim == Case.Holder);
    CHECK(Entry->Phase == Case.Phase);
  }
  // One append with all of them means the same.
  KeyTable Grouped;
  foldKeys(Grouped, recordOf(Case.Keys), 0, {});
  const KeyEntry *Again = findKey(Grouped, Round1);
  REQUIRE((Again == nullptr) == (Case.Holder == 0));
}

TEST_CASE("workspaces and keys never share a hash by concatenation") {
  CHECK(hashKey({"ab"}, "c") != hashKey({"a"}, "bc"));
  CHECK(hashKey({"a"}, "x") != hashKey({"b"}, "x"));
  CHECK(hashKey({"a"}, "x") == hashKey({"a"}, "x"));
}

TEST_CASE("a key that left the table cannot begin again") {
  const KeyRetention Small{2, 4, 2};
  KeyTable Table;
  for (std::uint64_t Claim = 1; Claim <= 5; ++Claim)
    foldKeys(Table, recordOf({begun(Claim, "k" + std::to_string(Claim))}),
             Claim, Small);
  CHECK(Table.Entries.size() == 2);
  const KeyHash Oldest = hashKey({"chess"}, "k1");
  CHECK(findKey(Table, Oldest) == nullptr);
  CHECK(isRetired(Table, Oldest));
  const auto Changes = foldKeys(Table, recordOf({begun(9, "k1")}), 9, Small);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes.front().What == KeyChange::Kind::Lost);
}

TEST_CASE("retired keys keep to their bound, newest kept") {
  const KeyRetention Small{1, 3, 2};
  KeyTable Table;
  constexpr std::uint64_t Last = 40;
  for (std::uint64_t Claim = 1; Claim <= Last; ++Claim) {
    foldKeys(Table, recordOf({begun(Claim, "k" + std::to_string(Claim))}),
             Claim, Small);
    std::size_t Retired = 0;
    for (const auto &Generation : Table.Retired.Generations)
      Retired += Generation.size();
    CHECK(Retired <= Small.RetiredPerGeneration * Small.RetiredGenerations);
    CHECK(Table.Order.size() == Table.Entries.size());
  }
  CHECK(isRetired(Table, hashKey({"chess"}, "k39")));
}

TEST_CASE("a snapshot holds the whole table") {
  const KeyRetention Small{3, 4, 2};
  KeyTable Table;
  for (std::uint64_t Claim = 1; Claim <= 8; ++Claim)
    foldKeys(Table, recordOf({begun(Claim, "k" + std::to_string(Claim))}),
             Claim, Small);
  foldKeys(Table, recordOf({ended(7, RequestState::Done, "k7")}), 9, Small);
  foldKeys(Table, recordOf({ended(8, RequestState::NotRun, "k8")}), 10, Small);
  const auto Loaded = loadKeys(saveKeys(Table));
  REQUIRE(Loaded.has_value());
  CHECK(Loaded.value().Entries == Table.Entries);
  CHECK(Loaded.value().Retired == Table.Retired);
  CHECK(saveKeys(Loaded.value()) == saveKeys(Table));
}

TEST_CASE("a damaged snapshot is an error, not an empty table") {
  KeyTable Table;
  foldKeys(Table, recordOf({begun(1)}), 0, {});
  std::vector<char> Bytes = saveKeys(Table);
  Bytes.resize(Bytes.size() / 2);
  CHECK(loadKeys(Bytes).has_error());
}
