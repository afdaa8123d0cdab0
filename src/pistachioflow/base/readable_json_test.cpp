#include "pistachioflow/base/readable_json.hpp"

#include <random>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace pistachioflow {

namespace {

using namespace std::string_literals;

const std::string Odd = "\xef\xbf\xbd";

} // namespace

TEST_CASE("unreadable parts of a string are replaced, the rest stays") {
  const auto [Text, Expected] = GENERATE(table<std::string, std::string>(
      {{"", ""},
       {"plain", "plain"},
       {"w\xff", "w" + Odd},
       {"\xc3\xa9", "\xc3\xa9"},
       {"\xf0\x9f\x98\x80", "\xf0\x9f\x98\x80"},
       {"\xc3", Odd},
       {"\xc0\x80", Odd + Odd},
       {"\xe2\x82", Odd + Odd},
       {"\xed\xa0\x80", Odd + Odd + Odd},
       {"\xf4\x90\x80\x80", Odd + Odd + Odd + Odd},
       {"\xf8x", Odd + "x"},
       {R"(\ud83d\ude00)", "\xf0\x9f\x98\x80"},
       {R"(\udcff)", Odd},
       {R"(\ud800)", Odd},
       {R"(\ud800\u0041)", Odd + "A"},
       {R"(\\udcff)", R"(\udcff)"},
       {R"(\"x)", "\"x"},
       {R"(\u0000)", "\0"s},
       {"a\nb\0c"s, "a" + Odd + "b" + Odd + "c"}}));
  CAPTURE(Text);
  const std::string Document = "{\n\"key\": \"" + Text + "\"}";
  const auto Parsed =
      nlohmann::json::parse(readableJson(Document), nullptr, false);
  REQUIRE(Parsed.is_object());
  REQUIRE(Parsed["key"] == Expected);
}

TEST_CASE("a document stays readable whatever one of its strings holds") {
  std::mt19937 Random(7);
  std::uniform_int_distribution<int> AnyByte(0, 255);
  std::uniform_int_distribution<std::size_t> AnySize(0, 12);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes(AnySize(Random), '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(AnyByte(Random));
    // What ends a string or begins an escape is the writer's to mask.
    std::erase_if(Bytes, [](char Byte) { return Byte == '"' || Byte == '\\'; });
    const std::string Document = R"({"a":")" + Bytes + R"(","b":7})";
    const auto Parsed =
        nlohmann::json::parse(readableJson(Document), nullptr, false);
    CAPTURE(Round);
    REQUIRE(Parsed.is_object());
    REQUIRE(Parsed["b"] == 7);
  }
}

TEST_CASE("a text that ends anywhere is read to its end") {
  const std::string Text = "{\"k\":\"\\ud83d\\ude00\xf0\x9f\x98\x80\\";
  for (std::size_t Size = 0; Size <= Text.size(); ++Size)
    REQUIRE(readableJson(Text.substr(0, Size)).size() <= 3 * Size);
}

} // namespace pistachioflow
