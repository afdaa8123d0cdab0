// Entries that another writer left in the list of workers, and reports of
// whatever answers at their addresses: they are rejected, and nothing else
// happens.

#include <string>

#include <catch2/catch.hpp>

#include "pistachioflow/platform/worker_client.hpp"

namespace pistachioflow {

namespace {

using namespace std::string_literals;

/// Levels of nesting that overflow a stack if each takes a call.
constexpr std::size_t DeepNesting = 60'000;

const std::string GoodEntry =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,)"
    R"("capacity":{"cpu":16000,"memory_request_mb":32768,"gpus":8},)"
    R"("labels":["a","r1"],"clock_ms":482113,"sequence":4,"born":77})";

const std::string GoodReport =
    R"({"clock_ms":5,"born":7,"running":[["t",2,"c",40,900]],)"
    R"("ended_runs":[[1,"u",1,"done",""]]})";

/// Replaces the value of a field by \p Value. Precondition: the field is there
/// and its value has no comma.
std::string withField(std::string Text, const std::string &Field,
                      const std::string &Value) {
  const std::string Name = "\"" + Field + "\":";
  const std::size_t Begin = Text.find(Name) + Name.size();
  const std::size_t End = Text.find_first_of(",}", Begin);
  return Text.replace(Begin, End - Begin, Value);
}

std::string withLabels(const std::string &Labels) {
  std::string Text = GoodEntry;
  const std::string Usual = R"(["a","r1"])";
  return Text.replace(Text.find(Usual), Usual.size(), Labels);
}

std::string repeated(const std::string &Part, std::size_t Times) {
  std::string Text;
  for (std::size_t Index = 0; Index < Times; ++Index)
    Text += Part;
  return Text;
}

} // namespace

TEST_CASE("an entry with a wrong value in any field is rejected") {
  REQUIRE(decodeWorkerEntry(GoodEntry));
  const std::string Field =
      GENERATE(as<std::string>(), "service", "address", "zone", "version",
               "slots", "state", "cold_remaining_ms", "cpu",
               "memory_request_mb", "gpus", "clock_ms", "sequence", "born");
  const std::string Value =
      GENERATE(as<std::string>(), "null", "true", "[]", "{}", "-1", "1e999",
               "-1e999", "NaN", "", R"("\u0000")", "\"\xff\"", R"("\ud800")");
  CAPTURE(Field, Value);
  // Any text is a version, and any number a time.
  const bool Valid = (Field == "version" && Value == R"("\u0000")") ||
                     (Field == "cold_remaining_ms" && Value == "-1");
  REQUIRE(decodeWorkerEntry(withField(GoodEntry, Field, Value)).has_value() ==
          Valid);
}

TEST_CASE("an entry's counts are whole numbers that can be meant") {
  const std::string Field =
      GENERATE(as<std::string>(), "cpu", "memory_request_mb", "gpus",
               "clock_ms", "sequence", "born");
  const std::string Value = GENERATE(
      as<std::string>(), "1.5", "1e30", "18446744073709551615",
      "18446744073709551616", "99999999999999999999", "9223372036854775807",
      "-9223372036854775808", "9007199254740993", "\"1\"");
  CAPTURE(Field, Value);
  REQUIRE_FALSE(decodeWorkerEntry(withField(GoodEntry, Field, Value)));
}

TEST_CASE("capacities of all workers can be added") {
  const std::string Field =
      GENERATE(as<std::string>(), "cpu", "memory_request_mb", "gpus");
  const auto [Value, Valid] =
      GENERATE(table<std::string, bool>({{"0", true},
                                         {"1099511627776", true},
                                         {"1099511627777", false},
                                         {"9007199254740992", false}}));
  CAPTURE(Field, Value);
  REQUIRE(decodeWorkerEntry(withField(GoodEntry, Field, Value)).has_value() ==
          Valid);
}

TEST_CASE("an entry is followed only to an address with a port") {
  const auto [Address, Valid] = GENERATE(
      table<std::string, bool>({{"10.0.0.9:80", true},
                                {"10.0.0.9:1", true},
                                {"10.0.0.9:65535", true},
                                {"10.0.0.9:0", false},
                                {"10.0.0.9:65536", false},
                                {"10.0.0.9:99999999999999999999", false},
                                {"10.0.0.9:-1", false},
                                {"10.0.0.9:80abc", false},
                                {"10.0.0.9:abc", false},
                                {"10.0.0.9:8.0", false},
                                {"10.0.0.9:", false},
                                {"10.0.0.9", false},
                                {"10.0.0:80", false},
                                {"10.0.0.256:80", false},
                                {"010.0.0.9.1:80", false},
                                {"0.0.0.0:80", false},
                                {"224.0.0.1:80", false},
                                {"worker.example:80", false},
                                {"::1:80", false},
                                {"[::1]:80", false},
                                {"fe80::1:80", false},
                                {":80", false},
                                {":", false},
                                {"", false},
                                {R"(10.0.0.9\u0000:80)", false},
                                {R"(10.0.0.9:80\r\nX: y)", false},
                                {std::string(300, '1') + ":80", false}}));
  CAPTURE(Address);
  const std::string Quoted = "\"" + Address + "\"";
  REQUIRE(
      decodeWorkerEntry(withField(GoodEntry, "address", Quoted)).has_value() ==
      Valid);
}

TEST_CASE("labels are a short list of texts") {
  const auto [Labels, Valid] = GENERATE(table<std::string, bool>(
      {{R"(["a","r1"])", true},
       {"[]", true},
       {"[1,2]", false},
       {R"(["a",1])", false},
       {R"(["a",null])", false},
       {R"([["a"],"r1"])", false},
       {R"("a")", false},
       {"{}", false},
       {"[\"a\"" + repeated(",\"a\"", 64) + "]", false},
       {"[0" + repeated(",0", 20'000) + "]", false}}));
  CAPTURE(Labels.substr(0, 40));
  REQUIRE(decodeWorkerEntry(withLabels(Labels)).has_value() == Valid);
}

TEST_CASE("an entry that is no single flat object is rejected") {
  const std::string Unclosed(DeepNesting, '[');
  const std::string Rest = GoodEntry.substr(1);
  const auto Text = GENERATE_COPY(
      ""s, "\0"s, GoodEntry + "\0"s, "\0"s + GoodEntry, "null"s, "7"s, "[]"s,
      "{}"s, "\"entry\""s, "\xff\xfe"s, GoodEntry.substr(0, 100),
      GoodEntry + GoodEntry, "[" + GoodEntry + "]", R"({"service":"s",)" + Rest,
      R"({"x":1,"x":1,)" + Rest, Unclosed,
      Unclosed + std::string(DeepNesting, ']'),
      R"({"x":)" + std::string(DeepNesting / 3, '[') +
          std::string(DeepNesting / 3, ']') + "," + Rest,
      repeated(R"({"x":)", DeepNesting / 6),
      R"({"x":")" + std::string(70'000, 'x') + "\"," + Rest,
      R"({"x":)" + std::string(60'000, '9') + "," + Rest,
      R"({"x":1e99999999999,)" + Rest);
  CAPTURE(Text.substr(0, 40));
  const auto Entry = decodeWorkerEntry(Text);
  REQUIRE_FALSE(Entry);
  REQUIRE_FALSE(Entry.error().Details.empty());
}

TEST_CASE("fields of tomorrow are ignored") {
  const std::string Rest = GoodEntry.substr(1);
  const auto Field =
      GENERATE(as<std::string>(), R"("x":1)", R"("x":{"y":[1.5,null]})",
               R"("x":99999999999999999999)", R"("":"")");
  CAPTURE(Field);
  REQUIRE(decodeWorkerEntry("{" + Field + "," + Rest));
}

TEST_CASE("an id can be a header's value") {
  const auto [Id, Valid] =
      GENERATE(table<std::string, bool>({{"w1", true},
                                         {"n-3.a:7/x_b", true},
                                         {std::string(128, 'w'), true},
                                         {std::string(129, 'w'), false},
                                         {std::string(255, 'w'), false},
                                         {"", false},
                                         {" ", false},
                                         {"w 1", false},
                                         {"w1\r\nX: y", false},
                                         {"w1\n", false},
                                         {"w\t1", false},
                                         {"w\0"s, false},
                                         {"\x7f", false},
                                         {"w\xff", false},
                                         {"w\xc3\xa9", false},
                                         {"w\xef\xbf\xbd", false}}));
  CAPTURE(Id);
  REQUIRE(isWorkerId(Id) == Valid);
}

TEST_CASE("numbers of a report are limited or rejected") {
  struct Row {
    std::string From;
    std::string To;
    bool Valid;
    std::int64_t Percent;
    std::int64_t CpuMilli;
  };
  const auto Case = GENERATE(
      Row{"40", "40", true, 40, 900}, Row{"40", "40.9", true, 40, 900},
      Row{"40", "1e300", true, 100, 900}, Row{"40", "-1e300", true, 0, 900},
      Row{"40", "18446744073709551615", true, 100, 900},
      Row{"900", "1e300", true, 40, std::int64_t{1} << 53},
      Row{"900", "-7", true, 40, -1}, Row{"900", "\"x\"", true, 40, -1},
      Row{"40", "1e999", false, 0, 0}, Row{"40", "null", false, 0, 0},
      Row{"2,", "18446744073709551615,", false, 0, 0},
      Row{"2,", "-2,", false, 0, 0}, Row{"2,", "2.0,", false, 0, 0},
      Row{"[[1,", "[[18446744073709551615,", false, 0, 0},
      Row{"[[1,", "[[-1,", false, 0, 0},
      Row{R"("u",1)", R"("u",1e30)", false, 0, 0},
      Row{R"(_ms":5)", R"(_ms":1e30)", false, 0, 0},
      Row{R"(_ms":5)", R"(_ms":18446744073709551615)", false, 0, 0},
      Row{R"("born":7)", R"("born":7.5)", false, 0, 0},
      Row{R"("born":7)", R"("born":18446744073709551615)", false, 0, 0});
  CAPTURE(Case.From, Case.To);
  std::string Text = GoodReport;
  Text.replace(Text.find(Case.From), Case.From.size(), Case.To);
  const auto Report = decodeWorkerReport(Text);
  REQUIRE(Report.has_value() == Case.Valid);
  if (!Report)
    return;
  REQUIRE(Report->Running.at(0).ProgressPercent == Case.Percent);
  REQUIRE(Report->Running.at(0).CpuMilli == Case.CpuMilli);
}

} // namespace pistachioflow
