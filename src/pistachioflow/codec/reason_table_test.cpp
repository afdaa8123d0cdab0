#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "pistachioflow/codec/reason_table.hpp"

using namespace pistachioflow;

TEST_CASE("every reason has its own code and name") {
  std::set<std::string_view> Names;
  ReasonCode Last = ReasonCode::None;
  for (const ReasonText &Row : reasonTable()) {
    INFO(Row.Name);
    CHECK((Row.Code == ReasonCode::None || Row.Code > Last));
    CHECK(Names.insert(Row.Name).second);
    CHECK_FALSE(Row.Meaning.empty());
    CHECK_FALSE(Row.Change.empty());
    CHECK(toString(Row.Code) == Row.Name);
    Last = Row.Code;
  }
}

TEST_CASE("docs/REASONS.md is the table") {
  std::ifstream In(PISTACHIOFLOW_SOURCE_DIR "/docs/REASONS.md");
  const std::string Page((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
  CHECK(Page == reasonsPage());
}
