#include "pistachioflow/entry/evacuated_domains.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace pistachioflow {

using Names = std::set<std::string, std::less<>>;

// Guards against starts in a domain whose evacuation has a value of another
// kind, or came before one that was taken back.
TEST_CASE("the newest record of a domain decides whether it is evacuated") {
  struct Row {
    const char *Name;
    std::vector<JournalRecord> Records;
    Names Evacuated;
    EvacuationChange Last;
  };
  const auto Case =
      GENERATE(Row{"any value",
                   {{"evacuate/a", "no JSON"}},
                   {"a"},
                   EvacuationChange::Began},
               Row{"repeated",
                   {{"evacuate/a", "1"}, {"evacuate/a", "2"}},
                   {"a"},
                   EvacuationChange::None},
               Row{"two domains",
                   {{"evacuate/a", "1"}, {"evacuate/b", "1"}},
                   {"a", "b"},
                   EvacuationChange::Began},
               Row{"taken back",
                   {{"evacuate/a", "1"}, {"evacuate/a", ""}},
                   {},
                   EvacuationChange::Ended},
               Row{"taken back twice",
                   {{"evacuate/a", ""}, {"evacuate/a", ""}},
                   {},
                   EvacuationChange::None},
               Row{"a name with a separator",
                   {{"evacuate/a/b", "1"}},
                   {"a/b"},
                   EvacuationChange::Began},
               Row{"no name", {{"evacuate/", "1"}}, {}, EvacuationChange::None},
               Row{"other keys",
                   {{"config", "1"}, {"wave/1", "1"}},
                   {},
                   EvacuationChange::None});
  CAPTURE(Case.Name);
  EvacuatedDomains Domains;
  EvacuationChange Last = EvacuationChange::None;
  for (const JournalRecord &Record : Case.Records)
    Last = applyEvacuation(Domains, Record);
  REQUIRE(Domains.Names == Case.Evacuated);
  REQUIRE(Last == Case.Last);
}

// Guards against evacuations that are missed, or kept for ever, when the store
// has dropped the records in between.
TEST_CASE("a load of the topic replaces all evacuations") {
  const TopicRecords Records{{"config", "{}"}, {"evacuate/b", "1"}};
  REQUIRE(readEvacuations(Records).Names == Names{"b"});
  REQUIRE(readEvacuations({}).Names.empty());
}

// Guards against an owner that starts work in a domain since it reads the
// operators' topic no longer.
TEST_CASE("evacuations are relied on for half of their timeout") {
  const auto [AgeMs, TimeoutMs, Current] =
      GENERATE(table<std::int64_t, std::int64_t, bool>({{0, 5'000, true},
                                                        {2'500, 5'000, true},
                                                        {2'501, 5'000, false},
                                                        {60'000, 0, true}}));
  REQUIRE(evacuationsCurrent({AgeMs}, {TimeoutMs}) == Current);
}

TEST_CASE("submissions are refused only while every domain is evacuated") {
  const auto [Evacuated, Known, All] =
      GENERATE(table<Names, std::vector<std::string>, bool>(
          {{{"a", "b"}, {"a", "b"}, true},
           {{"a"}, {"a", "b"}, false},
           {{"a", "c"}, {"a", "b"}, false},
           {{"a"}, {}, false}}));
  REQUIRE(coversAll({Evacuated}, Known) == All);
}

} // namespace pistachioflow
