#include "pistachioflow/platform/store_client.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "pistachioflow/net/http_client.hpp"
#include "pistachioflow/net/http_server.hpp"

namespace pistachioflow {

namespace {

constexpr Duration CallTimeout{10'000};

/// A store that gives the same answer to every call.
struct StoreFixture {
  asio::io_context Io;
  HttpResponse Answer;
  HttpServer Server{this->Io,
                    [this](HttpRequest) -> asio::awaitable<HttpResponse> {
                      co_return this->Answer;
                    }};

  AppendAnswer append() {
    AppendAnswer Result;
    REQUIRE(this->Server.listen(parseEndpoint("127.0.0.1:0")));
    StoreClient Client(this->Io,
                       "127.0.0.1:" + std::to_string(this->Server.port()));
    const auto Call = [&]() -> asio::awaitable<void> {
      const JournalRecord Record{"key", "value"};
      std::string Topic("topic");
      Producer Writer{"writer", 1, 0};
      const std::optional<std::int64_t> NoExpectedEnd;
      Result =
          co_await Client.append(std::move(Topic), {&Record, 1},
                                 std::move(Writer), NoExpectedEnd, CallTimeout);
      this->Io.stop();
    };
    asio::co_spawn(this->Io, Call(), asio::detached);
    this->Io.run();
    return Result;
  }

  NewestPage newest() {
    NewestPage Result;
    REQUIRE(this->Server.listen(parseEndpoint("127.0.0.1:0")));
    StoreClient Client(this->Io,
                       "127.0.0.1:" + std::to_string(this->Server.port()));
    const auto Call = [&]() -> asio::awaitable<void> {
      std::string Topic("topic");
      std::string AfterKey;
      Result = co_await Client.newest(std::move(Topic), std::move(AfterKey),
                                      CallTimeout);
      this->Io.stop();
    };
    asio::co_spawn(this->Io, Call(), asio::detached);
    this->Io.run();
    return Result;
  }
};

} // namespace

TEST_CASE("an append counts as not done only where the answer says so") {
  const auto [Status, Body,
              Outcome] = GENERATE(table<int, std::string, AppendOutcome>({
      {200, R"({"end_offset":3})", AppendOutcome::Appended},
      {412, R"({"end_offset":3})", AppendOutcome::OffsetMismatch},
      {409, R"({"reason":"fenced"})", AppendOutcome::Fenced},
      {409, R"({"reason":"seq","sequence":4})", AppendOutcome::WrongSequence},
      {400, "", AppendOutcome::Refused},
      {413, "", AppendOutcome::Refused},
      {429, "", AppendOutcome::Refused},
      {503, "", AppendOutcome::Refused},
      {507, "", AppendOutcome::Refused},
      {500, "", AppendOutcome::Unknown},
      {502, "", AppendOutcome::Unknown},
      {504, "", AppendOutcome::Unknown},
      {302, "", AppendOutcome::Unknown},
  }));
  CAPTURE(Status);
  StoreFixture Store;
  Store.Answer = {Status, {}, Body};
  REQUIRE(Store.append().Outcome == Outcome);
}

TEST_CASE("a field of another type is no answer to rely on") {
  const auto [Status, Body] = GENERATE(table<int, std::string>({
      {409, R"({"reason":7})"},
      {409, R"({"reason":null,"sequence":"x"})"},
      {409, R"([])"},
      {409, R"({"reason":"seq"})"},
  }));
  CAPTURE(Body);
  StoreFixture Store;
  Store.Answer = {Status, {}, Body};
  REQUIRE(Store.append().Outcome == AppendOutcome::Unknown);
}

TEST_CASE("a page of newest records needs its fields") {
  const auto [Body, Outcome] = GENERATE(table<std::string, ReadOutcome>({
      {R"({"items":[],"has_more":false,"end_offset":2})", ReadOutcome::Read},
      {R"({"items":[],"end_offset":2})", ReadOutcome::Read},
      {R"({"items":[],"has_more":"yes","end_offset":2})", ReadOutcome::Refused},
      {R"({"items":{},"has_more":false,"end_offset":2})", ReadOutcome::Refused},
      {R"({"items":[],"has_more":false,"end_offset":"2"})",
       ReadOutcome::Refused},
      {R"([1])", ReadOutcome::Refused},
      {"", ReadOutcome::Refused},
  }));
  CAPTURE(Body);
  StoreFixture Store;
  Store.Answer = {200, {}, Body};
  REQUIRE(Store.newest().Outcome == Outcome);
}

TEST_CASE("an odd record leaves the others of its page readable") {
  const auto [Odd, Count] = GENERATE(table<std::string, std::size_t>({
      {"{\"key\":\"w\xff\",\"value\":\"eA==\",\"offset\":3}", 3},
      {R"({"key":"w\udcff","value":"eA==","offset":3})", 3},
      {"{\"key\":\"w\n\",\"value\":\"eA==\",\"offset\":3}", 3},
      {R"({"key":"w\u0000","value":"eA==","offset":3})", 3},
      {R"({"key":"","value":"eA==","offset":3})", 3},
      {R"({"key":"w","value":"%&","offset":-1})", 3},
      {R"({"key":"w","value":null,"offset":3})", 2},
      {R"({"key":"w","offset":3})", 2},
      {R"({"key":7,"value":"eA==","offset":3})", 2},
      {"7", 2},
      {"[]", 2},
  }));
  const int Position = GENERATE(0, 1, 2);
  CAPTURE(Odd, Position);
  std::vector<std::string> Items{R"({"key":"a","value":"eA==","offset":1})",
                                 R"({"key":"z","value":"eA==","offset":2})"};
  Items.insert(Items.begin() + Position, Odd);
  StoreFixture Store;
  Store.Answer = {200,
                  {},
                  R"({"items":[)" + Items[0] + "," + Items[1] + "," + Items[2] +
                      R"(],"has_more":false,"end_offset":4})"};
  const NewestPage Page = Store.newest();
  REQUIRE(Page.Outcome == ReadOutcome::Read);
  REQUIRE(Page.Records.size() == Count);
  REQUIRE(Page.EndOffset == 4);
  const auto HasKey = [&Page](std::string_view Key) {
    return std::ranges::count(Page.Records, Key, &JournalRecord::Key) == 1;
  };
  REQUIRE(HasKey("a"));
  REQUIRE(HasKey("z"));
}

} // namespace pistachioflow
