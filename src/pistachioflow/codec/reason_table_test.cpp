#include <catch2/catch.hpp>

#include <cctype>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "pistachioflow/codec/enum_names.hpp"
#include "pistachioflow/codec/reason_table.hpp"

using namespace pistachioflow;

namespace {

/// Returns the names between "enum class NAME" and its closing brace.
std::vector<std::string> enumerators(const std::string &Name) {
  std::ifstream In(PISTACHIOFLOW_SOURCE_DIR
                   "/include/pistachioflow/model/reason.hpp");
  std::vector<std::string> Names;
  bool Inside = false;
  for (std::string Line; std::getline(In, Line);) {
    if (Line.starts_with("enum class " + Name + " "))
      Inside = true;
    else if (Line.starts_with("};"))
      Inside = false;
    else if (Inside && Line.starts_with("  ") && Line[2] != '/')
      Names.push_back(Line.substr(2, Line.find_first_of(" ,=", 2) - 2));
  }
  return Names;
}

/// Converts CamelCase to snake_case.
std::string snakeCase(const std::string &Name) {
  std::string Text;
  for (const char Character : Name) {
    if (std::isupper(static_cast<unsigned char>(Character)) != 0 &&
        !Text.empty())
      Text += '_';
    Text +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(Character)));
  }
  return Text;
}

} // namespace

TEST_CASE("every reason code of the model has a row in the table") {
  std::vector<std::string> Rows;
  for (const ReasonText &Row : reasonTable())
    Rows.emplace_back(Row.Name);
  std::vector<std::string> Codes;
  for (const std::string &Name : enumerators("ReasonCode"))
    Codes.push_back(snakeCase(Name));
  CHECK(Rows == Codes);
}

TEST_CASE("every measure of the model has a name") {
  std::vector<std::string> Rows;
  for (const EnumName<Measure> &Row : enumNames<Measure>())
    Rows.emplace_back(Row.Name);
  std::vector<std::string> Measures;
  for (const std::string &Name : enumerators("Measure"))
    Measures.push_back(snakeCase(Name));
  CHECK(Rows == Measures);
}

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

TEST_CASE("docs/REASONS.md matches the reason table") {
  std::ifstream In(PISTACHIOFLOW_SOURCE_DIR "/docs/REASONS.md");
  const std::string Page((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
  CHECK(Page == reasonsPage());
}
