#include "pistachioflow/entry/metrics.hpp"

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

namespace pistachioflow {

namespace {

std::set<std::string> namesInCode() {
  std::set<std::string> Names;
  std::istringstream Lines(entryMetrics().Registry.print());
  std::string Line;
  while (std::getline(Lines, Line)) {
    std::istringstream Words(Line);
    std::string Marker;
    std::string Keyword;
    std::string Name;
    if (Words >> Marker >> Keyword >> Name && Marker == "#" &&
        Keyword == "TYPE")
      Names.insert(Name);
  }
  return Names;
}

std::set<std::string> namesInPage() {
  std::set<std::string> Names;
  std::ifstream Page(PISTACHIOFLOW_SOURCE_DIR "/docs/METRICS.md");
  std::string Line;
  while (std::getline(Page, Line))
    if (Line.starts_with("| `"))
      Names.insert(Line.substr(3, Line.find('`', 3) - 3));
  return Names;
}

} // namespace

TEST_CASE("docs/METRICS.md names every metric and no other") {
  REQUIRE(namesInCode() == namesInPage());
}

} // namespace pistachioflow
